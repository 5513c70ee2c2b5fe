package sapphiregauge

import (
	"context"
	"time"
)

// HostState is the state of a host according to the table.
type HostState string

// The host states. A host has a pool in every state but free.
const (
	HostFree      HostState = "free"      // in no pool
	HostServing   HostState = "serving"   // in its pool and given work
	HostLeaving   HostState = "leaving"   // in its pool, draining: given no new work, finishing the rest
	HostRebooting HostState = "rebooting" // in its pool, a reboot was requested
	HostFailed    HostState = "failed"    // in its pool, not reachable
)

// Goal is the reason why a host is leaving.
type Goal string

// The goals.
const (
	GoalMove   Goal = "move"   // to the pool named by NextPool, or to none
	GoalReboot Goal = "reboot" // for a maintenance wave, then back into service
)

// Host is one machine and the one pool that it belongs to. Its row is changed only by
// compare-and-set, with the epoch growing by one each time, so that one of two controllers that
// decide at the same time fails.
type Host struct {
	ID               string    `json:"id"`
	Addr             string    `json:"addr"`
	Zone             string    `json:"zone"`
	Rack             string    `json:"rack"`
	Cores            int       `json:"cores"`
	Memory           int       `json:"memory"` // GiB
	Accels           int       `json:"accels"`
	Slots            int       `json:"slots"`
	Conns            int       `json:"conns"`
	Pool             string    `json:"pool,omitempty"`
	State            HostState `json:"state"`
	Goal             Goal      `json:"goal,omitempty"`
	NextPool         string    `json:"next,omitempty"`
	Wave             string    `json:"wave,omitempty"`  // last wave that took the host out
	WaveDone         bool      `json:"done,omitempty"`  // that wave is done on this host
	WaveRevision     int64     `json:"begun,omitempty"` // revision at which that wave took the host out
	LastDoneRevision int64     `json:"waved,omitempty"` // WaveRevision of the last wave that is done on this host
	Boots            int       `json:"boots"`           // boot count when the reboot was requested
	Epoch            int64     `json:"epoch"`
	ChangedRevision  int64     `json:"since"` // revision of the last change
}

// Target returns the host as the target of a request.
func (h Host) Target() Target {
	return Target{Host: h.ID, Addr: h.Addr, Rack: h.Rack, Zone: h.Zone}
}

// IsServing reports whether new work may be sent to the host.
func (h Host) IsServing() bool { return h.State == HostServing }

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

// ServingHosts returns the hosts that new work may be sent to.
func (hs Hosts) ServingHosts() Hosts {
	var in Hosts
	for _, h := range hs {
		if h.IsServing() {
			in = append(in, h)
		}
	}
	return in
}

// Status is a host's state on the platform's list, which always lags behind.
type Status string

// The statuses.
const (
	StatusLive    Status = "live"
	StatusLeaving Status = "leaving"
	StatusBooting Status = "booting"
	StatusGone    Status = "gone"
)

// ListedHost is one line of the platform's host list. Age is how old the information is, by the
// platform's own clock.
type ListedHost struct {
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
	Used   int           `json:"used"` // tasks running there
	Boots  int           `json:"boots"`
	Age    time.Duration `json:"age"`
}

// HostList is the platform's host list.
type HostList []ListedHost

// ByID returns the lines by host ID.
func (ss HostList) ByID() map[string]ListedHost {
	m := make(map[string]ListedHost, len(ss))
	for _, s := range ss {
		m[s.ID] = s
	}
	return m
}

// Platform is the part of the platform that lists and reboots hosts. Reboot is idempotent by token:
// the same token twice reboots the host once.
type Platform interface {
	List(ctx context.Context) (HostList, error)
	Reboot(ctx context.Context, host, token string) error
}
