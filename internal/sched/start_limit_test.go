package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sched"
)

// idleToo has two workers without runs crash together with the first few that the bad task ends.
func idleToo(first int) func(w *ward) {
	seen := 0
	return func(w *ward) {
		if w.crashes == seen || w.crashes > first {
			return
		}
		seen = w.crashes
		left := 2
		w.crashAll(func(id string) bool {
			if len(w.runs[id]) > 0 || left == 0 {
				return false
			}
			left--
			return true
		})
	}
}

// takenOver has another owner take the pool whenever the bad task has ended a worker, before
// this one has noticed.
func takenOver() func(w *ward) {
	seen := 0
	return func(w *ward) {
		if w.crashes > seen {
			seen = w.crashes
			if w.pool.LostBefore() {
				w.unnoted++
			}
			w.takeOver()
		}
	}
}

// A task that goes on ending workers, as what was held against it were guesses at causes and not
// its starts.
func TestStartsOfATaskThatEndsWorkersAreBounded(t *testing.T) {
	for _, tt := range []struct {
		name  string
		set   func(w *ward)
		while func(w *ward)
	}{
		{name: "two idle workers go at the same moments, four times", while: idleToo(4)},
		{name: "two idle workers go at the same moments, three times, and starts get no answer", while: idleToo(3), set: func(w *ward) { w.dumb = true }},
		{name: "owners are killed right after its starts", while: takenOver()},
		{name: "owners are killed right after its starts, which get no answer", while: takenOver(), set: func(w *ward) { w.dumb = true }},
		{name: "owners are killed right after its starts, beside others", while: takenOver(), set: (*ward).company},
	} {
		for _, s := range []gauge.Step{step(2), lasting(2)} {
			t.Run(tt.name, func(t *testing.T) {
				w := newWard(t, 6)
				if tt.set != nil {
					tt.set(w)
				}
				id := w.hand(1, s)
				w.bad = badTask(id)
				for w.now < 90*time.Second {
					w.pass(wardStep)
					tt.while(w)
				}
				assert.Equal(t, w.state(id), gauge.JobFailed, "crashes %d, starts %d", w.crashes, w.starts[w.bad])
				assert.Assert(t, w.starts[w.bad] <= crashesAllowed, "started %d times", w.starts[w.bad])
			})
		}
	}
}

// known is what the table has of a task: crashes, of which some were beside a likelier cause.
func known(crashes, beside, excused int) *gauge.JobRow {
	var trials gauge.Trials
	for run := range crashes {
		trials = append(trials, gauge.Trial{Run: run + 1, Worker: "w0", Crashed: true, Beside: run < beside})
	}
	return &gauge.JobRow{Trials: map[string]gauge.Trials{firstTask: trials}, Excused: map[string]int{firstTask: excused}}
}

// A fifth start that ends its worker with nothing else there, after four of which each had another
// cause that was likelier.
func TestFifthCrashIsTheLast(t *testing.T) {
	for _, tt := range []struct {
		name                     string
		crashes, beside, excused int
		want                     gauge.JobState
	}{
		{"two beside a likelier cause, two excused", 2, 2, 2, gauge.JobFailed},
		{"one beside a likelier cause, two excused", 2, 1, 2, gauge.JobFailed},
		{"three beside a likelier cause, one excused", 3, 3, 1, gauge.JobFailed},
		{"it is the fourth", 2, 2, 1, gauge.JobRunning},
	} {
		t.Run(tt.name, func(t *testing.T) {
			g := newRig(t)
			g.rows(210, row("w1", 1), row("w2", 1))
			id := g.inherit(step(1), known(tt.crashes, tt.beside, tt.excused))
			for _, on := range []string{"w1", "w2"} {
				g.answer(lifeOf(on, 1), 1, time.Hour, nil)
			}
			starts := g.restarts()
			assert.Equal(t, len(starts), 1)
			g.ok(starts)
			g.pass(50 * time.Millisecond)
			l := starts[0].Worker.Life()
			g.noAnswer(l)
			g.answer(l, 2, time.Second, nil)
			for range 15 {
				g.pass(100 * time.Millisecond)
			}
			g.save(400)
			state, _ := g.pool.State(queueName, id)
			assert.Equal(t, state, tt.want)
		})
	}
}

// Starts without an answer that reach the next life of their worker, and are stopped there.
func TestStartsThatReachTheNextLifeAreCounted(t *testing.T) {
	g := newRig(t, func(c *sched.Config) { c.Longest = longest })
	g.rows(210, row("w1", 1))
	g.answer(lifeOf("w1", 1), 1, time.Hour, nil)
	id := g.inherit(step(1), known(3, 0, 0))
	starts := 0
	for born := int64(1); born < 6; born++ {
		orders := g.restarts()
		starts += len(orders)
		for _, o := range orders {
			g.pool.Answered(o, 0, gauge.Fail(gauge.KindUnknown, "no answer"), g.now)
			g.noAnswer(lifeOf("w1", born))
			g.answer(lifeOf("w1", born), born+1, time.Second, []gauge.RunReport{running(o)})
			g.rows(300+born, row("w1", born+1))
			g.ok(g.stops())
			g.pass(50 * time.Millisecond)
			g.answer(lifeOf("w1", born+1), born+1, 2*time.Second, nil, g.end("w1", o.Start.Task, o.Start.Run, gauge.EndStopped))
			g.ends = make(map[string]int64) // the next life counts anew
		}
		for range 40 {
			g.pass(100 * time.Millisecond)
			g.answer(lifeOf("w1", born+1), born+1, 3*time.Second+g.now, nil)
		}
	}
	g.save(900)
	state, _ := g.pool.State(queueName, id)
	assert.Equal(t, state, gauge.JobFailed)
	assert.Equal(t, starts, 2)
}

// A sound lasting job that is given up, as all workers lost power again and again while there were
// tasks everywhere that had just begun.
func TestSoundJobIsNotGivenUpForLossesOfPower(t *testing.T) {
	w := newWard(t, 6)
	w.brings = 300 * time.Millisecond
	id := w.hand(1, lasting(2))
	for n := range 8 {
		for until := w.now + 10*time.Second; w.where(id) == "" && w.now < until; {
			w.pass(wardStep)
		}
		for k := range 3 {
			w.hand(100+10*n+k, step(8))
			w.pass(wardStep)
		}
		w.crashAll(func(string) bool { return true })
	}
	w.pass(10 * time.Second)
	assert.Equal(t, w.state(id), gauge.JobRunning)
}
