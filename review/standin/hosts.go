package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// host is an entry host: a process of the product, started with the command of the deploy file.
type host struct {
	name, ip string
	ports    ports
	dir      string
	program  string
	rec      *record

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

// ports are the same on all machines.
type ports struct{ frontend, ready, control, internal, metrics int }

// freePorts returns ports that are free on all addresses.
func freePorts(ips []string) (ports, error) {
	for base := 21000 + os.Getpid()%400*50; base < 60000; base += 50 {
		free := true
		for _, ip := range ips {
			for port := base; free && port < base+20; port++ {
				l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
				if err != nil {
					free = false
					break
				}
				_ = l.Close()
			}
		}
		if free {
			return ports{base, base + 1, base + 2, base + 3, base + 19}, nil
		}
	}
	return ports{}, fmt.Errorf("no free ports")
}

// settings is the settings file of DEPLOY.md with the figures of the site brandys-dimenzace.
func (h *host) settings(zone string, s *store, seeds string) string {
	return fmt.Sprintf(`nodeName=%[1]s
role=entry
machineClass=edge
serves=edge
ip=%[2]s
zone=%[3]s
region=cz-stred
zones.hala-a=cz-stred
zones.hala-b=cz-stred
zones.sklep=cz-stred
bindAddresses.frontend=%[2]s:%[4]d
bindAddresses.ready=%[2]s:%[5]d
bindAddresses.controlPlane=%[2]s:%[6]d
internalPorts=%[7]d,%[8]d
seedNodes=%[10]s
bootstrap=true
inTolerance=false
limits.cpuShare=0.4
limits.cpuCores=1
limits.memoryMb=284
limits.maxFds=4100
limits.linkMbps=1000.0
limits.diskMb=0
discovery=platform
entrypoint=vip
heartbeatMs=1500
contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing
faultTolerance.machines=1
faultTolerance.zones=0
faultTolerance.regions=0
bounds.seedLagS=3
bounds.addrReuseS=2
bounds.contactMs=3000
bounds.ackTimeoutMs=4000
bounds.catchUpS=4
bounds.drainMs=2000
bounds.graceS=6
bounds.lossSlackMs=200
bounds.configApplyMs=2000
bounds.rollbackSlackMs=250
bounds.maxStretchMs=5000
bounds.recoveryS=12
bounds.maxHoldMs=10000
bounds.stopTimeoutMs=900
bounds.gangTimeoutMs=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.remoteFactor=2
bounds.checkpointS=1
bounds.restoreMs=600
bounds.noticeMs=4500
bounds.migrateS=1.5
bounds.maintenanceS=2
bounds.fencingEnforced=true
bounds.leaseMs=3000
bounds.thawSlackMs=300
bounds.paceMs=100
bounds.impactMs=4000
controlMode=request
platform.address=%[9]s
platform.form=table
platform.writesPerS=800
platform.readsPerS=2000
platform.txnMs=3.0
platform.partitionWritesS=300
platform.rowBytes=65536
platform.crossRegion=true
platform.historyS=20
platform.blobBytes=8388608
platform.blobMs=25.0
platform.blobMbS=80.0
cloudApi.duties=
`, h.name, h.ip, zone, h.ports.frontend, h.ports.ready, h.ports.control, h.ports.internal, h.ports.internal+15, s.addr, seeds)
}

func (h *host) file(ending string) string { return filepath.Join(h.dir, h.name+ending) }

func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	log, err := os.OpenFile(h.file(".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	// The command of the deploy file.
	cmd := exec.Command(h.program, "host", fmt.Sprintf("--metrics=%d", h.ports.metrics))
	cmd.Env = append(os.Environ(), "SAPPHIREGAUGE_SETTINGS="+h.file(".conf"))
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	h.cmd, h.ended = cmd, ended
	h.rec.note("host %s starts", h.name)
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		h.rec.note("host %s has ended: %s", h.name, cmd.ProcessState)
		close(ended)
	}()
	return nil
}

func (h *host) kill() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd == nil {
		return
	}
	_ = h.cmd.Process.Kill()
	<-h.ended
}

// graceTime is graceS.
const graceTime = 6 * time.Second

// terminate sends SIGTERM, and SIGKILL after the grace period.
func (h *host) terminate(grace time.Duration) {
	h.mu.Lock()
	cmd, ended := h.cmd, h.ended
	h.mu.Unlock()
	_ = cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(grace):
		h.kill()
	}
}

func (h *host) frontend() string { return fmt.Sprintf("%s:%d", h.ip, h.ports.frontend) }

// newHosts starts the hosts of a small site.
func newHosts(n int, program, dir string, s *store, rec *record) ([]*host, error) {
	var ips []string
	for i := range n {
		ips = append(ips, fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()%200, os.Getpid()/200%250, 10+i))
	}
	p, err := freePorts(ips)
	if err != nil {
		return nil, err
	}
	zones := []string{"hala-a", "hala-b", "sklep"}
	var hosts []*host
	for i, ip := range ips {
		zone := zones[i%len(zones)]
		h := &host{name: fmt.Sprintf("edge-%s-%d", zone, i), ip: ip, ports: p, dir: dir, program: program, rec: rec}
		seeds := fmt.Sprintf("%s:%d", ips[0], p.control)
		if err := os.WriteFile(h.file(".conf"), []byte(h.settings(zone, s, seeds)), 0o600); err != nil {
			return nil, err
		}
		hosts = append(hosts, h)
	}
	for _, h := range hosts {
		if err := h.start(); err != nil {
			return hosts, err
		}
	}
	return hosts, nil
}

// stopAll ends all hosts.
func stopAll(hosts []*host) {
	for _, h := range hosts {
		h.kill()
	}
	time.Sleep(50 * time.Millisecond)
}
