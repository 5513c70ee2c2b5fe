// Package ctrl carries out plans: for each pool, and for the fleet as a whole,
// one entry at a time has the lease and writes the steps that package plan
// decides. A step is written before the platform is asked to act, and what came
// of it is read off the platform's list, so that the controller may die at any
// moment and the next one goes on.
package ctrl

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-logr/logr"

	gauge "sapphiregauge"
	"sapphiregauge/internal/fill"
	"sapphiregauge/internal/lease"
	"sapphiregauge/internal/plan"
	"sapphiregauge/internal/revlog"
	"sapphiregauge/internal/ticks"
)

// Config sets up a Controller.
type Config struct {
	Log       *revlog.Log
	Leases    *lease.Leases
	Platform  gauge.Platform
	Planner   *plan.Planner
	State     func() gauge.State
	Sighted   func() (gauge.Sightings, time.Time) // the last list and when it was read
	Confirmed func(revision int64) bool           // every entry has it in force or is gone
	Mine      func(unit string) bool              // whether this entry is to control a unit
	Wake      func(revision int64)
	Moved     func(pool string) // a host came into a pool
	Clock     gauge.Clock
	Logs      logr.Logger
	Every     time.Duration // between two rounds; default 1 s
	Patience  time.Duration // how long a failed host stays its pool's; default 10 min
}

const (
	defaultEvery    = time.Second
	defaultPatience = 10 * time.Minute
	// stale is how old the platform's list may be to act on it.
	stale = 15 * time.Second
	// mostSteps bounds the hosts of one revision.
	mostSteps = 200
	fleetUnit = "fleet"
)

// Controller runs the units that are this entry's.
type Controller struct {
	conf Config
	held map[string]gauge.Check

	// The platform's list in this round and when it was read.
	list gauge.Sightings
	seen map[string]gauge.Sighting
	read time.Time

	// What was seen when: kept in memory only. After a takeover the waits begin
	// anew, which delays a step and never hastens one.
	quit   map[string]moment // when a host's leaving was found confirmed
	failed map[string]moment // since when a host is seen failed

	mu    sync.Mutex
	waits map[string][]plan.Wait // by unit
}

// moment is when something was first seen of a host's row.
type moment struct {
	epoch int64
	at    time.Time
}

// New makes a Controller.
func New(c Config) *Controller {
	fill.Zero(&c.Every, defaultEvery)
	fill.Zero(&c.Patience, defaultPatience)
	return &Controller{
		conf: c, held: make(map[string]gauge.Check), quit: make(map[string]moment),
		failed: make(map[string]moment), waits: make(map[string][]plan.Wait),
	}
}

// Run makes rounds until ctx ends.
func (c *Controller) Run(ctx context.Context) { ticks.Every(ctx, c.conf.Every, c.Round) }

// Waits lists what the units of this entry wait for.
func (c *Controller) Waits() []plan.Wait {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []plan.Wait
	for _, w := range c.waits {
		out = append(out, w...)
	}
	return out
}

// Round goes once over all units.
func (c *Controller) Round(ctx context.Context) {
	s := c.conf.State()
	if s.Revision == 0 {
		return
	}
	c.list, c.read = c.conf.Sighted()
	c.seen = c.list.ByID()
	c.notice(s)
	c.unit(ctx, fleetUnit, c.conf.Planner.Fleet)
	for _, pool := range s.Names(gauge.RecordPool) {
		c.unit(ctx, "pool/"+pool, func(in plan.Input) plan.Plan { return c.conf.Planner.Pool(in, pool) })
	}
}

func (c *Controller) unit(ctx context.Context, unit string, decide func(plan.Input) plan.Plan) {
	err := c.tryUnit(ctx, unit, decide)
	if err != nil && !gauge.Is(err, gauge.KindConflict) {
		// While the table is out nothing new is begun; what runs goes on.
		c.conf.Logs.V(1).Info("unit not controlled", "unit", unit, "reason", err.Error())
	}
	if err != nil {
		delete(c.held, unit) // look again who has it
	}
}

