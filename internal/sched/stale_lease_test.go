package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sched"
)

// previousRunsEnd is when the grants of the previous owner have expired on a worker that hasn't started
// again, and previousOrdersEnd when it may have sent its last order.
const (
	previousRunsEnd   = 6 * time.Second
	previousOrdersEnd = 500 * time.Millisecond
)

// newSuccessor is a harness of an owner whose predecessor named these incarnations, with an inherited job
// of one task.
func newSuccessor(t *testing.T, ends map[gauge.Incarnation]time.Duration, named ...gauge.Incarnation) *harness {
	t.Helper()
	g := newHarness(t, func(c *sched.Config) {
		c.Term, c.MaxWorkerLease, c.PreviousWorkers, c.WorkerRunsEnd = 1, maxLease, named, ends
		c.PreviousRunsEnd, c.PreviousOrdersEnd = previousRunsEnd, previousOrdersEnd
	})
	g.adopt(1, true, newStep(1))
	return g
}

// firstStart lets w2 answer, which has nothing, and returns when the inherited task is started.
func (g *harness) firstStart(rows func() []gauge.Worker) time.Duration {
	g.t.Helper()
	for g.now < time.Minute {
		g.advance(100 * time.Millisecond)
		g.listRows(200+int64(g.now/time.Millisecond), rows()...)
		g.answerHeartbeat(incarnationAt("w2", 1), 1, g.workerClock(), nil)
		if starts := g.planStarts(); len(starts) > 0 {
			return g.now
		}
	}
	g.t.Fatal("the inherited task isn't started")
	return 0
}

// Guards against two runs of a task: a worker starts again under its ID, carries out an order of the
// previous owner that was meant for its former incarnation, under the longest lease that it grants, and is
// cut off before the next owner reaches it.
func TestSuccessorWaitsForStaleOrdersOfWorkersThatStartedAgain(t *testing.T) {
	elsewhere := workerRow("w1", 2)
	elsewhere.Pool = "clutches"
	first, second, other := incarnationAt("w1", 1), incarnationAt("w1", 2), incarnationAt("w2", 1)
	staleEnd := previousOrdersEnd + slowClockLease
	for _, tt := range []struct {
		name  string
		named []gauge.Incarnation
		ends  map[gauge.Incarnation]time.Duration
		row   gauge.Worker
		since time.Duration // when the row is listed
		want  time.Duration
	}{
		{name: "not started again", named: []gauge.Incarnation{first, other}, row: workerRow("w1", 1), want: previousRunsEnd},
		{name: "started again", named: []gauge.Incarnation{first, other}, row: workerRow("w1", 2), want: staleEnd},
		{name: "listed late", named: []gauge.Incarnation{first, other}, row: workerRow("w1", 2), since: previousRunsEnd - time.Second, want: staleEnd},
		{name: "in another pool", named: []gauge.Incarnation{first, other}, row: elsewhere, want: staleEnd},
		{name: "not heard by the previous owner", named: []gauge.Incarnation{first, second, other}, row: workerRow("w1", 2), want: staleEnd},
		{name: "the same, names in another order", named: []gauge.Incarnation{second, other, first}, row: workerRow("w1", 2), want: staleEnd},
		{
			name: "handed over", named: []gauge.Incarnation{first, second, other}, row: workerRow("w1", 2), want: 8 * time.Second,
			ends: map[gauge.Incarnation]time.Duration{first: time.Second, second: 8 * time.Second},
		},
		{
			name: "handed over, not known to the previous owner", named: []gauge.Incarnation{first, other}, row: workerRow("w1", 2), want: staleEnd,
			ends: map[gauge.Incarnation]time.Duration{first: time.Second},
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			g := newSuccessor(t, tt.ends, tt.named...)
			at := g.firstStart(func() []gauge.Worker {
				if g.now < tt.since {
					return []gauge.Worker{workerRow("w1", 1), workerRow("w2", 1)}
				}
				return []gauge.Worker{tt.row, workerRow("w2", 1)}
			})
			assert.Assert(t, at > tt.want, "started %v after the takeover", at)
			assert.Assert(t, at < tt.want+500*time.Millisecond, "started %v after the takeover", at)
		})
	}
}

// Guards against a wait for the whole lease although the new incarnation has answered: it runs nothing,
// and refuses earlier owners' orders from then on.
func TestSuccessorDoesNotWaitForAnIncarnationThatHasAnswered(t *testing.T) {
	g := newSuccessor(t, nil, incarnationAt("w1", 1), incarnationAt("w2", 1))
	at := g.firstStart(func() []gauge.Worker {
		if g.now > time.Second {
			g.answerHeartbeat(incarnationAt("w1", 2), 2, g.now, nil)
		}
		return []gauge.Worker{workerRow("w1", 2), workerRow("w2", 1)}
	})
	assert.Assert(t, at > time.Second && at < 2*time.Second, "started %v after the takeover", at)
}

