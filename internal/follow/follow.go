// Package follow holds the configuration state that is in force at this entry, and only ever moves
// it forward. The head of the revision log in the table is authoritative and is polled; a message
// from a peer is only a reason to poll at once. During a table outage, a peer's state is adopted if
// it is newer.
package follow

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	gauge "sapphiregauge"
	"sapphiregauge/internal/fill"
	"sapphiregauge/internal/revlog"
)

// Config holds the settings and dependencies of a Follower.
type Config struct {
	Log          *revlog.Log
	PollInterval time.Duration // interval between polls; default 1 s
	Clock        gauge.Clock
	Logs         logr.Logger
	// FetchFromPeers fetches the newest state that any live peer has. It is called only while the
	// table doesn't answer.
	FetchFromPeers func(ctx context.Context) (gauge.State, error)
	// OnAdopted is called after each newer state was adopted, one call at a time. Behind is the
	// longest time for which that state may already have been in force elsewhere: the time since
	// the previous state was last confirmed, or 0 for the first state.
	OnAdopted func(s gauge.State, behind time.Duration)
}

const defaultPollInterval = time.Second

// Follower holds the state in force.
type Follower struct {
	conf  Config
	state atomic.Pointer[gauge.State]
	wake  chan struct{}

	mu          sync.Mutex                // held while polling
	confirmedAt atomic.Pointer[time.Time] // when the table or a peer last confirmed the state in force; nil: never
}

// New returns a Follower with no state in force.
func New(c Config) *Follower {
	fill.Zero(&c.PollInterval, defaultPollInterval)
	f := &Follower{conf: c, wake: make(chan struct{}, 1)}
	f.state.Store(&gauge.State{})
	return f
}

// State returns the state in force. Revision 0 means that there is none yet.
func (f *Follower) State() gauge.State { return *f.state.Load() }

// maxUnconfirmedPolls is the number of polls in a row after which an unconfirmed state may have
// been replaced. A single poll can fail because an answer was lost.
const maxUnconfirmedPolls = 3

// IsCurrent reports whether the state in force was confirmed lately.
func (f *Follower) IsCurrent() bool {
	confirmedAt := f.confirmedAt.Load()
	return confirmedAt != nil && f.conf.Clock().Sub(*confirmedAt) <= maxUnconfirmedPolls*f.conf.PollInterval
}

// Wake requests a poll at once if the given revision is newer than the one in force.
func (f *Follower) Wake(revision int64) {
	if revision <= f.State().Revision {
		return
	}
	select {
	case f.wake <- struct{}{}:
	default: // a poll is requested already
	}
}

// Run polls until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	tick := time.NewTicker(f.conf.PollInterval)
	defer tick.Stop()
	for {
		if err := f.Poll(ctx); err != nil && ctx.Err() == nil {
			f.conf.Logs.V(1).Info("configuration not confirmed", "revision", f.State().Revision, "reason", err.Error())
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-f.wake:
		}
	}
}

// Poll reads the newest state once and adopts it if it is newer than the one in force.
func (f *Follower) Poll(ctx context.Context) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	next, err := f.readNewest(ctx)
	if err != nil && f.conf.FetchFromPeers != nil {
		next, err = f.conf.FetchFromPeers(ctx)
	}
	if err != nil {
		return err
	}
	now := f.conf.Clock()
	behind := time.Duration(0)
	if previous := f.confirmedAt.Load(); previous != nil {
		behind = now.Sub(*previous)
	}
	f.adopt(next, behind)
	f.confirmedAt.Store(&now) // after adopt: until then the previous state was in force
	return nil
}

func (f *Follower) readNewest(ctx context.Context) (gauge.State, error) {
	current := f.State()
	if current.Revision == 0 {
		return f.conf.Log.Load(ctx)
	}
	next, err := f.conf.Log.CatchUp(ctx, current)
	if gauge.IsKind(err, gauge.KindNotFound) {
		return f.conf.Log.Load(ctx) // so many revisions behind that the changes in between were deleted
	}
	return next, err
}

// adopt adopts a state only if it is newer. An older one comes from a restored backup of the table
// or from a peer that is behind, and would undo the state in force.
func (f *Follower) adopt(next gauge.State, behind time.Duration) {
	if next.Revision <= f.State().Revision {
		return
	}
	f.state.Store(&next)
	f.conf.Logs.Info("configuration in force", "revision", next.Revision)
	if f.conf.OnAdopted != nil {
		f.conf.OnAdopted(next, behind)
	}
}
