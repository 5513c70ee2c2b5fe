// Package plan decides what happens to hosts: which pool gets which, which ones are taken out for a
// maintenance wave, when a drained host is rebooted and when it is back in service. It derives the
// next steps from the current state alone: it keeps no state, does no input or output, and can be
// restarted at any time.
//
// Invariant: no step takes a host out of service unless the pool would still keep its promise, the
// number of hosts that must be able to work at any moment (gauge.Pool.Hosts), after the loss of its
// worst failure domain.
package plan

import (
	"cmp"
	"fmt"
	"slices"

	gauge "sapphiregauge"
)

// Config sets up a Planner.
type Config struct {
	// Batch bounds the hosts of one pool that a wave has out of service at a time; 0: as many as
	// the promise allows.
	Batch int
}

// Input is the state that a plan is made from.
type Input struct {
	State      gauge.State
	List       gauge.HostList
	ListByHost map[string]gauge.ListedHost // the list by host ID
	// IsQuiesced reports whether it is certain that no entry sends new work to a leaving host any
	// more, and that the list was read after that.
	IsQuiesced func(gauge.Host) bool
	// IsLost reports whether a failed host has been down for so long that its pool is to get
	// another one.
	IsLost func(gauge.Host) bool
}

// Step is one change of a host's row, and whether to ask the platform for a reboot once the row is
// written.
type Step struct {
	Host   gauge.Host
	Reboot bool
	Reason string
}

// Wait is the reason why a wave doesn't continue in a pool.
type Wait struct {
	Wave   string
	Pool   string
	Reason string
}

// Plan is the steps that can be taken now, and the waves that have to wait.
type Plan struct {
	Steps []Step
	Waits []Wait
}

// Planner makes plans.
type Planner struct {
	conf Config
}

// New returns a Planner.
func New(c Config) *Planner { return &Planner{conf: c} }

// Pool plans for the hosts of one pool: those that failed, left or came back, and the waves that
// cover it.
func (p *Planner) Pool(in Input, pool string) Plan {
	out := p.HostSteps(in, pool)
	hosts := slices.Clone(in.State.InPool(pool))
	moved := make(map[string]bool) // one step per host: the next one is planned from its result
	for _, s := range out.Steps {
		moved[s.Host.ID] = true
	}
	for i, h := range hosts {
		for _, s := range out.Steps {
			if s.Host.ID == h.ID {
				hosts[i] = s.Host
			}
		}
	}
	hosts = slices.DeleteFunc(hosts, func(h gauge.Host) bool { return h.Pool != pool })
	p.planWaves(in, pool, hosts, moved, &out)
	return out
}

// HostSteps plans for the hosts of a pool regardless of waves: those that failed, came back, or
// have no work any more.
func (p *Planner) HostSteps(in Input, pool string) Plan {
	var out Plan
	for _, h := range in.State.InPool(pool) {
		s := in.ListByHost[h.ID]
		next, why := nextState(in, h, s)
		switch {
		case why != "":
			out.Steps = append(out.Steps, Step{Host: next, Reboot: next.State == gauge.HostRebooting, Reason: why})
		case mustRepeatReboot(h, s):
			out.Steps = append(out.Steps, Step{Host: h, Reboot: true})
		}
	}
	return out
}

// nextState returns a host's next row and why it changes. Why is empty if nothing changes.
func nextState(in Input, h gauge.Host, s gauge.ListedHost) (next gauge.Host, why string) {
	next = h
	live := s.Status == gauge.StatusLive
	switch {
	case h.State == gauge.HostRebooting && live && s.Boots > h.Boots:
		next.State, next.Goal, next.WaveDone, next.Boots = gauge.HostServing, "", true, s.Boots
		next.LastDoneRevision = h.WaveRevision
		return next, "is back from its reboot"
	case h.State == gauge.HostServing && s.ID != "" && s.Status != gauge.StatusLive:
		next.State = gauge.HostFailed
		return next, "is listed as " + string(s.Status)
	case h.State == gauge.HostFailed && live:
		next.State, next.Goal, next.Boots = gauge.HostServing, "", s.Boots
		return next, "is back"
	case h.State == gauge.HostFailed && in.IsLost(h):
		next.State, next.Pool, next.Goal, next.NextPool = gauge.HostFree, "", "", ""
		return next, "is given up by its pool"
	case h.State == gauge.HostLeaving && live && s.Used == 0 && in.IsQuiesced(h):
		return afterDrain(next, s)
	}
	return h, ""
}

// afterDrain returns the next row of a host that has no work any more, and why it changes.
func afterDrain(h gauge.Host, s gauge.ListedHost) (gauge.Host, string) {
	if h.Goal == gauge.GoalReboot {
		h.State, h.Boots = gauge.HostRebooting, s.Boots
		return h, "is drained and to be rebooted"
	}
	h.Pool, h.NextPool, h.Goal = h.NextPool, "", ""
	h.State = gauge.HostServing
	if h.Pool == "" {
		h.State = gauge.HostFree
	}
	return h, "is drained and moved"
}

