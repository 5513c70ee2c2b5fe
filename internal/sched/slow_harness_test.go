package sched_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sched"
)

// speedPool is a pool whose workers run at different speeds. Each worker reports once in each
// interval.
type speedPool struct {
	*harness
	check    assert.TestingT // fails if too many workers are in back-off
	interval time.Duration
	ids      []string
	speeds   map[string]float64 // by worker, relative to the usual one
	failing  map[string]bool    // workers on which each run fails
	runs     map[string][]*speedRun
	target   func(now time.Duration) int // tasks that are to run or wait
	spec     gauge.Step
	factor   func(gauge.TaskID) int // by which a task takes longer than its estimate; nil: 1
	grain    int                    // in percent, in which progress is reported
	without  gauge.Disabled

	open   map[string]int // tasks that aren't done, by job
	rows   map[string][]byte
	jobs   int
	starts []string       // orders so far
	since  map[string]int // starts by worker since the last reset
	done   int            // tasks done since then
	events map[string]int
}

// speedRun is a run on one of the workers.
type speedRun struct {
	order sched.Order
	began time.Duration
	done  time.Duration // of its work
}

const (
	speedSlots    = 8  // tasks that fit on a worker
	speedJobTasks = 12 // more than fit on one worker
	// stuckSpan is how long a run on a worker that stands still lasts. It is stopped then, as if a
	// copy had ended elsewhere, which makes room for the next one.
	stuckSpan = 4 * time.Second
)

func newSpeedPool(t *testing.T, workers int, spec gauge.Step, target func(time.Duration) int, without ...gauge.Mechanism) *speedPool {
	s := &speedPool{
		harness: newHarness(t), check: t, interval: 100 * time.Millisecond, grain: 1, failing: make(map[string]bool), speeds: make(map[string]float64), runs: make(map[string][]*speedRun), target: target, spec: spec, without: without,
		open: make(map[string]int), rows: make(map[string][]byte), since: make(map[string]int), events: make(map[string]int),
	}
	for i := range workers {
		id := fmt.Sprintf("w%02d", i)
		s.ids, s.speeds[id] = append(s.ids, id), 1
	}
	s.takeOver(0)
	return s
}

func speedStep() gauge.Step {
	step := newStep(speedJobTasks)
	step.Speculative = true
	return step
}

func constantLoad(tasks int) func(time.Duration) int {
	return func(time.Duration) int { return tasks }
}

// risingLoad changes between 20 and 100 tasks every two seconds, so that workers have room that is
// taken with the next rise.
func risingLoad(now time.Duration) int {
	if now/(2*time.Second)%2 == 0 {
		return 20
	}
	return 100
}

// takeOver replaces the owner by one that knows what the table has.
func (s *speedPool) takeOver(term int) {
	s.pool = newHarness(s.t, func(c *sched.Config) {
		c.Disabled, c.Term, c.Fence = s.without, term, gauge.FencingToken(fence+1_000_000*term)
		c.CountEvent = func(event string) { s.events[event]++ }
		if term > 0 {
			c.PreviousWorkers, c.PreviousRunsEnd = incarnations(s.ids...), s.now+6*time.Second
		}
	}).pool
	var list []gauge.Worker
	for _, id := range s.ids {
		w := newWorker(id)
		w.Capacity = gauge.Resources{MilliCPU: 1000 * speedSlots, MemoryMB: 8000}
		list = append(list, w)
	}
	s.pool.UpdateWorkers(list)
	s.pool.LeaseRowWritten(incarnations(s.ids...), fence)
	for _, id := range slices.Sorted(maps.Keys(s.open)) {
		row, err := gauge.DecodeJobRow(s.rows[id])
		assert.NilError(s.t, err)
		s.pool.Adopt(sched.AcceptedJob{ID: id, Queue: queueName, Spec: &gauge.JobSpec{Steps: []gauge.Step{s.spec}}, Row: row, Version: 1, Arrived: s.now, Inherited: true}, s.now)
	}
}

// play lets time pass.
func (s *speedPool) play(span time.Duration) {
	for end := s.now + span; s.now < end; {
		s.advance(s.interval)
		for _, id := range s.ids {
			s.reportRuns(id)
		}
		s.submit()
		for _, o := range s.planStarts() {
			s.confirm([]sched.Order{o})
			s.runs[o.Worker.ID] = append(s.runs[o.Worker.ID], &speedRun{order: o, began: s.now})
			s.since[o.Worker.ID]++
			s.starts = append(s.starts, fmt.Sprintf("%s %s on %s", s.now, o.Start.Task, o.Worker.ID))
		}
		for _, c := range s.writeAll(int64(2*fence) + s.now.Milliseconds()).Changes {
			s.rows[c.Job] = c.Row
		}
		assert.Assert(s.check, 4*s.backingOff() <= len(s.ids), "%d workers are in back-off at %s", s.backingOff(), s.now)
	}
}

// reportRuns lets a worker's runs go on, and has it report them.
func (s *speedPool) reportRuns(id string) {
	var running []gauge.RunReport
	var ended []gauge.EndReport
	s.runs[id] = slices.DeleteFunc(s.runs[id], func(r *speedRun) bool {
		r.done += time.Duration(s.speeds[id] * float64(s.interval))
		task := r.order.Start.Task
		if s.failing[id] {
			ended = append(ended, s.endReport(id, task, r.order.Start.Run, gauge.EndFailed))
			return true
		}
		if s.speeds[id] == 0 && s.now-r.began > stuckSpan {
			ended = append(ended, s.endReport(id, task, r.order.Start.Run, gauge.EndStopped))
			return true
		}
		if work := s.work(task); r.done < work {
			progress := int(100*r.done/work) / s.grain * s.grain
			rr := gauge.RunReport{Task: task, Run: r.order.Start.Run, Progress: progress}
			if s.spec.Checkpoints {
				rr.Checkpoint = fmt.Sprint(progress)
			}
			running = append(running, rr)
			return false
		}
		ended = append(ended, s.endReport(id, task, r.order.Start.Run, gauge.EndDone))
		if s.open[task.Job]--; s.open[task.Job] == 0 {
			delete(s.open, task.Job)
		}
		s.done++
		return true
	})
	s.report(id, running, ended...)
}

// work is how long a task takes at the usual speed.
func (s *speedPool) work(task gauge.TaskID) time.Duration {
	if s.factor == nil {
		return s.spec.Estimate
	}
	return s.spec.Estimate * time.Duration(s.factor(task))
}

// submit adds jobs until there are as many tasks as there should be.
func (s *speedPool) submit() {
	tasks := 0
	for id, n := range s.open {
		if state, _ := s.pool.JobState(queueName, id); state == gauge.JobFailed {
			delete(s.open, id)
			continue
		}
		tasks += n
	}
	for ; tasks < s.target(s.now); tasks += s.spec.Count {
		s.jobs++
		s.open[s.adopt(s.jobs, false, s.spec)] = s.spec.Count
	}
}

// backingOff counts the workers that get no starts.
func (s *speedPool) backingOff() int {
	n := 0
	for _, w := range s.pool.Load(s.now).Workers {
		if !w.AcceptsRuns {
			n++
		}
	}
	return n
}

// reset begins new counts.
func (s *speedPool) reset() {
	clear(s.since)
	clear(s.events)
	s.done = 0
}

// setSpeed changes the speed of the first n workers, which get most starts.
func (s *speedPool) setSpeed(n int, speed float64) {
	for _, id := range s.ids[:n] {
		s.speeds[id] = speed
	}
}
