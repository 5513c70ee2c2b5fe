package main

import (
	"fmt"
	"maps"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"
)

const (
	gangJobs    = 8
	gangMembers = 4
	gangWork    = 12 * time.Second
	gangsStart  = 120 * time.Millisecond // between two of them
	rackDown    = 4500 * time.Millisecond
	// The queue's demand rises and falls by turns: fin-check comes 6.18 times a second, then a
	// twentieth as often.
	checkInterval    = 160 * time.Millisecond
	lowCheckInterval = 20 * checkInterval
	highDemand       = 3500 * time.Millisecond
)

// gangCheckpoints has all workers of a rack crash while gangs work there, each member on a worker of
// its own.
func gangCheckpoints(c *testCase) ([]string, error) {
	if err := c.submitLasting(); err != nil {
		return nil, err
	}
	stop := c.submitChecks()
	defer stop()
	path := func(i int) string { return fmt.Sprintf("%s%016x", queues[1].prefix, 0xc000+i) }
	for i := range gangJobs {
		job := map[string]any{
			"spec": work{Millis: int(gangWork.Milliseconds()), Gang: gangMembers, Checkpoints: true}.spec(),
			"steps": []any{map[string]any{
				"count": gangMembers, "cpu": 1500, "memMb": 2048, "estimateMs": gangWork.Milliseconds(), "gang": true, "sameRack": true,
				"checkpointing": true, "affinity": fmt.Sprintf("r%s-0", queues[1].pool), "antiAffinity": 1,
			}},
		}
		if !c.client.submit(path(i), job) {
			return nil, errNotRun
		}
		time.Sleep(gangsStart)
	}
	time.Sleep(6 * time.Second)
	rack := c.fleet.rackOf(path(0)[len(queues[1].prefix):])
	if rack == "" {
		return nil, fmt.Errorf("the gang doesn't run on a rack of its own: %w", errNotRun)
	}
	if c.trouble {
		c.rec.note("platform: all workers of rack %s crash (srv_crash, how rack)", rack)
		crashed := c.fleet.crashRack(rack)
		time.Sleep(rackDown)
		for _, w := range crashed {
			if _, err := c.fleet.start(w.machine, w.pool, w.rack); err != nil {
				return nil, err
			}
		}
		c.rec.note("platform: the workers of rack %s are back", rack)
	}
	end := time.Now().Add(55 * time.Second)
	for i := range gangJobs {
		for c.client.state(path(i)) != "completed" && time.Now().Before(end) {
			time.Sleep(time.Second)
		}
	}
	return mixedCheckpoints(c.rec.events()), nil
}

// submitChecks submits small jobs to the pool, as the site's clients do.
func (c *testCase) submitChecks() (stop func()) {
	done := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		caller := newClient(c.hosts, c.rec)
		began, interval := time.Now(), checkInterval
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-time.After(interval):
			}
			if time.Since(began) > highDemand {
				interval = lowCheckInterval
			}
			caller.call("POST", fmt.Sprintf("%s%016x", queues[0].prefix, 0xd000+n), map[string]any{
				"spec":  work{Millis: 640}.spec(),
				"steps": []any{map[string]any{"count": 3, "cpu": 1100, "memMb": 1200, "estimateMs": 640}},
			})
		}
	})
	return func() {
		close(done)
		group.Wait()
	}
}

// rackOf returns the rack on whose workers the members of a gang run, if they run on several of one.
func (f *fleet) rackOf(job string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	workers, racks := 0, make(map[string]bool)
	for _, w := range f.workers {
		for task := range w.running {
			if strings.HasPrefix(task, job) {
				workers++
				racks[w.rack] = true
				break
			}
		}
	}
	if workers < 2 || len(racks) != 1 {
		return ""
	}
	return slices.Collect(maps.Keys(racks))[0]
}

func (f *fleet) crashRack(rack string) []*worker {
	f.mu.Lock()
	var down []*worker
	for _, w := range f.workers {
		if w.rack == rack {
			down = append(down, w)
		}
	}
	f.mu.Unlock()
	sort.Slice(down, func(i, k int) bool { return down[i].id < down[k].id })
	f.crash(down)
	return down
}

// mixedCheckpoints checks that all members of each run of a gang are told to start with the same
// checkpoint.
func mixedCheckpoints(events []event) []string {
	type member struct{ task, worker, checkpoint string }
	runs := make(map[string][]member)
	var keys []string
	for _, e := range events {
		if e.what != "started" || !strings.Contains(e.more, "gang") {
			continue
		}
		key := gangKey(e.task, e.run)
		if runs[key] == nil {
			keys = append(keys, key)
		}
		runs[key] = append(runs[key], member{e.task, e.worker, strings.TrimSuffix(strings.TrimPrefix(e.more, "checkpoint="), " gang")})
	}
	var breaks []string
	for _, key := range keys {
		values := make(map[string]bool)
		for _, m := range runs[key] {
			values[m.checkpoint] = true
		}
		if len(values) > 1 {
			breaks = append(breaks, fmt.Sprintf("UNASKED: the members of the gang run %s are told to start with different checkpoints: %v", key, runs[key]))
		}
	}
	return breaks
}
