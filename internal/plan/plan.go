// Package plan decides what is to happen to hosts: which pool gets which, which
// are taken out for a maintenance wave, when a drained host is rebooted and when
// it is back. It looks at what is and says the next steps; it remembers nothing,
// does no input or output, and can start over at any moment.
//
// It keeps: no step takes a host out of service unless the pool would keep its
// promise through the loss of its worst failure domain on top.
package plan

import (
	"cmp"
	"fmt"
	"slices"

	gauge "sapphiregauge"
)

// Config sets up a Planner.
type Config struct {
	// Batch bounds the hosts that one step of a wave takes out of one pool; 0:
	// as many as the promise allows.
	Batch int
}

// Input is what a plan is made from.
type Input struct {
	State gauge.State
	List  gauge.Sightings
	Seen  map[string]gauge.Sighting // the list by host
	// Quit tells whether surely no entry sends new work to a leaving host any
	// more, and the list was read after that.
	Quit func(gauge.Host) bool
	// Lost tells whether a failed host has been away for so long that its pool
	// is to get another.
	Lost func(gauge.Host) bool
}

// Step is one change of a host's row, and what to ask of the platform once the
// row is written.
type Step struct {
	Host   gauge.Host
	Reboot bool
	Why    string
}

// Wait says why a wave does not go on in a pool.
type Wait struct {
	Wave   string
	Pool   string
	Reason string
}

// Plan is the steps that can be taken now, and what has to wait.
type Plan struct {
	Steps []Step
	Waits []Wait
}

// Planner makes plans.
type Planner struct {
	conf Config
}

// New makes a Planner.
func New(c Config) *Planner { return &Planner{conf: c} }

// Pool plans for the hosts of one pool: those that failed, left or came back,
// and the waves that cover it.
func (p *Planner) Pool(in Input, pool string) Plan {
	out := p.Lives(in, pool)
	hosts := slices.Clone(in.State.InPool(pool))
	moved := make(map[string]bool) // one step a host: the next is planned on what came of it
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
	p.waves(in, pool, hosts, moved, &out)
	return out
}

// Lives plans for the hosts of a pool without looking at waves: what failed,
// came back, or has no work any more.
func (p *Planner) Lives(in Input, pool string) Plan {
	var out Plan
	for _, h := range in.State.InPool(pool) {
		s := in.Seen[h.ID]
		next, why := life(in, h, s)
		switch {
		case why != "":
			out.Steps = append(out.Steps, Step{Host: next, Reboot: next.State == gauge.HostRebooting, Why: why})
		case askAgain(h, s):
			out.Steps = append(out.Steps, Step{Host: h, Reboot: true})
		}
	}
	return out
}

// life moves one host on. Why is empty if nothing is to happen.
func life(in Input, h gauge.Host, s gauge.Sighting) (next gauge.Host, why string) {
	next = h
	live := s.Status == gauge.StatusLive
	switch {
	case h.State == gauge.HostRebooting && live && s.Boots > h.Boots:
		next.State, next.Goal, next.Done, next.Boots = gauge.HostServing, "", true, s.Boots
		next.Waved = h.Begun
		return next, "is back from its reboot"
	case h.State == gauge.HostServing && s.ID != "" && s.Status != gauge.StatusLive:
		next.State = gauge.HostFailed
		return next, "is listed as " + string(s.Status)
	case h.State == gauge.HostFailed && live:
		next.State, next.Goal, next.Boots = gauge.HostServing, "", s.Boots
		return next, "is back"
	case h.State == gauge.HostFailed && in.Lost(h):
		next.State, next.Pool, next.Goal, next.Next = gauge.HostFree, "", "", ""
		return next, "is given up by its pool"
	case h.State == gauge.HostLeaving && live && s.Used == 0 && in.Quit(h):
		return left(next, s)
	}
	return h, ""
}

// left is what happens to a host that has no work any more.
func left(h gauge.Host, s gauge.Sighting) (gauge.Host, string) {
	if h.Goal == gauge.GoalReboot {
		h.State, h.Boots = gauge.HostRebooting, s.Boots
		return h, "is drained and to be rebooted"
	}
	h.Pool, h.Next, h.Goal = h.Next, "", ""
	h.State = gauge.HostServing
	if h.Pool == "" {
		h.State = gauge.HostFree
	}
	return h, "is drained and moved"
}

