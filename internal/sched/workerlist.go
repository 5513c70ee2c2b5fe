package sched

import (
	gauge "sapphiregauge"
)

// UpdateWorkers updates the workers from the platform's list.
func (p *Pool) UpdateWorkers(list []gauge.Worker) {
	seen := make(map[string]bool, len(list))
	for _, info := range list {
		if info.Pool != p.conf.Name {
			p.handleListedElsewhere(info)
			continue
		}
		w := p.listedAs(info)
		if w == nil {
			continue
		}
		seen[info.ID] = true
		if !w.listed {
			p.conf.Logs.Info("worker listed", "pool", p.conf.Name, "worker", info.ID, "born", info.StartedAt, "addr", info.Addr)
		}
		if info.Draining && !w.info.Draining {
			p.conf.Logs.Info("worker draining", "pool", p.conf.Name, "worker", info.ID, "leaves", info.MinDrainTime)
			w.leavesAt = p.lastTick + info.MinDrainTime
		}
		w.info = info
		w.listed, w.listedHere = true, true
	}
	for id, w := range p.workers {
		if w.listed && !seen[id] {
			w.listed, w.unlistedAt = false, p.lastTick
			p.conf.Logs.Info("worker unlisted", "pool", p.conf.Name, "worker", id, "born", w.info.StartedAt, "runs", len(w.runs))
		}
	}
	p.updateMeanCapacity()
}

// updateMeanCapacity sets the mean capacity of the listed workers; without any the last one stays.
func (p *Pool) updateMeanCapacity() {
	var sum gauge.Resources
	n := 0
	for _, w := range p.workers {
		if w.listed {
			sum = sum.Plus(w.info.Capacity)
			n++
		}
	}
	if n > 0 {
		p.meanCapacity = gauge.Resources{MilliCPU: sum.MilliCPU / n, MemoryMB: sum.MemoryMB / n, Accels: sum.Accels / n}
	}
}
