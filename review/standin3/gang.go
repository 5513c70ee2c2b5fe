package main

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// The case of the checkpoints of a gang: the rack on which it works loses power, and it is started
// again elsewhere.

const (
	rackCount      = 3
	workersPerRack = 2
	workerCPU      = 16000
	gangRounds     = 6
	gangWork       = 9000 // milliseconds
	gangWorksFor   = 3300 * time.Millisecond
	rackDark       = 4 * time.Second
	gangLimit      = 40 * time.Second
	quickInterval  = 130 * time.Millisecond
	quickPrefix    = "/kontrola/"
	gangPrefix     = "/studie/"
)

// putConfig writes the configuration, as the operator does.
func (s *site) putConfig(version int) {
	route := func(name, prefix string, priority int) map[string]any {
		return map[string]any{
			"name": name, "host": clientHost, "pathPrefix": prefix, "timeoutMs": 3000, "targetDurationMs": 600, "priority": priority,
			"service": poolName, "maxAttempts": 4, "stretch": 1.6,
		}
	}
	s.table.Put("op", "config", map[string]any{
		"version": version, "routes": []any{route("kontrola", quickPrefix, 0), route("studie", gangPrefix, 1)},
		"services": []any{map[string]any{"name": poolName}, map[string]any{"name": spareName, "standby": true}},
		"limits":   map[string]any{"maxBodyBytes": 262144},
	})
}

// startRacks starts the workers of so many racks.
func (f *fleet) startRacks(count int) error {
	for i := range count {
		for k := range workersPerRack {
			if _, err := f.addWorker(fmt.Sprintf("m-%d-%d", i+1, k+1), poolName, fmt.Sprintf("r1-%d", i+1), workerCPU); err != nil {
				return err
			}
		}
	}
	return nil
}

func playGang(s *site) (verdict, error) {
	s.putConfig(1)
	f := newFleet(s)
	if err := f.startRacks(rackCount); err != nil {
		return verdict{}, err
	}
	if err := s.startHosts(2); err != nil {
		return verdict{}, err
	}
	stop := make(chan struct{})
	defer close(stop)
	go s.submitQuickJobs(stop, stepBody{Count: 2, CPU: 900, MemMB: 64, EstimateMS: 300, runMS: 200})
	time.Sleep(2 * time.Second)
	for i := range gangRounds {
		id := fmt.Sprintf("5c0e7a21d94b%04x", i)
		job := &jobBody{Spec: "soak", Steps: []stepBody{{
			Count: 4, CPU: 5000, MemMB: 512, EstimateMS: gangWork, Gang: true, SameRack: true,
			Affinity: fmt.Sprintf("r1-%d", i%rackCount+1), Checkpointing: true, runMS: gangWork,
		}}}
		if status := s.submit(gangPrefix, id, job, i); status != 200 {
			return verdict{}, fmt.Errorf("job %s isn't accepted: %d", id, status)
		}
		if err := s.waitFor("the gang works", 15*time.Second, func() bool { return f.gangWorksFor(id) > gangWorksFor }); err != nil {
			return verdict{}, err
		}
		if s.trouble {
			on := f.racksOf(id)
			if len(on) != 1 {
				return verdict{}, fmt.Errorf("the gang works on the racks %v", on)
			}
			f.losePower(on[0])
		}
		if err := s.waitFor("the job is completed", gangLimit, func() bool { return f.isDone(id) }); err != nil {
			s.rec.printf("job %s: %v", id, err)
		}
		s.state(gangPrefix, id)
	}
	return f.judgeGangs(), nil
}

// submitQuickJobs submits jobs of one step until stop is closed.
func (s *site) submitQuickJobs(stop chan struct{}, step stepBody) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(quickInterval):
		}
		one := step
		one.runMS += 37 * (i % 11)
		job := &jobBody{Spec: "quick", Steps: []stepBody{one}}
		go s.submit(quickPrefix, fmt.Sprintf("%016x", 0xabc000+i), job, i)
	}
}

// gangWorksFor returns for how long a job's gang has worked.
func (f *fleet) gangWorksFor(job string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	for key, g := range f.gangs {
		if strings.HasPrefix(key, job) && len(g.members) > 0 && !g.begunAt.IsZero() {
			return time.Since(g.begunAt)
		}
	}
	return 0
}

// racksOf returns the racks on which a job runs.
func (f *fleet) racksOf(job string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var racks []string
	for _, w := range f.all {
		for task := range w.runs {
			if strings.HasPrefix(task, job) && !w.dead && !slices.Contains(racks, w.rack) {
				racks = append(racks, w.rack)
			}
		}
	}
	return racks
}

// losePower ends all workers of a rack, and starts others on their machines after a while.
func (f *fleet) losePower(rack string) {
	f.site.rec.printf("rack %s loses power for %v", rack, rackDark)
	f.mu.Lock()
	all := slices.Clone(f.all)
	f.mu.Unlock()
	for _, w := range all {
		if w.rack != rack || w.isDead() {
			continue
		}
		w.crash()
		time.AfterFunc(rackDark, func() {
			if _, err := f.addWorker(w.machine, w.service, w.rack, w.cpu); err != nil {
				f.site.rec.printf("machine %s has no worker: %v", w.machine, err)
			}
		})
	}
}

// isDone reports whether the gang of a job has ended as done.
func (f *fleet) isDone(job string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for key, g := range f.gangs {
		if strings.HasPrefix(key, job) && g.done {
			return true
		}
	}
	return false
}

// judgeGangs looks for a run of a gang whose members were started with different checkpoints.
func (f *fleet) judgeGangs() verdict {
	f.mu.Lock()
	defer f.mu.Unlock()
	var bad []string
	runs, resumed := 0, 0
	for key, g := range f.gangs {
		runs++
		values := make(map[string][]string)
		for task, checkpoint := range g.starts {
			values[checkpoint] = append(values[checkpoint], task)
		}
		if values[""] == nil {
			resumed++
		}
		if len(values) > 1 {
			bad = append(bad, fmt.Sprintf("%s: %v", key, values))
		}
	}
	slices.Sort(bad)
	for _, line := range bad {
		f.site.rec.printf("members of one run with different checkpoints: %s", line)
	}
	return verdict{broken: len(bad) > 0, summary: fmt.Sprintf("%d of %d runs of gangs (%d resumed) were started with different checkpoints", len(bad), runs, resumed)}
}
