// Package stand serves the platform's HTTP protocol from memory, with faults
// that a test can switch on. It stands in for the platform in tests and in the
// walk-through of the README.
package stand

import (
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"

	gauge "sapphiregauge"
	"sapphiregauge/internal/memdb"
	"sapphiregauge/internal/roster"
)

// Config sets up a Server.
type Config struct {
	Lag   time.Duration // of the host list
	Gone  time.Duration // silence after which a host is listed as gone
	Clock gauge.Clock
}

// fault is a way for the table and object store to fail.
type fault string

const (
	faultNone fault = "none"
	faultDown fault = "down" // refuse everything
	faultSlow fault = "slow" // answer late
	faultLost fault = "lost" // do it, then fail without saying so
)

const slowness = 500 * time.Millisecond

// Server is the stand-in.
type Server struct {
	app   *fiber.App
	db    *memdb.DB
	hosts *roster.Roster
	fault atomic.Value
}

// New makes a Server.
func New(c Config) *Server {
	s := &Server{
		app:   fiber.New(fiber.Config{Immutable: true, BodyLimit: bodyLimit}),
		db:    memdb.New(),
		hosts: roster.New(roster.Config{Lag: c.Lag, Gone: c.Gone, Clock: c.Clock}),
	}
	s.fault.Store(faultNone)
	s.routes()
	return s
}

const bodyLimit = 64 << 20

// Serve answers on a listener until Close.
func (s *Server) Serve(l net.Listener) error {
	return s.app.Listener(l, fiber.ListenConfig{DisableStartupMessage: true})
}

// Close stops serving.
func (s *Server) Close() error { return s.app.Shutdown() }

func (s *Server) routes() {
	s.app.Get("/hosts", s.list)
	s.app.Post("/hosts/:id/reboot", s.reboot)
	s.app.Post("/stand/report", s.report)
	s.app.Post("/stand/fault/:fault", s.setFault)
	store := s.app.Group("", s.misbehave)
	store.Get("/table/row", s.row)
	store.Get("/table/rows", s.rows)
	store.Post("/table/commit", s.commit)
	store.Get("/objects/:name", s.fetch)
	store.Put("/objects/:name", s.store)
}

// misbehave stands before the table and object store.
func (s *Server) misbehave(c fiber.Ctx) error {
	switch s.fault.Load() {
	case faultDown:
		return c.SendStatus(http.StatusServiceUnavailable)
	case faultSlow:
		time.Sleep(slowness)
	case faultLost:
		if err := c.Next(); err != nil {
			return err
		}
		return c.Drop()
	}
	return c.Next()
}

func (s *Server) setFault(c fiber.Ctx) error {
	s.fault.Store(fault(c.Params("fault")))
	return c.SendStatus(http.StatusNoContent)
}

func (s *Server) list(c fiber.Ctx) error {
	hosts, err := s.hosts.List(c.Context())
	if err != nil {
		return fail(c, err)
	}
	return c.JSON(hostsBody{Hosts: hosts})
}

func (s *Server) reboot(c fiber.Ctx) error {
	var body rebootBody
	if err := json.Unmarshal(c.Body(), &body); err != nil {
		return c.Status(http.StatusBadRequest).SendString(err.Error())
	}
	if err := s.hosts.Reboot(c.Context(), c.Params("id"), body.Token); err != nil {
		return fail(c, err)
	}
	return c.SendStatus(http.StatusNoContent)
}

func (s *Server) report(c fiber.Ctx) error {
	var seen gauge.Sighting
	if err := json.Unmarshal(c.Body(), &seen); err != nil {
		return c.Status(http.StatusBadRequest).SendString(err.Error())
	}
	return c.JSON(reportBody{Reboot: s.hosts.Report(seen)})
}

func (s *Server) row(c fiber.Ctx) error {
	r, err := s.db.Get(c.Context(), c.Query("key"))
	if err != nil {
		return fail(c, err)
	}
	return c.JSON(rowsBody{Rows: []gauge.Row{r}})
}

func (s *Server) rows(c fiber.Ctx) error {
	rows, err := s.db.Scan(c.Context(), c.Query("prefix"))
	if err != nil {
		return fail(c, err)
	}
	return c.JSON(rowsBody{Rows: rows})
}

func (s *Server) commit(c fiber.Ctx) error {
	var t gauge.Txn
	if err := json.Unmarshal(c.Body(), &t); err != nil {
		return c.Status(http.StatusBadRequest).SendString(err.Error())
	}
	if err := s.db.Commit(c.Context(), t); err != nil {
		return fail(c, err)
	}
	return c.SendStatus(http.StatusNoContent)
}

func (s *Server) fetch(c fiber.Ctx) error {
	b, err := s.db.Fetch(c.Context(), objectName(c))
	if err != nil {
		return fail(c, err)
	}
	return c.Send(b)
}

func (s *Server) store(c fiber.Ctx) error {
	if err := s.db.Store(c.Context(), objectName(c), c.Body()); err != nil {
		return fail(c, err)
	}
	return c.SendStatus(http.StatusNoContent)
}

func objectName(c fiber.Ctx) string {
	name, err := url.PathUnescape(c.Params("name"))
	if err != nil {
		return c.Params("name")
	}
	return name
}

func fail(c fiber.Ctx, err error) error {
	return c.Status(gauge.KindOf(err).Answer().Status).SendString(err.Error())
}
