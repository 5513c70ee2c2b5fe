package main

import (
	"time"

	"github.com/go-logr/logr"

	gauge "sapphiregauge"
	"sapphiregauge/internal/boot"
	"sapphiregauge/internal/mesh"
	"sapphiregauge/internal/meter"
	"sapphiregauge/internal/node"
	"sapphiregauge/internal/timely"
	"sapphiregauge/platform"
)

// assemble creates the components of an entry and connects them.
func assemble(s platform.Settings, disabled gauge.Without, log logr.Logger) *components {
	p := &components{settings: s, log: log, meter: meter.New()}
	p.table = platform.NewTable(platform.TableConfig{Addr: s.Table, Read: readTimeout, Commit: commitTimeout, Clock: bootTime})
	store := timely.New(timely.Config{
		Store: p.table, Late: commitCheckDelay, Fast: maxFastRead, Away: probeReadTimeout, Most: commitTimeout, Now: boot.Now,
	})
	p.workers = platform.NewWorkers(platform.WorkersConfig{Hold: heartbeatTimeout, Order: orderTimeout, Clock: bootTime})
	var machines gauge.Machines
	if s.Machines != "" {
		p.machines = platform.NewMachines(platform.MachinesConfig{Addr: s.Machines, Timeout: machineTimeout, Clock: bootTime})
		machines = p.machines
	}
	var adviser gauge.Adviser
	if s.Advice != "" {
		adviser = platform.NewAdvice(platform.AdviceConfig{Addr: s.Advice, Timeout: adviceTimeout, Clock: bootTime})
	}
	p.mesh = mesh.New(mesh.Config{Closed: func(addr string) { p.node.CheckHolder(addr) }})
	p.node = node.New(node.Config{
		Name: s.Name, Start: newStartID(), Addr: p.peerAddr(), Capacity: s.Capacity(), Store: store, Workers: p.workers, Machines: machines, Adviser: adviser,
		Words: platform.Words{}, Mesh: p.mesh, Logs: log, Now: boot.Now, Wall: time.Now, Count: p.meter.Call, Event: p.meter.Event,
		Backlog: p.meter.Backlog, Longest: s.LongestHold, Apply: s.Apply, Without: disabled, TurnGap: s.TurnGap, Upkeep: s.Upkeep, Keep: s.KeepStatus,
	})
	p.meter.Followed(p.node.Ages)
	p.front = platform.NewFront(platform.FrontConfig{Jobs: p.node.Jobs(), Site: p.node.Serves, Route: p.node.Route, Ready: p.node.Ready, Logs: log})
	return p
}

// bootTime returns the time since the machine's start, suspensions included, as a time.Time, for
// components that only use differences of times.
func bootTime() time.Time { return time.Unix(0, int64(boot.Now())) }
