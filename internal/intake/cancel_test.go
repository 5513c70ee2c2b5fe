package intake_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/intake"
)

func sheetsQueue() *gauge.Queue { return &gauge.Queue{Name: "sheets", Pool: "brakes"} }

// checkGone checks that job 1 isn't a job to callers, and that no owner finds it.
func (s *refusalSite) checkGone(h *harness) {
	s.t.Helper()
	_, err := h.intake.State(context.Background(), sheetsQueue(), id(1), "")
	assert.Equal(s.t, gauge.KindOf(err), gauge.KindGone)
	_, open := s.store.rows[gauge.RowKey{Table: gauge.TableOpen, Partition: "sheets", Key: id(1)}]
	assert.Assert(s.t, !open, "the job is open")
}

// Guards against a job that runs on after its cancellation was answered 410: its submission got no
// answer, and is stored later.
func TestCancelledJobIsNotStoredLater(t *testing.T) {
	for _, tt := range []struct {
		name    string
		refused bool // an earlier attempt was refused
		cancel  func(n *intake.Intake) error
	}{
		{"without a row", false, func(n *intake.Intake) error { return n.Cancel(context.Background(), sheetsQueue(), id(1), "") }},
		{"at the owner, for another entry", false, func(n *intake.Intake) error { return n.CancelLocally(context.Background(), sheetsQueue(), id(1), "") }},
		{"after a refusal", true, func(n *intake.Intake) error { return n.Cancel(context.Background(), sheetsQueue(), id(1), "") }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newRefusalSite(t)
			if tt.refused {
				s.putRefused(refusalTime)
				s.pass(5000)
				s.store.answer = func(n int, _ func()) error {
					s.store.silent = true
					return gauge.Errorf(gauge.KindUnknown, "no answer")
				}
			} else {
				s.loseAnswers(false)
			}
			assert.Equal(t, gauge.KindOf(s.entry(intake.OwnedElsewhere, nil).submit(1)), gauge.KindExpired)
			s.answerAgain()
			late := s.store.count() - 1

			h := s.entry(intake.OwnedForLong, nil)
			assert.Equal(t, gauge.KindOf(tt.cancel(h.intake)), gauge.KindGone)
			s.deliver(late)
			s.checkGone(h)
			assert.Equal(t, gauge.KindOf(tt.cancel(h.intake)), gauge.KindGone, "again")
			assert.Equal(t, s.events["job cancelled before it was stored"], 1)
		})
	}
}

// Guards against a cancellation that is lost, as it meets the job being stored.
func TestCancellationThatMeetsTheSubmissionCancelsIt(t *testing.T) {
	s := newRefusalSite(t)
	s.setFull(false)
	s.loseAnswers(false)
	h := s.entry(intake.OwnedForLong, nil)
	assert.Equal(t, gauge.KindOf(h.submit(1)), gauge.KindExpired)
	s.answerAgain()
	first := true
	s.store.onCommit = func(int) { // between the cancellation's read and its write
		if !first {
			return
		}
		first = false
		for _, w := range s.store.txns[0].Writes {
			s.store.version++
			s.store.rows[w.RowKey] = gauge.PartitionRow{RowKey: w.RowKey, Value: w.Value, Version: s.store.version}
		}
	}
	assert.NilError(t, h.intake.Cancel(context.Background(), sheetsQueue(), id(1), ""))
	s.checkState(gauge.JobCancelled)
	assert.Equal(t, len(h.notifications), 1)
	assert.Assert(t, h.notifications[0].Cancelled)
}

