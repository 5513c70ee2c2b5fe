//go:build review

package main

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// jobSpec is a job as a client sent it.
type jobSpec struct {
	ID       string
	Work     work
	Steps    []step
	Repeats  int
	Start    time.Time
	Interval time.Duration

	sent      time.Time
	accepted  bool
	refused   bool // every try was refused
	cancelled time.Time
}

// taskState is what the workers have seen of a task.
type taskState struct {
	running map[*taskRun]*worker
	done    bool // a run has ended as done
	noted   bool // and that end was taken note of
	failed  map[int]bool
	saved   map[string]bool
}

// judge follows all runs, and records breaks of rules. The fleet's runMu guards it.
type judge struct {
	f      *fleet
	jobs   map[string]*jobSpec
	tasks  map[string]*taskState
	gangs  map[string]map[int]*gangRun // by step
	broken []string
}

// gangRun is one run of a gang.
type gangRun struct {
	members  map[string]*taskRun
	complete time.Time
	over     bool
	done     bool
	saved    string
	hasSaved bool
}

func newJudge(f *fleet) *judge {
	return &judge{f: f, jobs: make(map[string]*jobSpec), tasks: make(map[string]*taskState), gangs: make(map[string]map[int]*gangRun)}
}

func (j *judge) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	j.broken = append(j.broken, text)
	j.f.rec.say("BREAK %s", text)
}

func (j *judge) task(name string) *taskState {
	t := j.tasks[name]
	if t == nil {
		t = &taskState{running: make(map[*taskRun]*worker), failed: make(map[int]bool), saved: make(map[string]bool)}
		j.tasks[name] = t
	}
	return t
}

// parse splits a task's name into the job, occurrence, step and index.
func parse(task string) (job string, occurrence, step, index int) {
	p := strings.Split(task, ".")
	occurrence, _ = strconv.Atoi(p[1])
	step, _ = strconv.Atoi(p[2])
	index, _ = strconv.Atoi(p[3])
	return p[0], occurrence, step, index
}

func stepName(task string) string { return task[:strings.LastIndexByte(task, '.')] }

func (j *judge) isStepDone(job string, occurrence, step int, spec *jobSpec) bool {
	if spec.Steps[step].Gang {
		for i := range spec.Steps[step].Count {
			if j.task(fmt.Sprintf("%s.%d.%d.%d", job, occurrence, step, i)).done {
				return true
			}
		}
		return false
	}
	for i := range spec.Steps[step].Count {
		if !j.task(fmt.Sprintf("%s.%d.%d.%d", job, occurrence, step, i)).done {
			return false
		}
	}
	return true
}

func (j *judge) began(w *worker, c workerCall, t *taskRun) {
	id, occurrence, stepNumber, _ := parse(c.Task)
	spec := j.jobs[id]
	state := j.task(c.Task)
	if spec == nil {
		j.breaks("UNASKED: %s was never handed in", c.Task)
		return
	}
	st := spec.Steps[stepNumber]
	live := 0
	for r, other := range state.running {
		if r != t && !other.dead {
			live++
		}
	}
	if live > 0 && !st.Speculative {
		j.breaks("TWICE: %s run %d starts on %s while it runs elsewhere", c.Task, c.Run, w.id)
	}
	if state.noted && !st.Speculative && !st.LongRunning {
		j.breaks("TWICE: %s run %d starts on %s after its end as done was taken note of", c.Task, c.Run, w.id)
	}
	if !spec.cancelled.IsZero() && time.Since(spec.cancelled) > 3*time.Second {
		j.breaks("UNASKED: %s run %d starts %s after the cancelling was acknowledged", c.Task, c.Run, time.Since(spec.cancelled))
	}
	if spec.refused {
		j.breaks("REFUSED: %s starts", c.Task)
	}
	for _, a := range st.After {
		if !j.isStepDone(id, occurrence, a, spec) {
			j.breaks("ORDER: %s starts before step %d is done", c.Task, a)
		}
	}
	if spec.Repeats > 0 {
		if due := spec.Start.Add(time.Duration(occurrence) * spec.Interval); time.Until(due) > 250*time.Millisecond {
			j.breaks("ORDER: %s starts %s early", c.Task, time.Until(due))
		}
	}
	if len(state.failed) >= 3 && !st.LongRunning {
		j.breaks("BUDGET: %s run %d starts after %d failures", c.Task, c.Run, len(state.failed))
	}
	if c.Saved != "" && !st.Gang && !state.saved[c.Saved] {
		j.breaks("UNASKED: %s run %d starts with checkpoint %q, which isn't the task's", c.Task, c.Run, c.Saved)
	}
	if st.Requirements != "" && !slices.Contains(w.m.labels(), st.Requirements) {
		j.breaks("ROUTE: %s on %s without label %s", c.Task, w.id, st.Requirements)
	}
	used := t.what.CPU
	perWorker := 1
	for other, r := range w.running {
		if other == c.Task {
			continue
		}
		used += r.what.CPU
		if stepName(other) == stepName(c.Task) {
			perWorker++
		}
	}
	if used > w.m.cpu {
		j.breaks("LIMIT: %s brings %s to %d of %d", c.Task, w.id, used, w.m.cpu)
	}
	if st.AntiAffinity > 0 && perWorker > st.AntiAffinity {
		j.breaks("ROUTE: %s is number %d of its step on %s", c.Task, perWorker, w.id)
	}
	state.running[t] = w
	if st.Gang {
		j.joinGang(c, t, st.Count)
	}
}

func (j *judge) joinGang(c workerCall, t *taskRun, count int) {
	name := stepName(c.Task)
	if j.gangs[name] == nil {
		j.gangs[name] = make(map[int]*gangRun)
	}
	g := j.gangs[name][c.Run]
	if g == nil {
		g = &gangRun{members: make(map[string]*taskRun)}
		j.gangs[name][c.Run] = g
	}
	if g.hasSaved && g.saved != c.Saved {
		j.breaks("UNASKED: the members of run %d of gang %s carry checkpoints %q and %q", c.Run, name, g.saved, c.Saved)
	}
	g.saved, g.hasSaved = c.Saved, true
	g.members[c.Task] = t
	if len(g.members) == count && !g.over {
		g.complete = time.Now()
	}
}

func (j *judge) gangOf(task string, t *taskRun) *gangRun { return j.gangs[stepName(task)][t.number] }

func (j *judge) gangComplete(task string, t *taskRun) (time.Time, bool) {
	g := j.gangOf(task, t)
	return g.complete, !g.complete.IsZero() && !g.over
}

func (j *judge) gangBroken(task string, t *taskRun) bool {
	g := j.gangOf(task, t)
	return g != nil && g.over && !g.done
}

func (j *judge) over(_ *worker, task string, t *taskRun, how, saved string) {
	state := j.task(task)
	delete(state.running, t)
	if saved != "" {
		state.saved[saved] = true
	}
	switch how {
	case "done":
		state.done = true
	case "failed":
		state.failed[t.number] = true
	}
	if g := j.gangOf(task, t); g != nil {
		g.over = true
		g.done = g.done || how == "done"
		if how == "alone" {
			j.f.rec.say("GANG: run %d of %s ends alone", t.number, task)
		}
	}
}

func (j *judge) noted(_ *worker, e endRow) {
	if e.how == "done" {
		j.task(e.task).noted = true
	}
}

// addSaved records the checkpoints that a worker has listed for a running task.
func (j *judge) addSaved(task, saved string) {
	if saved != "" {
		j.task(task).saved[saved] = true
	}
}
