package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sched"
)

const firstTask = "0.0.0"

// inherit has the owner take over a job of a step, with what the table knows of it.
func (g *rig) inherit(s gauge.Step, row *gauge.JobRow) string {
	id := jobID(1)
	row.State, row.Pool = gauge.JobRunning, poolName
	g.pool.Adopt(sched.Accepted{
		ID: id, Queue: queueName, Spec: &gauge.JobSpec{Steps: []gauge.Step{s}}, Row: row, Version: 2, Inherited: true,
	}, g.now)
	return id
}

// A task that goes on ending workers, as some of its crashes were held against nothing.
func TestExcusedCrashesCountInPart(t *testing.T) {
	for _, tt := range []struct {
		name                    string
		likely, beside, excused int
		want                    gauge.JobState
	}{
		{"workers were lost together only", 0, 0, 9, gauge.JobRunning},
		{"two crashes more", 2, 0, 2, gauge.JobRunning},
		{"one crash more", 1, 0, 9, gauge.JobRunning},
		{"two crashes more, one beside another task", 2, 1, 9, gauge.JobRunning},
		{"three crashes and one excused", 3, 0, 1, gauge.JobRunning},
		{"three crashes and two excused", 3, 0, 2, gauge.JobFailed},
		{"three crashes, one excused, one beside another task", 3, 1, 1, gauge.JobFailed},
		{"four crashes", 4, 0, 0, gauge.JobFailed},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var trials gauge.Trials
			for run := range tt.likely + tt.beside {
				trials = append(trials, gauge.Trial{Run: run + 1, Worker: "w0", Crashed: true, Beside: run >= tt.likely})
			}
			g := newRig(t)
			id := g.inherit(step(1), &gauge.JobRow{
				Trials: map[string]gauge.Trials{firstTask: trials}, Excused: map[string]int{firstTask: tt.excused},
			})
			g.save(300)
			state, _ := g.pool.State(queueName, id)
			assert.Equal(t, state, tt.want)
		})
	}
}

// A crash soon after a start that nobody counts, as other workers were lost at the same moment.
func TestCrashAmongOthersIsNotForgotten(t *testing.T) {
	for _, tt := range []struct {
		lived time.Duration
		want  int
	}{{time.Millisecond, 1}, {2 * time.Second, 0}} {
		g, start := livedFor(t, tt.lived)
		g.rows(210, row("w1", 1), row("w2", 1), row("w3", 1))
		for _, id := range []string{"w2", "w3"} {
			g.answer(lifeOf(id, 1), 1, time.Hour, nil)
		}
		g.pass(50 * time.Millisecond)
		for _, id := range []string{"w1", "w2", "w3"} {
			g.noAnswer(lifeOf(id, 1))
			g.answer(lifeOf(id, 1), 2, time.Second, nil)
		}
		for range 20 {
			g.pass(100 * time.Millisecond)
		}
		row := g.rowOf(start.Start.Task.Job)
		assert.Equal(t, len(row.Trials), 0)
		assert.Equal(t, row.Excused[firstTask], tt.want)
	}
}

// rowOf is a job's row that waits to be written.
func (g *rig) rowOf(id string) *gauge.JobRow {
	g.t.Helper()
	b, err := g.pool.Batch(100, 1, nobody)
	assert.NilError(g.t, err)
	for _, c := range b.Changes {
		if c.Job == id {
			row, err := gauge.DecodeJobRow(c.Row)
			assert.NilError(g.t, err)
			return row
		}
	}
	g.t.Fatalf("nothing of %s is to be written", id)
	return nil
}

