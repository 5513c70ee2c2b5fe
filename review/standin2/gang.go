//go:build review

package main

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"syscall"
	"time"

	gauge "sapphiregauge"
)

// The gang takes three of the four cores of each of three workers, so that it waits while one is away.
const (
	gangMembers   = 3
	gangCPU       = 3000
	gangWorkerCPU = 4000
	gangRunMillis = 9000
	// gangWorks is how long it has worked when a worker crashes: there are three checkpoints.
	gangWorks      = 3500 * time.Millisecond
	gangCrashDown  = 4500 * time.Millisecond
	restartAfter   = 1500 * time.Millisecond // from the crash on
	gangFinishTime = 25 * time.Second
)

// owner returns the host that owns the pool, by its lease row.
func (s *site) owner() *host {
	lease, err := gauge.DecodeLeaseRow(s.store.value(gauge.TableLeases, poolName, gauge.KeyOwner))
	if err != nil {
		return nil
	}
	name, _, _ := strings.Cut(lease.Holder, "/")
	return s.hostByName(name)
}

// restart has a host's process end by SIGTERM, and starts it again.
func (h *host) restart() {
	h.signal(syscall.SIGTERM)
	h.mu.Lock()
	ended := h.ended
	h.mu.Unlock()
	go func() {
		<-ended
		_ = h.start()
	}()
}

// playGang has a worker crash that runs a member of a gang, and restarts the pool's owner while the
// gang waits for that worker. When the gang starts again, all members have to carry one checkpoint.
func playGang(s *site, trouble bool) ([]string, error) {
	s.fleet.judge, s.fleet.log = newJudge(s.fleet), true
	for i := range gangMembers {
		if err := s.fleet.add(fmt.Sprintf("m-%d", i+1), poolName, gangWorkerCPU, workerMemMB); err != nil {
			return nil, err
		}
	}
	s.configure(1)
	if err := s.startHosts(3); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	j := &jobSpec{ID: newJobID(), Work: work{RunMillis: gangRunMillis, CPU: gangCPU, Checkpoints: true, Gang: gangMembers}}
	j.Steps = []step{{Count: gangMembers, CPU: gangCPU, MemMB: 64, EstimateMS: gangRunMillis, Checkpointing: true, Gang: true}}
	s.fleet.runMu.Lock()
	s.fleet.judge.jobs[j.ID] = j
	s.fleet.runMu.Unlock()
	if s.submitJob(j); !j.accepted {
		return nil, errors.New("the job was not accepted")
	}
	if !waitFor(5*time.Second, func() bool { n, _ := s.fleet.runningTasks(j.ID); return n == gangMembers }) {
		return nil, errors.New("the gang didn't start")
	}
	time.Sleep(gangWorks)
	if trouble {
		s.fleet.crash("m-1", gangCrashDown)
		time.Sleep(restartAfter)
		h := s.owner()
		if h == nil {
			return nil, errors.New("the pool has no owner")
		}
		h.restart()
	}
	waitFor(gangFinishTime, func() bool { return s.state(j.ID) == "completed" })
	s.rec.say("the job is %q", s.state(j.ID))
	s.fleet.runMu.Lock()
	defer s.fleet.runMu.Unlock()
	return slices.Clone(s.fleet.judge.broken), nil
}

func waitFor(limit time.Duration, reached func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if reached() {
			return true
		}
	}
	return false
}
