// Package roster is an in-memory implementation of the platform's host list. Readers get the hosts'
// last reports from a snapshot that is refreshed after a set time. A reboot request is delivered to
// the host with the response to its next report.
package roster

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	gauge "sapphiregauge"
)

// Config sets up a Roster.
type Config struct {
	MaxAge    time.Duration // maximum age of the snapshot that readers get
	GoneAfter time.Duration // time without a report after which a host is listed as gone
	Clock     gauge.Clock
}

// Roster is the host list. It is safe for concurrent use.
type Roster struct {
	conf         Config
	mu           sync.Mutex
	hosts        map[string]*hostState
	rebootTokens map[string]bool // tokens of past reboot requests, so that a retry doesn't reboot twice
	lastList     gauge.HostList
	snapshotAt   time.Time
}

// hostState is a host's last report, its time, and whether a reboot is pending.
type hostState struct {
	report        gauge.ListedHost
	reportedAt    time.Time
	rebootPending bool
}

// New makes an empty Roster.
func New(c Config) *Roster {
	return &Roster{conf: c, hosts: make(map[string]*hostState), rebootTokens: make(map[string]bool)}
}

// Report records a host's report and returns whether the host is to reboot now.
func (r *Roster) Report(s gauge.ListedHost) (reboot bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.hosts[s.ID]
	if h == nil {
		h = &hostState{}
		r.hosts[s.ID] = h
	}
	h.report = s
	h.reportedAt = r.conf.Clock()
	reboot = h.rebootPending
	h.rebootPending = false
	return reboot
}

// List returns the hosts as of at most MaxAge ago, sorted by ID. Their ages are up to date.
func (r *Roster) List(context.Context) (gauge.HostList, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.conf.Clock()
	if r.lastList == nil || now.Sub(r.snapshotAt) >= r.conf.MaxAge {
		r.lastList = r.snapshot(now)
		r.snapshotAt = now
	}
	out := slices.Clone(r.lastList)
	for i := range out {
		out[i].Age += now.Sub(r.snapshotAt)
	}
	return out, nil
}

// Reboot requests a reboot of a host, once per token. It fails with KindNotFound for an
// unknown host.
func (r *Roster) Reboot(_ context.Context, host, token string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.hosts[host]
	if h == nil {
		return gauge.Errorf(gauge.KindNotFound, "host %s", host)
	}
	if r.rebootTokens[token] {
		return nil
	}
	r.rebootTokens[token] = true
	h.rebootPending = true
	return nil
}

func (r *Roster) snapshot(now time.Time) gauge.HostList {
	out := make(gauge.HostList, 0, len(r.hosts))
	for _, h := range r.hosts {
		s := h.report
		s.Age = now.Sub(h.reportedAt)
		if s.Age >= r.conf.GoneAfter {
			s.Status = gauge.StatusGone
		}
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b gauge.ListedHost) int { return strings.Compare(a.ID, b.ID) })
	return out
}
