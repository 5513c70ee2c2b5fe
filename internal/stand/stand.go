// Package stand is a fake of the platform for tests and trials: it serves the platform's HTTP
// protocol (table, object store and host list) from memory, with faults that a test can switch on.
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
	Lag   time.Duration // maximum age of the host list
	Gone  time.Duration // time without a report after which a host is listed as gone
	Clock gauge.Clock
}

// fault is a failure mode of the table and the object store. A test sets it by its value.
type fault string

const (
	faultNone         fault = "none"
	faultRefuse       fault = "down" // refuse all calls with status 503
	faultSlow         fault = "slow" // delay each response by slowDelay
	faultResponseLost fault = "lost" // carry out the call, then close the connection without a response
)

const slowDelay = 500 * time.Millisecond

// Server is the fake platform.
type Server struct {
	app   *fiber.App
	db    *memdb.DB
	hosts *roster.Roster
	fault atomic.Value
}

// New makes a Server.
func New(c Config) *Server {
	s := &Server{
		app:   fiber.New(fiber.Config{Immutable: true, BodyLimit: maxBodyBytes}),
		db:    memdb.New(),
		hosts: roster.New(roster.Config{MaxAge: c.Lag, GoneAfter: c.Gone, Clock: c.Clock}),
	}
	s.fault.Store(faultNone)
	s.routes()
	return s
}

const maxBodyBytes = 64 << 20

// Serve serves on a listener until Close.
func (s *Server) Serve(l net.Listener) error {
	return s.app.Listener(l, fiber.ListenConfig{DisableStartupMessage: true})
}

// Close stops serving.
func (s *Server) Close() error { return s.app.Shutdown() }

func (s *Server) routes() {
	s.app.Get("/hosts", s.listHosts)
	s.app.Post("/hosts/:id/reboot", s.rebootHost)
	s.app.Post("/stand/report", s.reportHost)
	s.app.Post("/stand/fault/:fault", s.setFault)
	store := s.app.Group("", s.applyFault)
	store.Get("/table/row", s.getRow)
	store.Get("/table/rows", s.scanRows)
	store.Post("/table/commit", s.commitTxn)
	store.Get("/objects/:name", s.fetchObject)
	store.Put("/objects/:name", s.storeObject)
}

// applyFault is the middleware that applies the fault to calls to the table and the object store.
func (s *Server) applyFault(c fiber.Ctx) error {
	switch s.fault.Load() {
	case faultRefuse:
		return c.SendStatus(http.StatusServiceUnavailable)
	case faultSlow:
		time.Sleep(slowDelay)
	case faultResponseLost:
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

func (s *Server) listHosts(c fiber.Ctx) error {
	hosts, err := s.hosts.List(c.Context())
	if err != nil {
		return sendError(c, err)
	}
	return c.JSON(hostsBody{Hosts: hosts})
}

func (s *Server) rebootHost(c fiber.Ctx) error {
	var body rebootBody
	if err := json.Unmarshal(c.Body(), &body); err != nil {
		return c.Status(http.StatusBadRequest).SendString(err.Error())
	}
	if err := s.hosts.Reboot(c.Context(), c.Params("id"), body.Token); err != nil {
		return sendError(c, err)
	}
	return c.SendStatus(http.StatusNoContent)
}

func (s *Server) reportHost(c fiber.Ctx) error {
	var host gauge.ListedHost
	if err := json.Unmarshal(c.Body(), &host); err != nil {
		return c.Status(http.StatusBadRequest).SendString(err.Error())
	}
	return c.JSON(reportBody{Reboot: s.hosts.Report(host)})
}

func (s *Server) getRow(c fiber.Ctx) error {
	r, err := s.db.Get(c.Context(), c.Query("key"))
	if err != nil {
		return sendError(c, err)
	}
	return c.JSON(rowsBody{Rows: []gauge.Row{r}})
}

func (s *Server) scanRows(c fiber.Ctx) error {
	rows, err := s.db.Scan(c.Context(), c.Query("prefix"))
	if err != nil {
		return sendError(c, err)
	}
	return c.JSON(rowsBody{Rows: rows})
}

func (s *Server) commitTxn(c fiber.Ctx) error {
	var t gauge.Txn
	if err := json.Unmarshal(c.Body(), &t); err != nil {
		return c.Status(http.StatusBadRequest).SendString(err.Error())
	}
	if err := s.db.Commit(c.Context(), t); err != nil {
		return sendError(c, err)
	}
	return c.SendStatus(http.StatusNoContent)
}

func (s *Server) fetchObject(c fiber.Ctx) error {
	b, err := s.db.Fetch(c.Context(), objectName(c))
	if err != nil {
		return sendError(c, err)
	}
	return c.Send(b)
}

func (s *Server) storeObject(c fiber.Ctx) error {
	if err := s.db.Store(c.Context(), objectName(c), c.Body()); err != nil {
		return sendError(c, err)
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

func sendError(c fiber.Ctx, err error) error {
	return c.Status(gauge.KindOf(err).Answer().Status).SendString(err.Error())
}