// A crash that the owner before had no time to note.
func TestCrashBeforeATakeoverCountsInPart(t *testing.T) {
	for _, tt := range []struct {
		name    string
		born    int64 // the life that this owner hears
		unnoted int   // by so many owners before
		want    int
	}{
		{"the worker has started again", 2, 0, 1},
		{"the worker lives", 1, 0, 0},
		{"crashes are not in the table", 1, 1, 1},
		{"two owners in a row could not write", 2, 1, 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			g := newRig(t, after("w1"), func(c *sched.Config) { c.Earlier, c.Unnoted = []gauge.Life{lifeOf("w1", 1)}, tt.unnoted })
			g.rows(300, row("w1", tt.born))
			id := g.inherit(lasting(1), &gauge.JobRow{})
			g.answer(lifeOf("w1", tt.born), tt.born, time.Hour, nil)
			starts := g.starts()
			assert.Equal(t, len(starts), 1)
			g.ok(starts)
			g.pass(50 * time.Millisecond)
			g.noAnswer(lifeOf("w1", tt.born))
			g.answer(lifeOf("w1", tt.born), tt.born+1, time.Second, nil)
			row := g.rowOf(id)
			assert.Equal(t, len(row.Trials[firstTask]), 1)
			assert.Equal(t, row.Excused[firstTask], tt.want)
		})
	}
}

// An owner that leaves without a way to the table.
func TestOwnerTellsOfCrashesThatAreNotWritten(t *testing.T) {
	g, _ := livedFor(t, time.Millisecond)
	g.save(300)
	assert.Assert(t, !g.pool.Unnoted())
	g.noAnswer(lifeOf("w1", 1))
	g.answer(lifeOf("w1", 1), 2, time.Second, nil)
	assert.Assert(t, g.pool.Unnoted())
	g.save(400)
	assert.Assert(t, !g.pool.Unnoted())
}

// A task that is given up for crashes from before it has shown that it is sound.
func TestTaskThatLivesIsClearedOfExcusedCrashes(t *testing.T) {
	g := newRig(t)
	g.list("w1")
	g.hear("w1", nil)
	id := g.inherit(lasting(1), &gauge.JobRow{Excused: map[string]int{firstTask: 2}})
	starts := g.starts()
	g.ok(starts)
	for range 40 {
		g.pass(time.Second)
		g.hear("w1", []gauge.RunReport{running(starts[0])})
	}
	assert.Equal(t, g.rowOf(id).Excused[firstTask], 0)
}

// A lasting task that has served for long, and whose crash right after a takeover counts as one right after
// its start.
func TestRunThatWasFoundIsNotTakenForNew(t *testing.T) {
	g := newRig(t, after("w1"), func(c *sched.Config) { c.Earlier = []gauge.Life{lifeOf("w1", 1)} })
	g.rows(300, row("w1", 1))
	id := g.inherit(lasting(1), &gauge.JobRow{})
	g.answer(lifeOf("w1", 1), 1, time.Hour, []gauge.RunReport{{Task: gauge.TaskID{Job: id}, Run: 1, Progress: 100}})
	g.pass(50 * time.Millisecond)
	g.noAnswer(lifeOf("w1", 1))
	g.answer(lifeOf("w1", 1), 2, time.Second, nil)
	for range 15 {
		g.pass(100 * time.Millisecond)
	}
	trials := g.rowOf(id).Trials[firstTask]
	assert.Equal(t, trials.Crashes(), 1)
	assert.Assert(t, !trials.Soon(time.Second))
}

// A sound lasting job that is stopped as a whole, as one of its tasks went twice by chance.
func TestLastingTaskIsGivenUpLater(t *testing.T) {
	for _, tt := range []struct {
		name  string
		step  gauge.Step
		alone bool
		count int
		want  gauge.JobState
	}{
		{"lasting, two crashes alone", lasting(2), true, 2, gauge.JobRunning},
		{"lasting, three", lasting(2), true, 3, gauge.JobFailed},
		{"not lasting, two", step(2), true, 2, gauge.JobFailed},
		{"lasting, two and others that were excused", lasting(2), false, 2, gauge.JobRunning},
		{"lasting, three and others", lasting(2), false, 3, gauge.JobFailed},
		{"not lasting, two and others", step(2), false, 2, gauge.JobRunning},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var trials gauge.Trials
			for run := range tt.count {
				trials = append(trials, gauge.Trial{Run: run + 1, Worker: "w0", Crashed: true, Alone: tt.alone})
			}
			g := newRig(t)
			row := &gauge.JobRow{Trials: map[string]gauge.Trials{firstTask: trials}}
			if !tt.alone {
				row.Excused = map[string]int{firstTask: 3}
			}
			id := g.inherit(tt.step, row)
			g.save(300)
			state, _ := g.pool.State(queueName, id)
			assert.Equal(t, state, tt.want)
		})
	}
}
