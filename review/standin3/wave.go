package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

// The case of the upkeep that is ordered by a holder which is killed, and carried out late.

const (
	waveNumber   = 1
	waveSeconds  = 60
	waveMost     = 1 // machines down at once
	waveLimit    = 75 * time.Second
	lateBy       = 5500 * time.Millisecond
	lateOrder    = 2 // the second order of the wave is carried out late
	killDelay    = 200 * time.Millisecond
	restartDelay = time.Second
)

func playWave(s *site) (verdict, error) {
	s.putConfig(1)
	f := newFleet(s)
	service, err := newMachineService(f)
	if err != nil {
		return verdict{}, err
	}
	s.machines = service
	var broken []string
	orders, killed := 0, make(chan string, 1)
	var ids []string
	service.began = func(o *machineOrder) {
		down := 0
		for _, h := range service.machines {
			if h.downFor == o.Wave {
				down++
			}
		}
		if down >= waveMost {
			broken = append(broken, o.Machine)
			s.rec.printf("the upkeep of %s, ordered by %s, begins while %d of %d are down", o.Machine, o.holder, down, waveMost)
		}
	}
	service.late = func(o *machineOrder) time.Duration {
		if o.Wave != waveNumber {
			return 0
		}
		if orders++; orders != lateOrder || !s.trouble {
			return 0
		}
		killed <- o.holder
		return lateBy
	}
	for i := range rackCount {
		for k := range workersPerRack {
			id := fmt.Sprintf("m-%d-%d", i+1, k+1)
			ids = append(ids, id)
			if err := service.add(id, poolName, fmt.Sprintf("r1-%d", i+1)); err != nil {
				return verdict{}, err
			}
		}
	}
	if err := s.startHosts(3); err != nil {
		return verdict{}, err
	}
	stop := make(chan struct{})
	defer close(stop)
	// Enough work for most of the machines, so that they stay in the pool.
	go s.submitQuickJobs(stop, stepBody{Count: 4, CPU: 3000, MemMB: 64, EstimateMS: 500, runMS: 350})
	time.Sleep(2 * time.Second)
	s.table.Put("op", fmt.Sprintf("wave/%d", waveNumber), map[string]any{"wave": waveNumber, "machines": ids, "durationS": waveSeconds, "maximum": waveMost})
	go func() {
		holder := <-killed
		time.Sleep(killDelay)
		for _, h := range s.hosts {
			if h.name == holder {
				<-h.signal(syscall.SIGKILL)
				time.Sleep(restartDelay)
				_ = h.start()
			}
		}
	}()
	err = s.waitFor("the wave is completed", waveLimit, func() bool {
		return strings.Contains(string(s.table.Value("status", "", fmt.Sprintf("wave/%d", waveNumber))), "completed")
	})
	if err != nil {
		s.rec.printf("%v", err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return verdict{broken: len(broken) > 0, summary: fmt.Sprintf("%d upkeeps began while %d machines of their wave were down: %v; wave completed: %t", len(broken), waveMost, broken, err == nil)}, nil
}
