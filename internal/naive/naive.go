// Package naive is the planner that package plan is measured against: a fixed
// share of spare hosts, the first host that fits, and one host of a pool at a
// time under maintenance, whatever the racks.
package naive

import (
	gauge "sapphiregauge"
	"sapphiregauge/internal/plan"
)

// Config sets up a Planner.
type Config struct {
	Spare float64 // share of the promise that is held on top
}

// Planner makes plans.
type Planner struct {
	conf Config
}

// New makes a Planner.
func New(c Config) *Planner { return &Planner{conf: c} }

// Pool moves hosts on as package plan does, and takes out the next host of a
// wave while no other is out and more serve than were promised.
func (p *Planner) Pool(in plan.Input, pool string) plan.Plan {
	out := plan.New(plan.Config{}).Lives(in, pool)
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
	for _, name := range in.State.Names(gauge.RecordWave) {
		w := in.State.Records[gauge.RecordID{Kind: gauge.RecordWave, Name: name}]
		if !w.Wave.Covers(pool) {
			continue
		}
		for _, h := range in.State.InPool(pool) {
			if h.Serves() && plan.Due(w, h) {
				h.State, h.Goal = gauge.HostLeaving, gauge.GoalReboot
				h.Wave, h.Begun, h.Done = w.Name, in.State.Revision, false
				out.Steps = append(out.Steps, plan.Step{Host: h, Why: "leaves for wave " + w.Name})
				return out
			}
		}
	}
	return out
}

// Fleet gives each pool its share, the first hosts that fit. A failed host is
// replaced at once, and what comes back later stays.
func (p *Planner) Fleet(in plan.Input) plan.Plan {
	var out plan.Plan
	free := in.State.InPool("")
	for _, name := range in.State.Names(gauge.RecordPool) {
		rec := in.State.Pool(name)
		have := 0
		for _, h := range in.State.InPool(name) {
			if h.State != gauge.HostFailed {
				have++
			}
		}
		want := rec.Hosts + int(float64(rec.Hosts)*p.conf.Spare+0.999)
		var rest gauge.Hosts
		for _, h := range free {
			if have >= want || !rec.Fits(h) || in.Seen[h.ID].Status != gauge.StatusLive {
				rest = append(rest, h)
				continue
			}
			h.State, h.Pool = gauge.HostServing, name
			out.Steps = append(out.Steps, plan.Step{Host: h, Why: "goes to pool " + name})
			have++
		}
		free = rest
	}
	return out
}
