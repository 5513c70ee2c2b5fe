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

// Front handles callers' requests.
type Front struct {
	conf Config
}

// New returns a Front.
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

// noTeam is the team of a request without the header.
const noTeam = "none"

// Register adds the routes.
func (f *Front) Register(app *fiber.App) {
	app.Post("/v1/services/:service", f.handleCall)
	app.Post("/v1/services/:service/*", f.handleCall)
	app.Get("/v1/requests/:key", f.handleLookup)
}

func (f *Front) handleCall(c fiber.Ctx) error {
	r, err := f.readRequest(c)
	if err != nil {
		return Problem(c, err)
	}
	c.Set(headerID, r.ID)
	if r.Async {
		return f.acceptAsync(c, r)
	}
	ctx := c.Context()
	if r.Repeatable {
		// A request that is not repeatable isn't cancelled: its caller asks again for the
		// answer with the same key.
		callerCtx, cancel := cancelOnDisconnect(ctx, c.RequestCtx().Conn())
		defer cancel()
		ctx = callerCtx
	}
	resp, err := f.conf.Serve(ctx, r)
	if err != nil {
		return Problem(c, err)
	}
	return writeAnswer(c, resp)
}

func (f *Front) acceptAsync(c fiber.Ctx, r *gauge.Request) error {
	key, err := f.conf.Accept(c.Context(), r)
	if err != nil {
		return Problem(c, err)
	}
	c.Set(fiber.HeaderLocation, "/v1/requests/"+key.ID)
	c.Set("Preference-Applied", "respond-async")
	return c.Status(http.StatusAccepted).Send(nil)
}

func (f *Front) handleLookup(c fiber.Ctx) error {
	resp, err := f.conf.Lookup(c.Context(), c.Get(headerTeam, noTeam), c.Params("key"))
	if err != nil {
		return Problem(c, err)
	}
	return writeAnswer(c, resp)
}

func writeAnswer(c fiber.Ctx, r gauge.Response) error {
	c.Set(headerHost, r.Host)
	c.Set(headerRan, string(gauge.RanYes))
	if r.Type != "" {
		c.Set(fiber.HeaderContentType, r.Type)
	}
	return c.Status(r.Status).Send(r.Body)
}

// readRequest builds the request from its headers. The error lists every invalid header.
func (f *Front) readRequest(c fiber.Ctx) (*gauge.Request, error) {
	var fs gauge.Faults
	r := &gauge.Request{
		ID: c.Get(headerKey), Team: c.Get(headerTeam, noTeam), Service: c.Params("service"),
		Type: c.Get(fiber.HeaderContentType), Path: requestPath(c), Trace: c.Get(headerTrace),
		Body: c.Body(), Async: prefersAsync(c.Get(headerPrefer)),
	}
	r.Class = readClass(&fs, c.Get(headerClass))
	r.Repeatable = readYesNo(&fs, c.Get(headerRepeatable))
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

func requestPath(c fiber.Ctx) string {
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

func readYesNo(fs *gauge.Faults, s string) bool {
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

// problem is the body of an error response, as in RFC 9457.
type problem struct {
	Type   string       `json:"type"`
	Title  string       `json:"title"`
	Status int          `json:"status"`
	Detail string       `json:"detail"`
	Kind   gauge.Kind   `json:"kind"`
	Ran    gauge.Ran    `json:"ran"`
	Faults gauge.Faults `json:"faults,omitempty"`
}

// Problem sends an error response: its kind, whether the request ran, and, if a retry may help,
// after how many seconds to retry.
func Problem(c fiber.Ctx, err error) error {
	e := gauge.AsError(err)
	a := e.Kind.Answer()
	if a.Retryable {
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(retrySeconds(e.RetryAfter)))
	}
	c.Set(headerRan, string(e.Ran()))
	return c.Status(a.Status).JSON(problem{
		Type: "about:blank", Title: string(e.Kind), Status: a.Status,
		Detail: e.Reason, Kind: e.Kind, Ran: e.Ran(), Faults: e.Faults,
	}, "application/problem+json")
}

// retrySeconds rounds up, to at least 1, as Retry-After takes whole seconds.
func retrySeconds(d time.Duration) int {
	return max(1, int((d+time.Second-1)/time.Second))
}
