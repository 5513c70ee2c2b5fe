package sapphiregauge

import (
	"context"
	"time"
)

// HostState is where a host stands in its life, as the table has it.
type HostState string

// The host states. A host has a pool in every state but free.
const (
	HostFree      HostState = "free"      // in no pool
	HostServing   HostState = "serving"   // in its pool and given work
	HostLeaving   HostState = "leaving"   // in its pool, given no new work, work being finished
	HostRebooting HostState = "rebooting" // in its pool, a reboot was asked for
	HostFailed    HostState = "failed"    // in its pool, not heard of
)

// Goal is why a host is leaving.
type Goal string

// The goals.
const (
	GoalMove   Goal = "move"   // to the pool named by Next, or to none
	GoalReboot Goal = "reboot" // for a maintenance wave, then back
)

// Host is one machine and the one pool that has it. Its row is changed only by
// compare-and-set, with the epoch growing by one each time, so that of two
// controllers that decide at once one loses.
type Host struct {
	ID     string    `json:"id"`
	Addr   string    `json:"addr"`
	Zone   string    `json:"zone"`
	Rack   string    `json:"rack"`
	Cores  int       `json:"cores"`
	Memory int       `json:"memory"` // GiB
	Accels int       `json:"accels"`
	Slots  int       `json:"slots"`
	Conns  int       `json:"conns"`
	Pool   string    `json:"pool,omitempty"`
	State  HostState `json:"state"`
	Goal   Goal      `json:"goal,omitempty"`
	Next   string    `json:"next,omitempty"`
	Wave   string    `json:"wave,omitempty"`  // last wave that came over the host
	Done   bool      `json:"done,omitempty"`  // that wave is done here
	Begun  int64     `json:"begun,omitempty"` // revision at which it began here
	Waved  int64     `json:"waved,omitempty"` // Begun of the last wave that is done here
	Boots  int       `json:"boots"`           // boot count when the reboot was asked for
	Epoch  int64     `json:"epoch"`
	Since  int64     `json:"since"` // revision of the last change
}

// Target is the host as a place to send to.
func (h Host) Target() Target {
	return Target{Host: h.ID, Addr: h.Addr, Rack: h.Rack, Zone: h.Zone}
}

// Serves tells whether new work may be sent to the host.
func (h Host) Serves() bool { return h.State == HostServing }

// Hosts is a list of hosts.
type Hosts []Host

// InPool returns the hosts of one pool.
func (hs Hosts) InPool(pool string) Hosts {
	var in Hosts
	for _, h := range hs {
		if h.Pool == pool {
			in = append(in, h)
		}
	}
	return in
}

// Serving returns the hosts that new work may be sent to.
func (hs Hosts) Serving() Hosts {
	var in Hosts
	for _, h := range hs {
		if h.Serves() {
			in = append(in, h)
		}
	}
	return in
}

// Status is a host's state as the platform lists it, always somewhat late.
type Status string

// The statuses.
const (
	StatusLive    Status = "live"
	StatusLeaving Status = "leaving"
	StatusBooting Status = "booting"
	StatusGone    Status = "gone"
)

// Sighting is one line of the platform's host list. Age says how old the
// reading is, on the platform's own clock.
type Sighting struct {
	ID     string        `json:"id"`
	Addr   string        `json:"addr"`
	Zone   string        `json:"zone"`
	Rack   string        `json:"rack"`
	Cores  int           `json:"cores"`
	Memory int           `json:"memory"`
	Accels int           `json:"accels"`
	Slots  int           `json:"slots"`
	Conns  int           `json:"conns"`
	Status Status        `json:"status"`
	Used   int           `json:"used"` // tasks running
	Boots  int           `json:"boots"`
	Age    time.Duration `json:"age"`
}

// Sightings is the platform's list.
type Sightings []Sighting

// ByID returns the lines by host.
func (ss Sightings) ByID() map[string]Sighting {
	m := make(map[string]Sighting, len(ss))
	for _, s := range ss {
		m[s.ID] = s
	}
	return m
}

// Platform is the part of the platform that lists and reboots hosts. Reboot is
// idempotent by token: the same token twice reboots once.
type Platform interface {
	List(ctx context.Context) (Sightings, error)
	Reboot(ctx context.Context, host, token string) error
}
