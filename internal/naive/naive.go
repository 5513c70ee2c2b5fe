// Package naive is the baseline planner that package plan is compared with. It keeps a fixed share
// of spare hosts, takes the first host that fits, and has one host of a pool at a time in
// maintenance, without regard to racks.
package naive

import (
	gauge "sapphiregauge"
	"sapphiregauge/internal/plan"
)

// Config sets up a Planner.
type Config struct {
	SpareShare float64 // spare hosts, as a share of the hosts that a pool is promised
}

// Planner makes plans.
type Planner struct {
	conf Config
}

// New makes a Planner.
func New(c Config) *Planner { return &Planner{conf: c} }

// Pool plans the steps of a pool's hosts. It advances hosts through their states as package plan
// does; if there is nothing to advance, it starts the maintenance of the next host of a wave,
// provided that no other host of the pool is in maintenance and more are serving than were
// promised.
func (p *Planner) Pool(in plan.Input, pool string) plan.Plan {
	out := plan.New(plan.Config{}).HostSteps(in, pool)
	if len(out.Steps) > 0 {
		return out
	}
	serving := 0
	for _, h := range in.State.InPool(pool) {
		switch h.State {
		case gauge.HostServing:
			serving++
		case gauge.HostLeaving, gauge.HostRebooting:
			return out
		}
	}
	if rec := in.State.Pool(pool); rec == nil || serving <= rec.Hosts {
		return out
	}
	for _, name := range in.State.RecordNames(gauge.RecordWave) {
		w := in.State.Records[gauge.RecordID{Kind: gauge.RecordWave, Name: name}]
		if !w.Wave.Covers(pool) {
			continue
		}
		for _, h := range in.State.InPool(pool) {
			if h.IsServing() && plan.IsDue(w, h) {
				h.State, h.Goal = gauge.HostLeaving, gauge.GoalReboot
				h.Wave, h.WaveRevision, h.WaveDone = w.Name, in.State.Revision, false
				out.Steps = append(out.Steps, plan.Step{Host: h, Reason: "leaves for wave " + w.Name})
				return out
			}
		}
	}
	return out
}

// Fleet plans the assignment of free hosts to pools: each pool gets its hosts and its spare share,
// the first hosts that fit. A failed host is replaced at once and stays in the pool if it recovers
// later.
func (p *Planner) Fleet(in plan.Input) plan.Plan {
	var out plan.Plan
	free := in.State.InPool("")
	for _, name := range in.State.RecordNames(gauge.RecordPool) {
		rec := in.State.Pool(name)
		assigned := 0
		for _, h := range in.State.InPool(name) {
			if h.State != gauge.HostFailed {
				assigned++
			}
		}
		wanted := rec.Hosts + int(float64(rec.Hosts)*p.conf.SpareShare+0.999)
		var remaining gauge.Hosts
		for _, h := range free {
			if assigned >= wanted || !rec.Fits(h) || in.ListByHost[h.ID].Status != gauge.StatusLive {
				remaining = append(remaining, h)
				continue
			}
			h.State, h.Pool = gauge.HostServing, name
			out.Steps = append(out.Steps, plan.Step{Host: h, Reason: "goes to pool " + name})
			assigned++
		}
		free = remaining
	}
	return out
}
