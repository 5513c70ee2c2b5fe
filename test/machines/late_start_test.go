package machines_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sapphiregauge/platform/fakes"
)

const (
	// crashBefore is how long after a delayed start its worker crashes at the latest: the start is to
	// be carried out by the next incarnation.
	crashBefore = 250 * time.Millisecond
	// lateStartsOver is how long after it was sent a delayed start has been carried out or refused.
	lateStartsOver = 700 * time.Millisecond
)

// lateStart has the first start that any worker gets carried out late, and has that worker refuse
// all others.
type lateStart struct {
	mu      sync.Mutex
	worker  string // that got it
	sentAt  time.Time
	settled bool // its stop, or the same start once more, has come
}

// faultOf is the fault of a call to a worker.
func (l *lateStart) faultOf(worker, path string) fakes.Fault {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case path == fakes.PathStart && l.worker == "":
		l.worker, l.sentAt = worker, time.Now()
		return fakes.FaultRequestDelayed
	case path == fakes.PathStart && l.worker == worker:
		l.settled = true
		return fakes.FaultRefused
	case path == fakes.PathStop && l.worker == worker:
		l.settled = true
	}
	return fakes.FaultNone
}

func (l *lateStart) isSettled() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.settled
}

// age is how long ago the start was sent.
func (l *lateStart) age() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.sentAt)
}

// forceLateStart submits a job whose start is delayed, and crashes its worker once the task has a
// second start. No call of the owner reaches the worker's next incarnation before the delayed start.
func (s *site) forceLateStart(job int) {
	s.t.Helper()
	l := &lateStart{}
	s.machines.SetWorkerFault(func(string) fakes.Fault { return fakes.FaultRequestLost }) // for the next incarnation
	s.machines.EachWorker(func(w *fakes.Worker) {
		w.SetFault(func(path string) fakes.Fault { return l.faultOf(w.ID, path) })
	})
	id := fmt.Sprintf("%016x", job)
	assert.Assert(s.t, s.submit(job, map[string]any{
		"spec":  fakes.Work{CPU: 500, RunMillis: 1500}.Payload(),
		"steps": []any{map[string]any{"count": 1, "cpu": 500, "memMb": 10, "estimateMs": 1500}},
	}))
	s.waitFor("the start is settled there", l.isSettled)
	s.waitFor("the task starts again", func() bool { return s.countLogged(`"run starts"`, id) > 1 || l.age() > crashBefore })
	for i := range restartHosts {
		host := fmt.Sprintf("m-%d", i)
		if w := s.machines.Worker(host); w != nil && w.ID == l.worker {
			s.machines.CrashWorker(host)
		}
	}
	s.waitFor("the delayed start is over", func() bool { return len(s.journal.Violations()) > 0 || l.age() > lateStartsOver })
	s.machines.SetWorkerFault(nil)
	s.waitCompleted([]int{job})
}

// Guards against two runs of a task: its start got no answer, and is carried out after a restart.
func TestLateStartRunsOnlyOnceAfterWorkerRestarts(t *testing.T) {
	t.Parallel()
	s := newRestartSite(t)
	s.machines.Down = 50 * time.Millisecond
	for round := range 5 {
		s.forceLateStart(round + 1)
		s.checkNoViolations()
	}
}