func (c *Controller) tryUnit(ctx context.Context, unit string, decide func(plan.Input) plan.Plan) error {
	check, held := c.held[unit]
	if !c.conf.Mine(unit) {
		c.setWaits(unit, nil)
		if !held {
			return nil
		}
		delete(c.held, unit)
		return c.conf.Leases.Give(ctx, unit, check)
	}
	if !held {
		check, ok, err := c.conf.Leases.Hold(ctx, unit)
		if err != nil || !ok {
			return err
		}
		c.held[unit] = check
		c.conf.Logs.Info("controls", "unit", unit)
	}
	return c.act(ctx, unit, c.held[unit], decide)
}

// act plans and carries out one round of a unit.
func (c *Controller) act(ctx context.Context, unit string, check gauge.Check, decide func(plan.Input) plan.Plan) error {
	if c.conf.Clock().Sub(c.read) > stale {
		return gauge.Fail(gauge.KindOutage, "the platform's host list is too old to act on")
	}
	s := c.conf.State()
	p := decide(plan.Input{State: s, List: c.list, Seen: c.seen, Quit: c.hasQuit, Lost: c.isLost})
	c.setWaits(unit, p.Waits)
	if err := c.write(ctx, s, check, p.Steps); err != nil {
		return err
	}
	return c.reboot(ctx, p.Steps)
}

func (c *Controller) setWaits(unit string, w []plan.Wait) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(w) == 0 {
		delete(c.waits, unit)
		return
	}
	c.waits[unit] = w
}

// write appends the steps as one revision, under the lease.
func (c *Controller) write(ctx context.Context, s gauge.State, check gauge.Check, steps []plan.Step) error {
	change := gauge.Change{}
	for _, st := range steps {
		if st.Why != "" && len(change.Hosts) < mostSteps {
			change.Hosts = append(change.Hosts, st.Host)
		}
	}
	if len(change.Hosts) == 0 {
		return nil
	}
	done, err := c.conf.Log.Append(ctx, s.Revision, change, check)
	if err != nil {
		c.conf.Wake(s.Revision + 1)
		return err
	}
	for _, st := range steps {
		if st.Host.Pool != "" && st.Host.Pool != s.ByHost[st.Host.ID].Pool {
			c.conf.Moved(st.Host.Pool)
		}
		if st.Why != "" {
			c.conf.Logs.Info("host "+st.Why, "host", st.Host.ID, "pool", st.Host.Pool, "state", string(st.Host.State), "revision", done.Revision)
		}
	}
	c.conf.Wake(done.Revision)
	return nil
}

// reboot asks the platform for the reboots whose rows are written already. The
// token names the host and when its maintenance began, so that asking again, by
// this or another controller, reboots once.
func (c *Controller) reboot(ctx context.Context, steps []plan.Step) error {
	for _, st := range steps {
		if !st.Reboot || st.Why != "" {
			continue // a new intent is in force only from the next round on
		}
		token := fmt.Sprintf("%s/%d", st.Host.ID, st.Host.Begun)
		if err := c.conf.Platform.Reboot(ctx, st.Host.ID, token); err != nil {
			return err
		}
	}
	return nil
}

// notice remembers since when hosts are failed, or surely given no new work.
func (c *Controller) notice(s gauge.State) {
	now := c.conf.Clock()
	for id, h := range s.ByHost {
		note(c.failed, id, h, now, h.State == gauge.HostFailed)
		note(c.quit, id, h, now, h.State == gauge.HostLeaving && c.conf.Confirmed(h.Since))
	}
}

func note(seen map[string]moment, id string, h gauge.Host, now time.Time, is bool) {
	m, there := seen[id]
	switch {
	case !is:
		delete(seen, id)
	case !there || m.epoch != h.Epoch:
		seen[id] = moment{h.Epoch, now}
	}
}

// hasQuit tells whether the list's reading of a host was taken after every
// entry had stopped sending to it.
func (c *Controller) hasQuit(h gauge.Host) bool {
	m, ok := c.quit[h.ID]
	if !ok || m.epoch != h.Epoch {
		return false
	}
	s, ok := c.seen[h.ID]
	return ok && c.read.Add(-s.Age).After(m.at)
}

func (c *Controller) isLost(h gauge.Host) bool {
	m, ok := c.failed[h.ID]
	return ok && m.epoch == h.Epoch && c.conf.Clock().Sub(m.at) > c.conf.Patience
}
