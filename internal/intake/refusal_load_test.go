package intake_test

import (
	"runtime"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/intake"
)

// Guards against transactions that are in conflict whenever a refused client comes back, and that
// fail for all jobs that share them.
func TestReturnOfARefusedClientTakesOneTransaction(t *testing.T) {
	s := newRefusalSite(t)
	owner := s.entry(intake.OwnedForLong, nil)
	assert.Equal(t, gauge.KindOf(owner.submit(1)), gauge.KindNoSlot)
	s.pass(2000)
	assert.Equal(t, gauge.KindOf(owner.submit(1)), gauge.KindNoSlot)
	assert.Equal(t, s.store.count(), 2)
	s.pass(2000)
	s.setFull(false)
	assert.NilError(t, owner.submit(1))
	assert.Equal(t, s.store.count(), 3)
	s.checkState(gauge.JobPending)
}

// Guards against a job that is never stored because each transaction with it is in conflict: clients
// keep coming back whose refusals another entry has written.
func TestJobIsStoredWhileRefusedClientsKeepReturning(t *testing.T) {
	const returning, first = 6, 10
	s := newRefusalSite(t)
	s.setFull(false)
	owner := s.entry(intake.OwnedForLong, nil)
	for n := range returning {
		s.putRefusedID(id(first+n), refusalTime-10_000)
	}
	var submissions sync.WaitGroup
	submit := func(n int) {
		queued := owner.intake.QueuedJobs("sheets")
		submissions.Go(func() { _ = owner.submit(n) })
		for owner.intake.QueuedJobs("sheets") == queued {
			runtime.Gosched()
		}
	}
	s.store.onCommit = func(n int) {
		if n < returning {
			submit(first + n)
		}
		if n == 1 {
			submit(1)
		}
	}
	assert.NilError(t, owner.submit(first))
	submissions.Wait()
	s.checkState(gauge.JobPending)
	sent := 0
	for _, txn := range s.store.txns {
		for _, c := range txn.Checks {
			if c.Key == id(1) {
				sent++
			}
		}
	}
	assert.Equal(t, sent, 2, "the job shares a transaction with a job in conflict, and the next one has no others")
}
