// Package roster is the platform's host list in memory: what hosts last said
// of themselves, shown to readers late by a set lag, and reboots that a host
// is told of when it next reports.
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
	Lag   time.Duration // how old the shown list may be
	Gone  time.Duration // a host that has not reported for so long is shown as gone
	Clock gauge.Clock
}

// Roster is the list.
type Roster struct {
	conf   Config
	mu     sync.Mutex
	hosts  map[string]*entry
	tokens map[string]bool // reboot tokens seen, so that a repeat reboots once
	shown  gauge.Sightings
	taken  time.Time
}

type entry struct {
	seen   gauge.Sighting
	last   time.Time
	reboot bool
}

// New makes an empty Roster.
func New(c Config) *Roster {
	return &Roster{conf: c, hosts: make(map[string]*entry), tokens: make(map[string]bool)}
}

// Report takes in what a host says of itself and tells whether it is to reboot
// now.
func (r *Roster) Report(s gauge.Sighting) (reboot bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.hosts[s.ID]
	if e == nil {
		e = &entry{}
		r.hosts[s.ID] = e
	}
	e.seen = s
	e.last = r.conf.Clock()
	reboot = e.reboot
	e.reboot = false
	return reboot
}

// List returns the list as it was up to Lag ago.
func (r *Roster) List(context.Context) (gauge.Sightings, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.conf.Clock()
	if r.shown == nil || now.Sub(r.taken) >= r.conf.Lag {
		r.shown = r.snapshot(now)
		r.taken = now
	}
	out := slices.Clone(r.shown)
	for i := range out {
		out[i].Age += now.Sub(r.taken)
	}
	return out, nil
}

// Reboot notes that a host is to reboot, once per token.
func (r *Roster) Reboot(_ context.Context, host, token string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.hosts[host]
	if e == nil {
		return gauge.Fail(gauge.KindMissing, "host %s", host)
	}
	if r.tokens[token] {
		return nil
	}
	r.tokens[token] = true
	e.reboot = true
	return nil
}

func (r *Roster) snapshot(now time.Time) gauge.Sightings {
	out := make(gauge.Sightings, 0, len(r.hosts))
	for _, e := range r.hosts {
		s := e.seen
		s.Age = now.Sub(e.last)
		if s.Age >= r.conf.Gone {
			s.Status = gauge.StatusGone
		}
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b gauge.Sighting) int { return strings.Compare(a.ID, b.ID) })
	return out
}
