//go:build review

package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	poolMachines = 3
	waveMachines = 6
	waveSeconds  = 60
	waveMaximum  = 1
	// lateBy is within the 2 to 12 s after which a call without an answer is carried out.
	lateBy = 5500 * time.Millisecond
	// holderDown is how long the killed process is away.
	holderDown = 2 * time.Second
	waveTime   = 25 * time.Second
)

// playWave has a wave over the machines of the spare pool. It has one order for the upkeep of a machine get no answer and be carried out late, and then
// the process that gave it killed. No two machines of the wave may be down for their upkeep at once.
func playWave(s *site, trouble bool) ([]string, error) {
	for i := range poolMachines {
		if err := s.fleet.add(fmt.Sprintf("m-%d", i+1), poolName, workerCPU, workerMemMB); err != nil {
			return nil, err
		}
	}
	var machines []string
	for i := range waveMachines {
		id := fmt.Sprintf("s-%d", i+1)
		machines = append(machines, id)
		if err := s.fleet.add(id, spareName, workerCPU, workerMemMB); err != nil {
			return nil, err
		}
	}
	s.configure(1)
	if err := s.startHosts(3); err != nil {
		return nil, err
	}
	time.Sleep(5 * time.Second)
	var once sync.Once
	killed := make(chan struct{})
	s.fleet.mu.Lock()
	s.fleet.waves[1] = waveMaximum
	s.fleet.onOrder = func(o order) (lost bool, later time.Duration) {
		if !trouble || o.Wave == 0 {
			return false, 0
		}
		once.Do(func() {
			lost, later = true, lateBy
			go func() {
				defer close(killed)
				time.Sleep(100 * time.Millisecond)
				h := s.hostByName(o.holder)
				if h == nil {
					return
				}
				h.signal(syscall.SIGKILL)
				time.Sleep(holderDown)
				_ = h.start()
			}()
		})
		return lost, later
	}
	s.fleet.mu.Unlock()
	s.store.put("op", "wave/1", map[string]any{"wave": 1, "machines": machines, "durationS": waveSeconds, "maximum": waveMaximum})
	s.rec.say("wave 1 is stored: %v, at most %d at once", machines, waveMaximum)
	time.Sleep(waveTime)
	if trouble {
		select {
		case <-killed:
		default:
			return nil, fmt.Errorf("no upkeep was ordered")
		}
	}
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	begun := 0
	for _, m := range s.fleet.machines {
		if m.wave[1] {
			begun++
		}
	}
	s.rec.say("%d of %d machines have begun their upkeep", begun, waveMachines)
	if begun == 0 {
		return nil, fmt.Errorf("no upkeep has begun")
	}
	return s.fleet.broken, nil
}