// askAgain tells whether the platform shows no sign of a reboot: the controller
// before may have died between writing the row and asking. The token is the
// same, so a reboot asked for twice happens once.
func askAgain(h gauge.Host, s gauge.Sighting) bool {
	return h.State == gauge.HostRebooting && s.Status == gauge.StatusLive && s.Boots == h.Boots
}

// waves takes hosts out for the waves that cover the pool, the oldest first. A
// reboot counts for every wave that was declared before it began: two waves over
// one pool don't reboot a host twice, and never undo each other's marks.
func (p *Planner) waves(in Input, pool string, hosts gauge.Hosts, moved map[string]bool, out *Plan) {
	rec := in.State.Pool(pool)
	if rec == nil {
		return
	}
	room := newRoom(rec, hosts)
	for _, w := range wavesOver(in.State, pool) {
		due := dueIn(w, hosts)
		if len(due) == 0 {
			continue
		}
		due = slices.DeleteFunc(due, func(h gauge.Host) bool { return moved[h.ID] })
		if w.Wave.Paused {
			out.Waits = append(out.Waits, Wait{Wave: w.Name, Pool: pool, Reason: "paused by its record"})
			continue
		}
		begun := mark{wave: w.Name, revision: in.State.Revision}
		steps, reason := p.takeOut(begun, due, hosts, in.Seen, room)
		out.Steps = append(out.Steps, steps...)
		if reason != "" {
			out.Waits = append(out.Waits, Wait{Wave: w.Name, Pool: pool, Reason: reason})
		}
		return // the next wave begins when this one is done here
	}
}

// mark is what a wave leaves on a host.
type mark struct {
	wave     string
	revision int64
}

// wavesOver lists the waves that cover a pool, the oldest first.
func wavesOver(s gauge.State, pool string) []gauge.Record {
	var out []gauge.Record
	for _, name := range s.Names(gauge.RecordWave) {
		r := s.Records[gauge.RecordID{Kind: gauge.RecordWave, Name: name}]
		if r.Wave.Covers(pool) {
			out = append(out, r)
		}
	}
	slices.SortStableFunc(out, func(a, b gauge.Record) int { return cmp.Compare(a.Born, b.Born) })
	return out
}

// Due tells whether a wave still has to come over a host.
func Due(wave gauge.Record, h gauge.Host) bool { return h.Waved < wave.Born }

// dueIn lists the hosts that a wave has still to come over, those under way
// and those that failed among them.
func dueIn(wave gauge.Record, hosts gauge.Hosts) gauge.Hosts {
	var due gauge.Hosts
	for _, h := range hosts {
		if Due(wave, h) && h.State != gauge.HostFree {
			due = append(due, h)
		}
	}
	return due
}

// takeOut chooses the hosts that leave now: rack by rack, since the loss of a
// rack of which a part is under maintenance anyway costs less, and within a
// rack those with the least work first.
func (p *Planner) takeOut(begun mark, due, all gauge.Hosts, seen map[string]gauge.Sighting, r *room) ([]Step, string) {
	out := 0
	busy := make(map[string]int)
	for _, h := range all {
		if h.State == gauge.HostLeaving || h.State == gauge.HostRebooting {
			busy[r.pool.Domain.Of(h)]++
			out++
		}
	}
	slices.SortFunc(due, func(a, b gauge.Host) int {
		da, db := r.pool.Domain.Of(a), r.pool.Domain.Of(b)
		return cmp.Or(
			cmp.Compare(busy[db], busy[da]),
			cmp.Compare(da, db),
			cmp.Compare(seen[a.ID].Used, seen[b.ID].Used),
			cmp.Compare(a.ID, b.ID),
		)
	})
	var steps []Step
	for _, h := range due {
		if h.State != gauge.HostServing || seen[h.ID].Status != gauge.StatusLive {
			continue
		}
		if p.conf.Batch > 0 && out >= p.conf.Batch {
			break
		}
		if !r.take(h) {
			continue
		}
		out++
		h.State, h.Goal = gauge.HostLeaving, gauge.GoalReboot
		h.Wave, h.Begun = begun.wave, begun.revision
		h.Done = false
		steps = append(steps, Step{Host: h, Why: "leaves for wave " + begun.wave})
	}
	if len(steps) == 0 && out == 0 {
		return nil, fmt.Sprintf("%d hosts serve, the worst failure takes %d, %d are promised: none can be spared", r.total, r.worst(), r.pool.Hosts)
	}
	return steps, ""
}