// mustRepeatReboot reports whether the platform shows no sign of a reboot: the previous controller
// may have died between writing the row and asking for the reboot. Both requests have the same
// token, so that gauge.Platform reboots the host only once.
func mustRepeatReboot(h gauge.Host, s gauge.ListedHost) bool {
	return h.State == gauge.HostRebooting && s.Status == gauge.StatusLive && s.Boots == h.Boots
}

// planWaves takes hosts out for the waves that cover the pool, the oldest first. A reboot counts
// for every wave that was declared before it began: two waves over one pool don't reboot a host
// twice, and they never overwrite each other's marks.
func (p *Planner) planWaves(in Input, pool string, hosts gauge.Hosts, moved map[string]bool, out *Plan) {
	rec := in.State.Pool(pool)
	if rec == nil {
		return
	}
	available := newAvailability(rec, hosts)
	for _, w := range wavesCovering(in.State, pool) {
		due := dueHosts(w, hosts)
		if len(due) == 0 {
			continue
		}
		due = slices.DeleteFunc(due, func(h gauge.Host) bool { return moved[h.ID] })
		if w.Wave.Paused {
			out.Waits = append(out.Waits, Wait{Wave: w.Name, Pool: pool, Reason: "paused by its record"})
			continue
		}
		mark := waveMark{wave: w.Name, revision: in.State.Revision}
		steps, reason := p.drainForWave(mark, due, hosts, in.ListByHost, available)
		out.Steps = append(out.Steps, steps...)
		if reason != "" {
			out.Waits = append(out.Waits, Wait{Wave: w.Name, Pool: pool, Reason: reason})
		}
		return // the next wave starts once this one is done in the pool
	}
}

// waveMark is what a wave records on a host that it takes out.
type waveMark struct {
	wave     string
	revision int64
}

// wavesCovering lists the waves that cover a pool, the oldest first.
func wavesCovering(s gauge.State, pool string) []gauge.Record {
	var out []gauge.Record
	for _, name := range s.RecordNames(gauge.RecordWave) {
		r := s.Records[gauge.RecordID{Kind: gauge.RecordWave, Name: name}]
		if r.Wave.Covers(pool) {
			out = append(out, r)
		}
	}
	slices.SortStableFunc(out, func(a, b gauge.Record) int { return cmp.Compare(a.FirstRevision, b.FirstRevision) })
	return out
}

// IsDue reports whether the wave has yet to reboot the host.
func IsDue(wave gauge.Record, h gauge.Host) bool { return h.LastDoneRevision < wave.FirstRevision }

// dueHosts lists the hosts that the wave has yet to reboot, including those that are draining or
// rebooting for it and those that failed.
func dueHosts(wave gauge.Record, hosts gauge.Hosts) gauge.Hosts {
	var due gauge.Hosts
	for _, h := range hosts {
		if IsDue(wave, h) && h.State != gauge.HostFree {
			due = append(due, h)
		}
	}
	return due
}

// drainForWave chooses the hosts to drain now: failure domain by failure domain, since losing one
// that is partly under maintenance anyway costs less, and within a domain those with the least work
// first.
func (p *Planner) drainForWave(mark waveMark, due, all gauge.Hosts, listed map[string]gauge.ListedHost, available *availability) ([]Step, string) {
	unavailable := 0
	busy := make(map[string]int)
	for _, h := range all {
		if h.State == gauge.HostLeaving || h.State == gauge.HostRebooting {
			busy[available.pool.Domain.Of(h)]++
			unavailable++
		}
	}
	slices.SortFunc(due, func(a, b gauge.Host) int {
		da, db := available.pool.Domain.Of(a), available.pool.Domain.Of(b)
		return cmp.Or(
			cmp.Compare(busy[db], busy[da]),
			cmp.Compare(da, db),
			cmp.Compare(listed[a.ID].Used, listed[b.ID].Used),
			cmp.Compare(a.ID, b.ID),
		)
	})
	var steps []Step
	for _, h := range due {
		if h.State != gauge.HostServing || listed[h.ID].Status != gauge.StatusLive {
			continue
		}
		if p.conf.Batch > 0 && unavailable >= p.conf.Batch {
			break
		}
		if !available.tryTake(h) {
			continue
		}
		unavailable++
		h.State, h.Goal = gauge.HostLeaving, gauge.GoalReboot
		h.Wave, h.WaveRevision = mark.wave, mark.revision
		h.WaveDone = false
		steps = append(steps, Step{Host: h, Reason: "leaves for wave " + mark.wave})
	}
	if len(steps) == 0 && unavailable == 0 {
		return nil, fmt.Sprintf("%d hosts serve, the worst failure takes %d, %d are promised: none can be spared", available.total, available.largestDomain(), available.pool.Hosts)
	}
	return steps, ""
}
