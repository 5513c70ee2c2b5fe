// Package query answers operators' questions over HTTP: what is in force and
// where, the hosts, and what each pool is doing. Changes go through package
// order.
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
	State   func() gauge.State
	Entries func() map[string]int64 // revision in force by live entry
	Counts  func() []desk.Counts
	Burn    func(ctx context.Context) []burn.Line
	Holds   func(ctx context.Context) []holds.Line
	Waves   func() []Wave
}

// Wave is how far a wave is in one pool.
type Wave struct {
	Name   string `json:"name"`
	Pool   string `json:"pool"`
	Hosts  int    `json:"hosts"`
	Done   int    `json:"done"`
	Out    int    `json:"out"` // leaving or rebooting
	Failed int    `json:"failed"`
	Waits  string `json:"waits,omitempty"` // why it does not go on, as far as the asked entry knows
}

// Queries answers questions.
type Queries struct {
	conf Config
}

// New makes Queries.
func New(c Config) *Queries { return &Queries{conf: c} }

// Register adds the routes to a group that checks the operators' key.
func (q *Queries) Register(r fiber.Router) {
	r.Get("/records", q.records)
	r.Get("/records/:kind/:name", q.record)
	r.Get("/hosts", q.hosts)
	r.Get("/entries", q.entries)
	r.Get("/pools", q.pools)
	r.Get("/waves", func(c fiber.Ctx) error { return c.JSON(q.conf.Waves()) })
	r.Get("/reports/burn", func(c fiber.Ctx) error { return c.JSON(q.conf.Burn(c.Context())) })
	r.Get("/reports/promises", func(c fiber.Ctx) error { return c.JSON(q.conf.Holds(c.Context())) })
}

type recordsBody struct {
	Revision int64          `json:"revision"`
	Records  []gauge.Record `json:"records"`
}

func (q *Queries) records(c fiber.Ctx) error {
	s := q.conf.State()
	body := recordsBody{Revision: s.Revision, Records: []gauge.Record{}}
	for _, k := range []gauge.RecordKind{gauge.RecordPool, gauge.RecordService, gauge.RecordTeam, gauge.RecordJob, gauge.RecordWave} {
		for _, name := range s.Names(k) {
			body.Records = append(body.Records, s.Records[gauge.RecordID{Kind: k, Name: name}])
		}
	}
	return c.JSON(body)
}

func (q *Queries) record(c fiber.Ctx) error {
	id := gauge.RecordID{Kind: gauge.RecordKind(c.Params("kind")), Name: c.Params("name")}
	r, ok := q.conf.State().Records[id]
	if !ok {
		return front.Problem(c, gauge.Fail(gauge.KindMissing, "there is no %s", id))
	}
	return c.JSON(r)
}

type hostsBody struct {
	Revision int64       `json:"revision"`
	Hosts    gauge.Hosts `json:"hosts"`
}

func (q *Queries) hosts(c fiber.Ctx) error {
	s := q.conf.State()
	return c.JSON(hostsBody{Revision: s.Revision, Hosts: s.Hosts()})
}

type entriesBody struct {
	Revision int64            `json:"revision"`
	InForce  map[string]int64 `json:"inforce"`
}

func (q *Queries) entries(c fiber.Ctx) error {
	return c.JSON(entriesBody{Revision: q.conf.State().Revision, InForce: q.conf.Entries()})
}

func (q *Queries) pools(c fiber.Ctx) error { return c.JSON(q.conf.Counts()) }

// Health adds the routes that the balancer and the monitoring use, without a
// key.
func Health(app *fiber.App, ready func() error) {
	app.Get("/livez", func(c fiber.Ctx) error { return c.SendStatus(http.StatusOK) })
	app.Get("/readyz", func(c fiber.Ctx) error {
		if err := ready(); err != nil {
			return front.Problem(c, err)
		}
		return c.SendStatus(http.StatusOK)
	})
}
