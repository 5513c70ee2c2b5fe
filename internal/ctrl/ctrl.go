// Package ctrl carries out plans. There is one unit of control for each pool and one for the whole
// fleet; each is controlled by one entry at a time, which holds the unit's lease and writes the
// steps that package plan decides. A step is written before the platform is called, and its
// result is read from the platform's host list, so that if the controller dies at any moment, the
// next one can continue.
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
	Log          *revlog.Log
	Leases       *lease.Leases
	Platform     gauge.Platform
	Planner      *plan.Planner
	State        func() gauge.State
	LastHostList func() (gauge.HostList, time.Time) // the last host list and when it was read
	IsConfirmed  func(revision int64) bool          // whether every entry has the revision in force or is dead
	OwnsDuty     func(unit string) bool             // whether this entry is to control a unit
	// CatchUpTo polls at once for a revision that has probably been accepted.
	CatchUpTo      func(revision int64)
	OnHostAdded    func(pool string) // called when a host was added to a pool
	Clock          gauge.Clock
	Logs           logr.Logger
	RoundInterval  time.Duration // between two rounds; default 1 s
	FailureTimeout time.Duration // how long a failed host stays in its pool; default 10 min
}

const (
	defaultRoundInterval  = time.Second
	defaultFailureTimeout = 10 * time.Minute
	// maxListAge is how old the platform's host list may be to act on it.
	maxListAge = 15 * time.Second
	// maxHostsPerRevision bounds the hosts changed by one revision.
	maxHostsPerRevision = 200
	fleetUnit           = "fleet"
)

// Controller controls the units that are assigned to this entry.
type Controller struct {
	conf   Config
	leases map[string]gauge.Check

	// The platform's host list in this round and when it was read.
	hostList   gauge.HostList
	hostsByID  map[string]gauge.ListedHost
	listReadAt time.Time

	// When hosts were first observed in a state, by host ID; kept in memory only. After a takeover
	// the waiting times start again, so a step may come later but never too early.
	//
	// quiescedSince: all entries are known to have confirmed that the host is leaving.
	// failedSince: the host is marked as failed.
	quiescedSince map[string]observation
	failedSince   map[string]observation

	mu    sync.Mutex
	waits map[string][]plan.Wait // by unit
}

// observation is when a state was first observed, and the epoch of the host's row at that time.
type observation struct {
	epoch int64
	at    time.Time
}

// New returns a Controller.
func New(c Config) *Controller {
	fill.Zero(&c.RoundInterval, defaultRoundInterval)
	fill.Zero(&c.FailureTimeout, defaultFailureTimeout)
	return &Controller{
		conf: c, leases: make(map[string]gauge.Check), quiescedSince: make(map[string]observation),
		failedSince: make(map[string]observation), waits: make(map[string][]plan.Wait),
	}
}

// Run makes rounds until ctx ends.
func (c *Controller) Run(ctx context.Context) { ticks.Every(ctx, c.conf.RoundInterval, c.Round) }

// Waits lists what the units of this entry are waiting for.
func (c *Controller) Waits() []plan.Wait {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []plan.Wait
	for _, w := range c.waits {
		out = append(out, w...)
	}
	return out
}

// Round controls each unit once.
func (c *Controller) Round(ctx context.Context) {
	s := c.conf.State()
	if s.Revision == 0 {
		return
	}
	c.hostList, c.listReadAt = c.conf.LastHostList()
	c.hostsByID = c.hostList.ByID()
	c.updateObservations(s)
	c.controlUnit(ctx, fleetUnit, c.conf.Planner.Fleet)
	for _, pool := range s.RecordNames(gauge.RecordPool) {
		c.controlUnit(ctx, "pool/"+pool, func(in plan.Input) plan.Plan { return c.conf.Planner.Pool(in, pool) })
	}
}

func (c *Controller) controlUnit(ctx context.Context, unit string, decide func(plan.Input) plan.Plan) {
	err := c.tryControlUnit(ctx, unit, decide)
	if err != nil && !gauge.IsKind(err, gauge.KindConflict) {
		// During a table outage no new step begins, and those under way continue.
		c.conf.Logs.V(1).Info("unit could not be controlled", "unit", unit, "reason", err.Error())
	}
	if err != nil {
		delete(c.leases, unit) // read again which entry has the lease
	}
}