// Guards against a 410 that nothing stands behind, as the table's answer to the cancellation was lost.
func TestCancellationWithoutAnAnswerIsTriedAgain(t *testing.T) {
	for _, tt := range []struct {
		name     string
		lost     int  // how many answers
		executed bool // the transactions without an answer
		timeout  time.Duration
		kind     gauge.Kind
		stored   bool
	}{
		{"executed", 1, true, time.Minute, gauge.KindGone, true},
		{"not executed", 1, false, time.Minute, gauge.KindGone, true},
		{"no answer until the caller's deadline", 1000, false, 200 * time.Millisecond, gauge.KindExpired, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newRefusalSite(t)
			s.store.answer = func(n int, execute func()) error {
				if n > tt.lost {
					return nil
				}
				if tt.executed {
					execute()
				}
				return gauge.Errorf(gauge.KindUnknown, "no answer")
			}
			ctx, stop := context.WithTimeout(context.Background(), tt.timeout)
			defer stop()
			err := s.entry(intake.OwnedForLong, nil).intake.Cancel(ctx, sheetsQueue(), id(1), "")
			assert.Equal(t, gauge.KindOf(err), tt.kind)
			row, _ := s.row()
			assert.Equal(t, row != nil && row.Tombstone, tt.stored)
		})
	}
}

// Guards against a job that runs although its caller has cancelled it: an attempt to submit it, delayed
// on its way, is taken for a new one.
func TestSubmissionAfterItsCancellationIsCancelled(t *testing.T) {
	s := newRefusalSite(t)
	h := s.entry(intake.OwnedForLong, nil)
	assert.Equal(t, gauge.KindOf(h.intake.Cancel(context.Background(), sheetsQueue(), id(1), "")), gauge.KindGone)

	s.pass(60_000)
	assert.Equal(t, gauge.KindOf(h.submit(1)), gauge.KindNoSlot, "the pool is full")
	s.checkGone(h)
	s.pass(60_000)
	s.setFull(false)
	for range 2 {
		assert.NilError(t, h.submit(1))
		state, err := h.intake.State(context.Background(), sheetsQueue(), id(1), "")
		assert.NilError(t, err)
		assert.Equal(t, state, gauge.JobCancelled)
	}
	assert.Equal(t, len(h.notifications), 0, "the owner has nothing to run")
	_, open := s.store.rows[gauge.RowKey{Table: gauge.TableOpen, Partition: "sheets", Key: id(1)}]
	assert.Assert(t, !open)
	assert.NilError(t, h.intake.Cancel(context.Background(), sheetsQueue(), id(1), ""))
}

// Guards against an account that learns of, or resubmits, what another one has cancelled.
func TestCancellationOfAnUnknownJobBelongsToItsAccount(t *testing.T) {
	s := newRefusalSite(t)
	s.setFull(false)
	h := s.entry(intake.OwnedForLong, nil)
	assert.Equal(t, gauge.KindOf(h.intake.Cancel(context.Background(), sheetsQueue(), id(1), "garage")), gauge.KindGone)
	err := h.intake.Submit(context.Background(), sheetsQueue(), id(1), &gauge.JobSpec{Steps: []gauge.Step{{Count: 1}}, Account: "school"})
	assert.Equal(t, gauge.KindOf(err), gauge.KindForbidden)
	assert.NilError(t, h.intake.Submit(context.Background(), sheetsQueue(), id(1), &gauge.JobSpec{Steps: []gauge.Step{{Count: 1}}, Account: "garage"}))
	s.checkState(gauge.JobCancelled)
}

// Guards against a cost that grows with what was cancelled before: each cancellation of an unknown job
// is one read and one write, and a read when it is repeated.
func TestCancellationOfAnUnknownJobIsOneReadAndOneWrite(t *testing.T) {
	for _, n := range []int{10, 20} {
		s := newRefusalSite(t)
		h := s.entry(intake.OwnedElsewhere, nil)
		for range 2 {
			for i := range n {
				assert.Equal(t, gauge.KindOf(h.intake.Cancel(context.Background(), sheetsQueue(), id(i), "")), gauge.KindGone)
			}
		}
		assert.Equal(t, s.store.count(), n)
		assert.Equal(t, s.store.reads, 2*n)
		assert.Equal(t, len(s.store.rows), n)
	}
}
