//go:build review

package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// judgeUnfinished returns the accepted jobs that break LOST: one isn't known, or has nothing running for
// stallTime although it hasn't ended and under half of the capacity is in use. Each job here has one
// step, so that the turn of its tasks has come, and needs at most 2 of 48 cores.
func (s *site) judgeUnfinished(jobs []string) []string {
	var broken, open []string
	for i, state := range s.states(jobs) {
		id := jobs[i]
		switch state {
		case "completed":
		case "pending", "running":
			open = append(open, id)
		default:
			broken = append(broken, fmt.Sprintf("LOST: job %s is shown as %q", id, state))
		}
	}
	active, busy := make(map[string]bool), false
	for end := time.Now().Add(stallTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		busy = busy || s.fleet.isHalfInUse()
		for _, id := range open {
			if n, _ := s.fleet.runningTasks(id); n > 0 {
				active[id] = true
			}
		}
	}
	stalled, neverBegun := 0, 0
	states := s.states(open)
	for i, id := range open {
		if active[id] || states[i] == "completed" {
			continue
		}
		stalled++
		if _, begun := s.fleet.runningTasks(id); !begun {
			neverBegun++
		}
	}
	s.rec.say("of %d jobs %d are open, %d stalled, %d never begun; half of the capacity in use: %t", len(jobs), len(open), stalled, neverBegun, busy)
	if stalled > 0 && !busy {
		broken = append(broken, fmt.Sprintf("LOST: %d of %d accepted jobs have nothing running for %s, %s after the traffic, and aren't completed; of %d no task has ever begun; under half of the capacity is in use",
			stalled, len(jobs), stallTime, finishS, neverBegun))
	}
	return broken
}

// states asks for the states of jobs, several at a time.
func (s *site) states(jobs []string) []string {
	states := make([]string, len(jobs))
	var group sync.WaitGroup
	slots := make(chan bool, 8)
	for i, id := range jobs {
		slots <- true
		group.Go(func() {
			defer func() { <-slots }()
			states[i] = s.state(id)
			s.rec.say("GET %s: %q", id, states[i])
		})
	}
	group.Wait()
	return states
}

// traffic is the traffic of small jobs.
type traffic struct {
	s  *site
	wg sync.WaitGroup

	mu  sync.Mutex
	ids []string
}

func newTraffic(s *site) *traffic { return &traffic{s: s} }

// run hands in jobs for some time, and returns once all are answered.
func (t *traffic) run(d time.Duration) {
	tick := time.NewTicker(smallInterval)
	defer tick.Stop()
	for end := time.Now().Add(d); time.Now().Before(end); <-tick.C {
		t.wg.Add(1)
		go func() {
			defer t.wg.Done()
			id := newJobID()
			if !t.s.submit(id, smallMillis, step{Count: smallTasks, CPU: smallCPU, MemMB: 64, EstimateMS: smallMillis}) {
				return
			}
			t.mu.Lock()
			defer t.mu.Unlock()
			t.ids = append(t.ids, id)
		}()
	}
	t.wg.Wait()
}

func (t *traffic) accepted() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.ids)
}
