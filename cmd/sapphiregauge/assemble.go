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
func assemble(s platform.Settings, disabled gauge.Disabled, log logr.Logger) *components {
	p := &components{settings: s, log: log, meter: meter.New()}
	p.table = platform.NewTable(platform.TableConfig{Addr: s.TableAddr, ReadTimeout: readTimeout, CommitTimeout: commitTimeout, Clock: bootTime})
	store := timely.New(timely.Config{
		Store: p.table, CheckDelay: commitCheckDelay, MaxFastRead: maxFastRead, ReadTimeout: probeReadTimeout, CommitTimeout: commitTimeout, Now: boot.Now,
	})
	p.workers = platform.NewWorkers(platform.WorkersConfig{HeartbeatTimeout: heartbeatTimeout, OrderTimeout: orderTimeout, Clock: bootTime})
	var machines gauge.Machines
	if s.MachinesAddr != "" {
		p.machines = platform.NewMachines(platform.MachinesConfig{Addr: s.MachinesAddr, Timeout: machineTimeout, Clock: bootTime})
		machines = p.machines
	}
	var adviser gauge.Adviser
	if s.AdviceAddr != "" {
		adviser = platform.NewAdvice(platform.AdviceConfig{Addr: s.AdviceAddr, Timeout: adviceTimeout, Clock: bootTime})
	}
	p.mesh = mesh.New(mesh.Config{Closed: func(addr string) { p.node.CheckHolder(addr) }})
	p.node = node.New(node.Config{
		Name: s.NodeName, Start: newStartID(), Addr: p.peerAddr(), CapacityCores: s.CapacityCores(), Store: store, Workers: p.workers, Machines: machines, Adviser: adviser,
		Words: platform.TableCodec{}, Mesh: p.mesh, Logs: log, Now: boot.Now, WallClock: time.Now, ObserveCall: p.meter.ObserveCall, CountEvent: p.meter.CountEvent,
		ObserveBacklog: p.meter.SetBacklog, MaxWorkerLease: s.MaxWorkerLease, MaxApplyDelay: s.MaxApplyDelay, Disabled: disabled, MinOrderInterval: s.MinOrderInterval, MaintenanceDuration: s.MaintenanceDuration, JobRetention: s.JobRetention,
	})
	p.meter.RegisterTableAges(p.node.TableAges)
	p.front = platform.NewFrontend(platform.FrontendConfig{Jobs: p.node.Jobs(), Site: p.node.ServingSite, Route: p.node.Route, Ready: p.node.Ready, Logs: log})
	return p
}

// bootTime returns the time since the machine's start, suspensions included, as a time.Time, for
// components that only use differences of times.
func bootTime() time.Time { return time.Unix(0, int64(boot.Now())) }
