// Package query serves operators' read requests over HTTP: the configuration in force and the
// revision at each entry, the hosts, and the load of each pool. Changes go through package order.
package query

import (
	"context"
	"net/http"

	"github.com/gofiber/fiber/v3"

	gauge "sapphiregauge"
	"sapphiregauge/internal/burn"
	"sapphiregauge/internal/desk"
	"sapphiregauge/internal/front"
	"sapphiregauge/internal/holds"
)

// Config sets up Queries.
type Config struct {
	State    func() gauge.State
	Entries  func() map[string]int64 // revision in force at each live entry, by entry id
	Counts   func() []desk.Counts
	Burn     func(ctx context.Context) []burn.ServiceReport
	Promises func(ctx context.Context) []holds.Result
	Waves    func() []Wave
}

// Wave is the progress of a wave in one pool, in hosts.
type Wave struct {
	Name        string `json:"name"`
	Pool        string `json:"pool"`
	Hosts       int    `json:"hosts"`
	Done        int    `json:"done"`
	Unavailable int    `json:"out"` // leaving or rebooting
	Failed      int    `json:"failed"`
	WaitReason  string `json:"waits,omitempty"` // why it makes no progress, as far as this entry knows
}

// Queries handles read requests.
type Queries struct {
	conf Config
}

// New returns Queries.
func New(c Config) *Queries { return &Queries{conf: c} }

// Register adds the routes to a group that checks the operators' key.
func (q *Queries) Register(r fiber.Router) {
	r.Get("/records", q.handleRecords)
	r.Get("/records/:kind/:name", q.handleRecord)
	r.Get("/hosts", q.handleHosts)
	r.Get("/entries", q.handleEntries)
	r.Get("/pools", q.handlePools)
	r.Get("/waves", func(c fiber.Ctx) error { return c.JSON(q.conf.Waves()) })
	r.Get("/reports/burn", func(c fiber.Ctx) error { return c.JSON(q.conf.Burn(c.Context())) })
	r.Get("/reports/promises", func(c fiber.Ctx) error { return c.JSON(q.conf.Promises(c.Context())) })
}

type recordsBody struct {
	Revision int64          `json:"revision"`
	Records  []gauge.Record `json:"records"`
}

func (q *Queries) handleRecords(c fiber.Ctx) error {
	s := q.conf.State()
	body := recordsBody{Revision: s.Revision, Records: []gauge.Record{}}
	for _, k := range []gauge.RecordKind{gauge.RecordPool, gauge.RecordService, gauge.RecordTeam, gauge.RecordJob, gauge.RecordWave} {
		for _, name := range s.RecordNames(k) {
			body.Records = append(body.Records, s.Records[gauge.RecordID{Kind: k, Name: name}])
		}
	}
	return c.JSON(body)
}

func (q *Queries) handleRecord(c fiber.Ctx) error {
	id := gauge.RecordID{Kind: gauge.RecordKind(c.Params("kind")), Name: c.Params("name")}
	r, ok := q.conf.State().Records[id]
	if !ok {
		return front.Problem(c, gauge.Errorf(gauge.KindNotFound, "there is no %s", id))
	}
	return c.JSON(r)
}

type hostsBody struct {
	Revision int64       `json:"revision"`
	Hosts    gauge.Hosts `json:"hosts"`
}

func (q *Queries) handleHosts(c fiber.Ctx) error {
	s := q.conf.State()
	return c.JSON(hostsBody{Revision: s.Revision, Hosts: s.Hosts()})
}

type entriesBody struct {
	Revision int64            `json:"revision"`
	InForce  map[string]int64 `json:"inforce"`
}

func (q *Queries) handleEntries(c fiber.Ctx) error {
	return c.JSON(entriesBody{Revision: q.conf.State().Revision, InForce: q.conf.Entries()})
}

func (q *Queries) handlePools(c fiber.Ctx) error { return c.JSON(q.conf.Counts()) }

// Health adds the routes for the load balancer and the monitoring, which need no key. The entry
// is ready if ready returns nil.
func Health(app *fiber.App, ready func() error) {
	app.Get("/livez", func(c fiber.Ctx) error { return c.SendStatus(http.StatusOK) })
	app.Get("/readyz", func(c fiber.Ctx) error {
		if err := ready(); err != nil {
			return front.Problem(c, err)
		}
		return c.SendStatus(http.StatusOK)
	})
}
