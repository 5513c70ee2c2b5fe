// Package front is the callers' HTTP interface. docs/API.md describes it.
package front

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/google/uuid"

	gauge "sapphiregauge"
)

// Config sets up a Front.
type Config struct {
	Serve  func(ctx context.Context, r *gauge.Request) (gauge.Response, error)
	Accept func(ctx context.Context, r *gauge.Request) (gauge.ClaimKey, error)
	Lookup func(ctx context.Context, team, id string) (gauge.Response, error)
	Clock  gauge.Clock
}

// Front serves callers.
type Front struct {
	conf Config
}

// New makes a Front.
func New(c Config) *Front { return &Front{conf: c} }

// Headers of the callers' interface.
const (
	headerKey        = "Idempotency-Key"
	headerTeam       = "X-Team"
	headerClass      = "X-Class"
	headerRepeatable = "X-Repeatable"
	headerTimeout    = "X-Timeout"
	headerPrefer     = "Prefer"
	headerTrace      = "Traceparent"
	headerID         = "X-Request-Id"
	headerHost       = "X-Worker"
	headerRan        = "X-Ran"
)

// noTeam is the team of a caller that names none.
const noTeam = "none"

// Register adds the routes.
func (f *Front) Register(app *fiber.App) {
	app.Post("/v1/services/:service", f.call)
	app.Post("/v1/services/:service/*", f.call)
	app.Get("/v1/requests/:key", f.lookup)
}

func (f *Front) call(c fiber.Ctx) error {
	r, err := f.request(c)
	if err != nil {
		return Problem(c, err)
	}
	c.Set(headerID, r.ID)
	if r.Async {
		return f.accept(c, r)
	}
	ctx := c.Context()
	if r.Repeatable {
		// What may run only once runs to its end: its caller comes back for the
		// answer with the same key.
		there, cancel := whileThere(ctx, c.RequestCtx().Conn())
		defer cancel()
		ctx = there
	}
	resp, err := f.conf.Serve(ctx, r)
	if err != nil {
		return Problem(c, err)
	}
	return answer(c, resp)
}

func (f *Front) accept(c fiber.Ctx, r *gauge.Request) error {
	key, err := f.conf.Accept(c.Context(), r)
	if err != nil {
		return Problem(c, err)
	}
	c.Set(fiber.HeaderLocation, "/v1/requests/"+key.ID)
	c.Set("Preference-Applied", "respond-async")
	return c.Status(http.StatusAccepted).Send(nil)
}

func (f *Front) lookup(c fiber.Ctx) error {
	resp, err := f.conf.Lookup(c.Context(), c.Get(headerTeam, noTeam), c.Params("key"))
	if err != nil {
		return Problem(c, err)
	}
	return answer(c, resp)
}

func answer(c fiber.Ctx, r gauge.Response) error {
	c.Set(headerHost, r.Host)
	c.Set(headerRan, string(gauge.RanYes))
	if r.Type != "" {
		c.Set(fiber.HeaderContentType, r.Type)
	}
	return c.Status(r.Status).Send(r.Body)
}

// request reads the headers; every fault is named at once.
func (f *Front) request(c fiber.Ctx) (*gauge.Request, error) {
	var fs gauge.Faults
	r := &gauge.Request{
		ID: c.Get(headerKey), Team: c.Get(headerTeam, noTeam), Service: c.Params("service"),
		Type: c.Get(fiber.HeaderContentType), Path: pathOf(c), Trace: c.Get(headerTrace),
		Body: c.Body(), Async: prefersAsync(c.Get(headerPrefer)),
	}
	r.Class = readClass(&fs, c.Get(headerClass))
	r.Repeatable = readYes(&fs, c.Get(headerRepeatable))
	if limit := readTimeout(&fs, c.Get(headerTimeout)); limit > 0 {
		r.Deadline = f.conf.Clock().Add(limit)
	}
	if strings.ContainsAny(r.Team, "/\x00") {
		fs.Add(headerTeam, "%q: a slash is not allowed", r.Team)
	}
	if r.ID == "" && r.Repeatable && !r.Async {
		r.ID = uuid.NewString()
	}
	if r.ID == "" {
		fs.Add(headerKey, "is missing; a request that is asynchronous or not repeatable needs one")
	}
	if fs.Err() != nil {
		return nil, gauge.Refuse(nil, gauge.KindInvalid, gauge.AsError(fs.Err()).Reason, 0)
	}
	return r, nil
}

func pathOf(c fiber.Ctx) string {
	path := ""
	if rest := c.Params("*"); rest != "" {
		path = "/" + rest
	}
	if q := string(c.Request().URI().QueryString()); q != "" {
		path += "?" + q
	}
	return path
}

func prefersAsync(prefer string) bool {
	for _, p := range strings.Split(prefer, ",") {
		if strings.EqualFold(strings.TrimSpace(p), "respond-async") {
			return true
		}
	}
	return false
}

func readClass(fs *gauge.Faults, s string) gauge.Class {
	switch c := gauge.Class(s); c {
	case "":
		return gauge.ClassQuick
	case gauge.ClassQuick, gauge.ClassLong:
		return c
	default:
		fs.Add(headerClass, "%q is neither quick nor long", s)
		return c
	}
}

func readYes(fs *gauge.Faults, s string) bool {
	switch s {
	case "", "yes":
		return true
	case "no":
		return false
	default:
		fs.Add(headerRepeatable, "%q is neither yes nor no", s)
		return false
	}
}

func readTimeout(fs *gauge.Faults, s string) time.Duration {
	if s == "" {
		return 0
	}
	d, err := time.ParseDuration(s)
	if err != nil || d <= 0 {
		fs.Add(headerTimeout, "%q is no duration above 0, such as 1.5s", s)
		return 0
	}
	return d
}

// problem is the body of an error, after RFC 9457.
type problem struct {
	Type   string       `json:"type"`
	Title  string       `json:"title"`
	Status int          `json:"status"`
	Detail string       `json:"detail"`
	Kind   gauge.Kind   `json:"kind"`
	Ran    gauge.Ran    `json:"ran"`
	Faults gauge.Faults `json:"faults,omitempty"`
}

// Problem answers with an error: its kind, whether the request ran, and when
// asking again may help.
func Problem(c fiber.Ctx, err error) error {
	e := gauge.AsError(err)
	a := e.Kind.Answer()
	if a.Again {
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(seconds(e.Retry)))
	}
	c.Set(headerRan, string(e.Ran()))
	return c.Status(a.Status).JSON(problem{
		Type: "about:blank", Title: string(e.Kind), Status: a.Status,
		Detail: e.Reason, Kind: e.Kind, Ran: e.Ran(), Faults: e.Faults,
	}, "application/problem+json")
}

// seconds rounds up, to 1 at least: Retry-After has no parts of seconds.
func seconds(d time.Duration) int {
	return max(1, int((d+time.Second-1)/time.Second))
}
