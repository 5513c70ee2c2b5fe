package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// The case of a worker that is lost for good just before the traffic ends: the tasks whose starts it
// left unanswered.

const (
	goneRacks    = 4 // of two workers: one worker is 12.5 % of the service
	goneWarmUp   = 6 * time.Second
	goneTraffic  = 500 * time.Millisecond // from the loss to the end of the traffic
	goneFinish   = 14 * time.Second       // finish_s
	goneIdle     = 3 * time.Second
	goneHosts    = 3
	goneInterval = 65 * time.Millisecond
)

// sentJobs are the jobs that clients have sent and that were accepted.
type sentJobs struct {
	mu  sync.Mutex
	ids []string
}

func (j *sentJobs) add(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.ids = append(j.ids, id)
}

func playGone(s *site) (verdict, error) {
	s.putConfig(1)
	f := newFleet(s)
	f.tellsStart = true
	if err := f.startRacks(goneRacks); err != nil {
		return verdict{}, err
	}
	if err := s.startHosts(goneHosts); err != nil {
		return verdict{}, err
	}
	accepted, stop := new(sentJobs), make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() { s.sendUntil(stop, accepted, &clients) })
	time.Sleep(goneWarmUp)
	if s.trouble {
		f.mostUsed().goDark()
	}
	time.Sleep(goneTraffic)
	close(stop)
	clients.Wait()
	s.rec.printf("the traffic ends, %d jobs are accepted", len(accepted.ids))
	time.Sleep(goneFinish)
	return s.judgeGone(f, accepted.ids), nil
}

// sendUntil submits small jobs until stop is closed.
func (s *site) sendUntil(stop chan struct{}, accepted *sentJobs, clients *sync.WaitGroup) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(goneInterval):
		}
		id := fmt.Sprintf("%016x", 0xabc000+i)
		job := &jobBody{Spec: "quick", Steps: []stepBody{{Count: 2, CPU: 900, MemMB: 64, EstimateMS: 300, runMS: 200 + 37*(i%11)}}}
		clients.Go(func() {
			if s.submit(quickPrefix, id, job, i) == http.StatusOK {
				accepted.add(id)
			}
		})
	}
}

// mostUsed returns the worker with the most runs.
func (f *fleet) mostUsed() *worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.MaxFunc(f.all, func(a, b *worker) int { return len(a.runs) - len(b.runs) })
}

// judgeGone looks for accepted jobs that aren't completed although nothing of them has run for a while
// and the workers are free.
func (s *site) judgeGone(f *fleet, ids []string) verdict {
	used, running := f.usage()
	s.rec.printf("%d thousandths of a core are in use, runs of %v", used, running)
	var waiting []string
	for _, id := range ids {
		f.mu.Lock()
		idle := time.Since(f.lastStart[id])
		f.mu.Unlock()
		if running[id] || idle < goneIdle {
			continue
		}
		if state := s.state(quickPrefix, id); state != "completed" {
			waiting = append(waiting, id)
			s.rec.printf("job %s is %q, nothing of it runs, %d thousandths of a core are in use", id, state, used)
		}
	}
	return verdict{
		broken:  len(waiting) > 0,
		summary: fmt.Sprintf("%d of %d accepted jobs have nothing running %v after the end of the traffic, with %d thousandths of a core in use: %s", len(waiting), len(ids), goneFinish, used, strings.Join(waiting, " ")),
	}
}

// usage returns what is in use of all workers, and the jobs that have runs.
func (f *fleet) usage() (used int, running map[string]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	running = make(map[string]bool)
	for _, w := range f.all {
		for task, r := range w.runs {
			used += r.spec.CPU
			running[strings.Split(task, ".")[0]] = true
		}
	}
	return used, running
}
