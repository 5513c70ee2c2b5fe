package main

import (
	"time"

	"github.com/go-logr/logr"

	gauge "sapphiregauge"
	"sapphiregauge/internal/boot"
	"sapphiregauge/internal/budget"
	"sapphiregauge/internal/mesh"
	"sapphiregauge/internal/meter"
	"sapphiregauge/internal/node"
	"sapphiregauge/internal/timely"
	"sapphiregauge/platform"
)

// assemble creates the components of an entry and connects them.
func assemble(s platform.Settings, disabled gauge.Disabled, log logr.Logger) *components {
	c := &components{settings: s, log: log, meter: meter.New()}
	budgets := budget.Divide(budget.MachineConfig{Memory: s.MemoryBytes, Files: s.MaxFiles, Count: c.meter.CountEvent})
	c.metrics = newMetricsServer(c.meter.Registry, budgets.Probes)
	c.table = platform.NewTable(platform.TableConfig{Addr: s.TableAddr, ReadTimeout: readTimeout, CommitTimeout: commitTimeout, Clock: bootTime, Observe: c.meter.CountTraffic})
	store := timely.New(timely.Config{
		Store: c.table, CheckDelay: commitCheckDelay, MaxFastRead: maxFastRead, ReadTimeout: probeReadTimeout, CommitTimeout: commitTimeout, Now: boot.Now,
	})
	c.workers = platform.NewWorkers(platform.WorkersConfig{HeartbeatTimeout: heartbeatTimeout, OrderTimeout: orderTimeout, Clock: bootTime})
	var machines gauge.Machines
	if s.MachinesAddr != "" {
		c.machines = platform.NewMachines(platform.MachinesConfig{Addr: s.MachinesAddr, Timeout: machineTimeout, Clock: bootTime})
		machines = c.machines
	}
	var adviser gauge.Adviser
	if s.AdviceAddr != "" {
		adviser = platform.NewAdvice(platform.AdviceConfig{Addr: s.AdviceAddr, Timeout: adviceTimeout, Clock: bootTime})
	}
	c.mesh = mesh.New(mesh.Config{Budget: budgets.Peers, Closed: func(addr string) { c.node.CheckHolder(addr) }})
	c.node = node.New(node.Config{
		Name: s.NodeName, StartID: newStartID(), Addr: c.peerAddr(), CapacityCores: s.CapacityCores(), Store: store, Workers: c.workers, Machines: machines, Adviser: adviser,
		Codec: platform.TableCodec{KeysRequired: s.KeysRequired, Contended: s.Contended}, Mesh: c.mesh, Logs: log, Now: boot.Now, WallClock: time.Now, ObserveCall: c.meter.ObserveCall, CountEvent: c.meter.CountEvent,
		ObserveBacklog: c.meter.SetBacklog, MaxWorkerLease: s.MaxWorkerLease, MaxRowBytes: s.MaxRowBytes, MaxApplyDelay: s.MaxApplyDelay, MaxKeyDelay: s.MaxKeyDelay, Disabled: disabled, MinOrderInterval: s.MinOrderInterval, MaxOrderRate: s.MaxOrderRate, MaintenanceDuration: s.MaintenanceDuration, JobRetention: s.JobRetention,
	})
	c.meter.RegisterTableAges(c.node.TableAges)
	c.front = platform.NewFrontend(platform.FrontendConfig{Jobs: c.node.Jobs(), Site: c.node.ServingSite, Admit: c.node.Admit, MayBeStored: c.node.MayBeStored, Ready: c.node.Ready, Clients: budgets.Clients, Probes: budgets.Probes, Logs: log})
	return c
}

// bootTime returns the time since the machine's start, suspensions included, as a time.Time, for
// components that only use differences of times.
func bootTime() time.Time { return time.Unix(0, int64(boot.Now())) }