// Guards against two runs of a task: a worker starts again under its ID, and carries out an order for its
// former incarnation under the longest lease that it grants. It answers its owner, and the next one, and
// is cut off. The task that runs there is started again before that lease is over.
func TestSuccessorReckonsWithTheLongLeaseOfAWorkerThatHasAnswered(t *testing.T) {
	first, second, other := incarnationAt("w1", 1), incarnationAt("w1", 2), incarnationAt("w2", 1)
	for _, tt := range []struct {
		name  string
		named []gauge.Incarnation
		want  time.Duration
	}{
		{"started again long ago", []gauge.Incarnation{second, other}, previousRunsEnd},
		{"started again lately", []gauge.Incarnation{first, second, other}, previousOrdersEnd + slowClockLease},
	} {
		t.Run(tt.name, func(t *testing.T) {
			g := newSuccessor(t, nil, tt.named...)
			found := gauge.RunReport{Task: gauge.TaskID{Job: jobID(1)}, Run: 1}
			at := g.firstStart(func() []gauge.Worker {
				if g.now < time.Second {
					g.answerHeartbeat(second, 2, g.now, []gauge.RunReport{found})
				} else {
					g.failHeartbeatOf(second)
				}
				return []gauge.Worker{workerRow("w1", 2), workerRow("w2", 1)}
			})
			assert.Assert(t, at > tt.want, "started %v after the takeover", at)
			assert.Assert(t, at < tt.want+time.Second, "started %v after the takeover", at)
		})
	}
}

// namedWorkers returns the incarnations that the lease row names.
func (g *harness) namedWorkers() map[gauge.Incarnation]bool {
	named := make(map[gauge.Incarnation]bool)
	for _, incarnation := range g.pool.LeaseRowWorkers() {
		named[incarnation] = true
	}
	return named
}

// Guards against a next owner that doesn't know how long a worker's lease may be: it is told of both
// incarnations of one that has started again, as long as a call for the former one may have extended it.
func TestLeaseRowNamesBothIncarnationsDuringALongLease(t *testing.T) {
	g, _ := newHarnessWithRun(t)
	first, second := incarnationAt("w1", 1), incarnationAt("w1", 2)
	began := g.now
	g.answerHeartbeat(first, 2, time.Second, nil)
	named := g.namedWorkers()
	assert.Assert(t, named[first] && named[second])
	g.listRows(300, workerRow("w1", 2))
	for g.now < began+slowClockLease+time.Second {
		g.advance(100 * time.Millisecond)
		g.answerHeartbeat(second, 2, time.Second+g.now-began, nil)
		named := g.namedWorkers()
		assert.Assert(t, named[second])
		if g.now < began+slowClockLease {
			assert.Assert(t, named[first], "after %v", g.now-began)
		}
	}
	assert.Assert(t, !g.namedWorkers()[first])
}

// Guards against a next owner that doesn't know how much longer an unheard incarnation may run what it was
// ordered.
func TestHandoverTellsOfWorkersThatStartedAgainUnheard(t *testing.T) {
	first, second := incarnationAt("w1", 1), incarnationAt("w1", 2)
	g := newSuccessor(t, nil, first, incarnationAt("w2", 1))
	g.advance(time.Second)
	g.listRows(200, workerRow("w1", 2), workerRow("w2", 1))
	g.answerHeartbeat(incarnationAt("w2", 1), 1, g.workerClock(), nil)
	named := g.namedWorkers()
	assert.Assert(t, named[first] && named[second])
	assert.Equal(t, g.pool.RemainingLeases(g.now)[second], previousOrdersEnd+slowClockLease-g.now)

	g.answerHeartbeat(second, 2, g.now, nil)
	_, left := g.pool.RemainingLeases(g.now)[second]
	assert.Assert(t, !left)
}

// Guards against a next owner that doesn't know how long a worker's lease may be: a start for the former
// incarnation is carried out, and answered, long after the worker has started again.
func TestLeaseRowNamesBothIncarnationsAfterALateStart(t *testing.T) {
	const late = 5 * time.Second // after the worker has started again
	g := newLateHarness(t, newStep(1))
	first, second := incarnationAt("w1", 1), incarnationAt("w1", 2)
	began := g.now
	g.answerHeartbeat(first, 2, time.Second, nil)
	g.listRows(300, workerRow("w1", 2))
	running := []gauge.RunReport{{Task: g.late.Start.Task, Run: g.late.Start.Run}}
	for g.now < began+late+slowClockLease-time.Second {
		g.advance(100 * time.Millisecond)
		if g.now == began+late {
			g.pool.OrderAnswered(g.late, time.Second+g.now-began, nil, g.now)
		}
		if g.now >= began+late {
			g.answerHeartbeat(second, 2, time.Second+g.now-began, running)
		} else {
			g.answerHeartbeat(second, 2, time.Second+g.now-began, nil)
		}
	}
	named := g.namedWorkers()
	assert.Assert(t, named[first] && named[second])
}
