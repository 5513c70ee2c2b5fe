package entry

import (
	"crypto/subtle"
	"errors"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/gofiber/fiber/v3/middleware/adaptor"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	gauge "sapphiregauge"
	"sapphiregauge/internal/frame"
	"sapphiregauge/internal/front"
	"sapphiregauge/internal/order"
	"sapphiregauge/internal/query"
)

const (
	bodyLimit = 16 << 20
	headLimit = 16 << 10
	readLimit = 30 * time.Second
	idleLimit = time.Minute
)

func decodeBody(body []byte, v any) error { return frame.Decode(body, v) }

// routes sets up the HTTP server. Immutable makes strings and bodies outlive
// their handlers: an accepted request goes on after its handler returned.
func (e *Entry) routes() {
	e.app = fiber.New(fiber.Config{
		Immutable: true, BodyLimit: bodyLimit, ReadBufferSize: headLimit,
		ReadTimeout: readLimit, IdleTimeout: idleLimit, ErrorHandler: onError,
	})
	e.app.Use(e.closeWhenDraining)
	query.Health(e.app, e.ready)
	e.app.Get("/metrics", adaptor.HTTPHandler(promhttp.HandlerFor(e.meter.Registry, promhttp.HandlerOpts{})))
	front.New(front.Config{
		Serve: e.path.Serve, Accept: e.path.Accept, Lookup: e.path.Lookup, Clock: e.conf.Clock,
	}).Register(e.app)
	operators := e.app.Group("/admin/v1", e.checkKey)
	query.New(query.Config{
		State: e.follow.State, Entries: e.member.Revisions, Counts: e.broker.Counts,
		Burn: e.burnReport, Holds: e.holdsReport, Waves: e.waves,
	}).Register(operators)
	order.New(order.Config{Apply: e.apply.Apply, Applied: e.applied}).Register(operators)
}

// applied wakes this entry and, through it, the others.
func (e *Entry) applied(revision int64) { e.follow.Wake(revision) }

// closeWhenDraining tells callers to come by another connection next time,
// which the balancer leads to another entry.
func (e *Entry) closeWhenDraining(c fiber.Ctx) error {
	err := c.Next()
	if e.draining.Load() {
		c.Set(fiber.HeaderConnection, "close")
	}
	return err
}

func (e *Entry) checkKey(c fiber.Ctx) error {
	want := "Bearer " + e.conf.OperatorKey
	if subtle.ConstantTimeCompare([]byte(c.Get(fiber.HeaderAuthorization)), []byte(want)) != 1 {
		return front.Problem(c, gauge.Refuse(nil, gauge.KindDenied, "the operators' key is missing or wrong", 0))
	}
	return c.Next()
}

// ready is what the balancer asks.
func (e *Entry) ready() error {
	switch {
	case e.draining.Load():
		return gauge.Refuse(nil, gauge.KindDraining, "this entry is shutting down", time.Second)
	case e.revision() == 0:
		return gauge.Refuse(nil, gauge.KindUnready, "no configuration is in force here yet", time.Second)
	case !e.member.Linked():
		return gauge.Refuse(nil, gauge.KindUnready, "neither the table nor a peer has been heard for a while", time.Second)
	}
	return nil
}

// onError turns the library's own errors, such as a body over the bound, into
// ours.
func onError(c fiber.Ctx, err error) error {
	var fe *fiber.Error
	if !errors.As(err, &fe) {
		return front.Problem(c, err)
	}
	kind := gauge.KindInvalid
	switch fe.Code {
	case fiber.StatusNotFound, fiber.StatusMethodNotAllowed:
		kind = gauge.KindMissing
	case fiber.StatusRequestEntityTooLarge:
		kind = gauge.KindLarge
	}
	return front.Problem(c, gauge.Refuse(nil, kind, fe.Message, 0))
}