func (c *Controller) tryControlUnit(ctx context.Context, unit string, decide func(plan.Input) plan.Plan) error {
	check, held := c.leases[unit]
	if !c.conf.OwnsDuty(unit) {
		c.setWaits(unit, nil)
		if !held {
			return nil
		}
		delete(c.leases, unit)
		return c.conf.Leases.Release(ctx, unit, check)
	}
	if !held {
		check, ok, err := c.conf.Leases.Acquire(ctx, unit)
		if err != nil || !ok {
			return err
		}
		c.leases[unit] = check
		c.conf.Logs.Info("controls", "unit", unit)
	}
	return c.planAndApply(ctx, unit, c.leases[unit], decide)
}

// planAndApply plans and carries out one round of a unit.
func (c *Controller) planAndApply(ctx context.Context, unit string, check gauge.Check, decide func(plan.Input) plan.Plan) error {
	if c.conf.Clock().Sub(c.listReadAt) > maxListAge {
		return gauge.Errorf(gauge.KindOutage, "the platform's host list is too old to act on")
	}
	s := c.conf.State()
	p := decide(plan.Input{State: s, List: c.hostList, ListByHost: c.hostsByID, IsQuiesced: c.isQuiesced, IsLost: c.isLost})
	c.setWaits(unit, p.Waits)
	if err := c.appendSteps(ctx, s, check, p.Steps); err != nil {
		return err
	}
	return c.requestReboots(ctx, p.Steps)
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

// appendSteps appends the steps as one revision, provided that this entry still has the lease.
func (c *Controller) appendSteps(ctx context.Context, s gauge.State, check gauge.Check, steps []plan.Step) error {
	change := gauge.Change{}
	for _, st := range steps {
		if st.Reason != "" && len(change.Hosts) < maxHostsPerRevision {
			change.Hosts = append(change.Hosts, st.Host)
		}
	}
	if len(change.Hosts) == 0 {
		return nil
	}
	done, err := c.conf.Log.Append(ctx, s.Revision, change, check)
	if err != nil {
		c.conf.CatchUpTo(s.Revision + 1)
		return err
	}
	for _, st := range steps {
		if st.Host.Pool != "" && st.Host.Pool != s.ByHost[st.Host.ID].Pool {
			c.conf.OnHostAdded(st.Host.Pool)
		}
		if st.Reason != "" {
			c.conf.Logs.Info("host "+st.Reason, "host", st.Host.ID, "pool", st.Host.Pool, "state", string(st.Host.State), "revision", done.Revision)
		}
	}
	c.conf.CatchUpTo(done.Revision)
	return nil
}

// requestReboots asks the platform for the reboots whose rows are already written. The token names
// the host and when its maintenance began, so that repeated calls, by this or another controller,
// reboot the host once.
func (c *Controller) requestReboots(ctx context.Context, steps []plan.Step) error {
	for _, st := range steps {
		if !st.Reboot || st.Reason != "" {
			continue // a step that was just appended is in force only from the next round on
		}
		token := fmt.Sprintf("%s/%d", st.Host.ID, st.Host.WaveRevision)
		if err := c.conf.Platform.Reboot(ctx, st.Host.ID, token); err != nil {
			return err
		}
	}
	return nil
}

// updateObservations records when hosts were first observed as failed, or as certain to get no new
// requests.
func (c *Controller) updateObservations(s gauge.State) {
	now := c.conf.Clock()
	for id, h := range s.ByHost {
		recordObservation(c.failedSince, id, h, now, h.State == gauge.HostFailed)
		recordObservation(c.quiescedSince, id, h, now, h.State == gauge.HostLeaving && c.conf.IsConfirmed(h.ChangedRevision))
	}
}

func recordObservation(seen map[string]observation, id string, h gauge.Host, now time.Time, observed bool) {
	o, known := seen[id]
	switch {
	case !observed:
		delete(seen, id)
	case !known || o.epoch != h.Epoch:
		seen[id] = observation{h.Epoch, now}
	}
}

// isQuiesced reports whether the host list's reading of a host was taken after every entry had
// stopped sending requests to it.
func (c *Controller) isQuiesced(h gauge.Host) bool {
	o, ok := c.quiescedSince[h.ID]
	if !ok || o.epoch != h.Epoch {
		return false
	}
	listed, ok := c.hostsByID[h.ID]
	return ok && c.listReadAt.Add(-listed.Age).After(o.at)
}

func (c *Controller) isLost(h gauge.Host) bool {
	o, ok := c.failedSince[h.ID]
	return ok && o.epoch == h.Epoch && c.conf.Clock().Sub(o.at) > c.conf.FailureTimeout
}
