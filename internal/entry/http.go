package entry

import (
	"crypto/subtle"
	"errors"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/gofiber/fiber/v3/middleware/adaptor"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"

	gauge "sapphiregauge"
	"sapphiregauge/internal/budget"
	"sapphiregauge/internal/frame"
	"sapphiregauge/internal/front"
	"sapphiregauge/internal/httpd"
	"sapphiregauge/internal/order"
	"sapphiregauge/internal/query"
)

const (
	bodyLimit   = 16 << 20 // bytes
	bodyTimeout = 30 * time.Second
	// roomRetryDelay is when a call that there was no room for may be made again.
	roomRetryDelay = time.Second
)

func decodeBody(body []byte, v any) error { return frame.Decode(body, v) }

// routes sets up the HTTP server. Immutable is needed because an accepted request is still in
// use after its handler has returned: strings and bodies stay valid.
func (e *Entry) routes() {
	e.app = fiber.New(fiber.Config{Immutable: true, ErrorHandler: onError})
	e.app.Use(e.closeWhenDraining)
	query.Health(e.app, e.ready)
	e.app.Get("/metrics", adaptor.HTTPHandler(promhttp.HandlerFor(e.meter.Registry, promhttp.HandlerOpts{})))
	front.New(front.Config{
		Serve: e.server.Serve, Accept: e.server.Accept, Lookup: e.server.Lookup, Clock: e.conf.Clock,
	}).Register(e.app)
	operators := e.app.Group("/admin/v1", e.checkKey)
	query.New(query.Config{
		State: e.follow.State, Entries: e.member.Revisions, Counts: e.broker.Counts,
		Burn: e.burnReport, Promises: e.promisesReport, Waves: e.waves,
	}).Register(operators)
	order.New(order.Config{Apply: e.apply.Apply, Applied: e.onApplied}).Register(operators)
}

// newHTTPServer returns the server of the routes.
func (e *Entry) newHTTPServer(clients *budget.Budget) *httpd.Server {
	return httpd.New(httpd.Config{
		Handler: e.app.Handler(), Refuse: e.refuse, MaxBody: func() int { return bodyLimit }, Decompress: true, Budget: clients, BodyTimeout: bodyTimeout,
	})
}

// refuse answers a call whose body isn't read, or can't be.
func (e *Entry) refuse(c *fasthttp.RequestCtx, err error) {
	ctx := e.app.AcquireCtx(c)
	defer e.app.ReleaseCtx(ctx)
	if err := front.Problem(ctx, gauge.Refuse(nil, gauge.KindOf(err), gauge.AsError(err).Reason, roomRetryDelay)); err != nil {
		c.SetStatusCode(fasthttp.StatusInternalServerError)
	}
}

// onApplied makes this entry read the new revision; the entry then notifies the others.
func (e *Entry) onApplied(revision int64) { e.follow.Wake(revision) }

// closeWhenDraining makes callers open a new connection for their next request, which the load
// balancer directs to another entry.
func (e *Entry) closeWhenDraining(c fiber.Ctx) error {
	err := c.Next()
	if e.draining.Load() {
		c.Set(fiber.HeaderConnection, "close")
	}
	return err
}

func (e *Entry) checkKey(c fiber.Ctx) error {
	expected := "Bearer " + e.conf.OperatorKey
	if subtle.ConstantTimeCompare([]byte(c.Get(fiber.HeaderAuthorization)), []byte(expected)) != 1 {
		return front.Problem(c, gauge.Refuse(nil, gauge.KindDenied, "the operators' key is missing or wrong", 0))
	}
	return c.Next()
}

// ready returns why the load balancer must send no requests to this entry, or nil.
func (e *Entry) ready() error {
	switch {
	case e.draining.Load():
		return gauge.Refuse(nil, gauge.KindDraining, "this entry is shutting down", time.Second)
	case e.revision() == 0:
		return gauge.Refuse(nil, gauge.KindUnready, "no configuration is in force here yet", time.Second)
	case !e.member.HasRecentContact():
		return gauge.Refuse(nil, gauge.KindUnready, "neither the table nor a peer has been heard for a while", time.Second)
	}
	return nil
}

// onError converts the library's own errors, such as a body over the limit, to error responses of
// this API.
func onError(c fiber.Ctx, err error) error {
	var fe *fiber.Error
	if !errors.As(err, &fe) {
		return front.Problem(c, err)
	}
	kind := gauge.KindInvalid
	switch fe.Code {
	case fiber.StatusNotFound, fiber.StatusMethodNotAllowed:
		kind = gauge.KindNotFound
	case fiber.StatusRequestEntityTooLarge:
		kind = gauge.KindTooLarge
	}
	return front.Problem(c, gauge.Refuse(nil, kind, fe.Message, 0))
}
