package intake_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/intake"
)

// Guards against a job that is accepted and refused in one transaction: two submissions of one id at
// one owner, one of which is refused, wait for the same transaction.
func TestSubmissionsOfOneIDAreNotAcceptedAndRefusedTogether(t *testing.T) {
	for _, refusedFirst := range []bool{false, true} {
		s := newRefusalSite(t)
		received, release := make(chan struct{}), make(chan struct{})
		s.store.answer = func(n int, _ func()) error {
			if n == 1 {
				close(received)
				<-release
			}
			return nil
		}
		var owner *harness
		results := make(chan error, 2)
		second := func(waiting int) {
			go func() { results <- owner.submit(1) }()
			waitFor(t, "the second submission is queued", func() bool { return owner.intake.QueuedJobs("sheets") == waiting })
		}
		owner = newRelayHarness(s.store, s.clock, nil, func(c *intake.Config) {
			c.TableClock = s.tableClock
			c.Admit = func(_ *gauge.Queue, job string, _ *gauge.JobSpec) error {
				if job != id(1) {
					return nil
				}
				if !refusedFirst {
					second(1)
				}
				return errFull
			}
		})
		other := make(chan error, 1)
		go func() { other <- owner.submit(0) }()
		<-received
		go func() { results <- owner.submit(1) }()
		if refusedFirst {
			waitFor(t, "the first submission is queued", func() bool { return owner.intake.QueuedJobs("sheets") == 1 })
			second(2)
		}
		waitFor(t, "both are queued", func() bool { return owner.intake.QueuedJobs("sheets") == 2 })
		close(release)
		assert.NilError(t, <-other)
		for range 2 {
			err := <-results
			if refusedFirst {
				assert.Equal(t, gauge.KindOf(err), gauge.KindNoSlot)
			} else {
				assert.NilError(t, err)
			}
		}
		if refusedFirst {
			s.checkRefused()
		} else {
			s.checkState(gauge.JobPending)
		}
	}
}

// Guards against a refused id that counts as a job: to its state and its cancellation, and to
// another account that submits the id.
func TestRefusedIDIsNoJob(t *testing.T) {
	s := newRefusalSite(t)
	s.putRefused(refusalTime)
	h := s.entry(intake.OwnedElsewhere, nil)
	q := &gauge.Queue{Name: "sheets", Pool: "brakes"}
	_, err := h.intake.State(t.Context(), q, id(1), "")
	assert.Equal(t, gauge.KindOf(err), gauge.KindGone)
	s.checkRefused()
	s.pass(2000)
	spec := &gauge.JobSpec{Steps: []gauge.Step{{Count: 1}}, Account: "north"}
	assert.NilError(t, h.intake.Submit(t.Context(), q, id(1), spec))
	s.checkState(gauge.JobPending)
	row, _ := s.row()
	assert.Equal(t, row.Account, "north")

	s.putRefused(refusalTime)
	delete(s.store.rows, gauge.RowKey{Table: gauge.TableOpen, Partition: q.Name, Key: id(1)})
	assert.Equal(t, gauge.KindOf(h.intake.Cancel(t.Context(), q, id(1), "")), gauge.KindGone)
	s.checkGone(h)
}

// Guards against a refusal by an entry that may not know of other attempts to store the job.
func TestOnlyAnOwnerThatKnowsOfNoOtherAttemptRefuses(t *testing.T) {
	for _, tt := range []struct {
		name    string
		prepare func(h *harness)
	}{
		{"owned elsewhere", func(h *harness) { h.ownership = intake.OwnedElsewhere }},
		{"owned recently", func(h *harness) { h.ownership = intake.OwnedRecently }},
		{"the owner knows the job", func(h *harness) { h.known = map[string]bool{id(1): true} }},
		{"its id is unsettled", func(h *harness) { h.intake.MarkUnsettled(id(1)) }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newRefusalSite(t)
			h := s.entry(intake.OwnedForLong, nil)
			tt.prepare(h)
			assert.NilError(t, h.submit(1))
			s.checkState(gauge.JobPending)
			assert.Equal(t, s.asked, 0)
		})
	}
}

// Guards against a refusal that isn't stored, since the table can't be reached.
func TestRefusalDuringAnOutageIsAnOutage(t *testing.T) {
	s := newRefusalSite(t)
	s.store.silent, s.store.answer = true, outage
	assert.Equal(t, gauge.KindOf(s.entry(intake.OwnedForLong, nil).submit(1)), gauge.KindOutage)
	row, _ := s.row()
	assert.Assert(t, row == nil)
}

// ownerPeer passes submissions on to the owner at another entry.
type ownerPeer struct {
	*peer
	owner *harness
}

func (p ownerPeer) Submit(ctx context.Context, q *gauge.Queue, job string, j *gauge.JobSpec, began int64) error {
	return p.owner.intake.SubmitLocally(ctx, q, job, j, began)
}

// Guards against a refusal that becomes a 504, or loses its Retry-After, on its way through another
// entry, which asks the owner first, or after its own transaction got no answer.
func TestRefusalReachesTheClientThroughAnotherEntry(t *testing.T) {
	for _, preferred := range []bool{true, false} {
		for _, kind := range []gauge.Kind{gauge.KindNoSlot, gauge.KindQuota} {
			s := newRefusalSite(t)
			ownerTable := s.store
			owner := newRelayHarness(ownerTable, s.clock, nil, func(c *intake.Config) {
				c.TableClock = s.tableClock
				c.Admit = func(*gauge.Queue, string, *gauge.JobSpec) error {
					return gauge.Errorf(kind, "no").WithRetryAfter(9 * time.Second)
				}
			})
			lost := newTable()
			lost.silent = true
			lost.answer = func(int, func()) error { return gauge.Errorf(gauge.KindUnknown, "no answer") }
			entry := newRelayHarness(lost, s.clock, ownerPeer{&peer{preferred: preferred}, owner}, func(c *intake.Config) { c.TableClock = s.tableClock })
			entry.ownership = intake.OwnedElsewhere
			err := entry.submit(1)
			assert.Equal(t, gauge.KindOf(err), kind)
			assert.Equal(t, gauge.AsError(err).RetryAfter, 9*time.Second)
			s.checkRefused()
		}
	}
}

// Guards against a submission that stands still on its way to the owner, arrives there after the
// client was refused and the row has aged, and counts as a new one.
func TestSubmissionThatReachesTheOwnerLateIsRefused(t *testing.T) {
	s := newRefusalSite(t)
	owner := s.entry(intake.OwnedForLong, nil)
	began := s.tableClock()
	s.pass(300)
	assert.Equal(t, gauge.KindOf(owner.submit(1)), gauge.KindNoSlot)
	s.pass(5000)
	s.setFull(false)
	assert.Equal(t, gauge.KindOf(submitBegun(owner, began)), gauge.KindNoSlot)
	s.checkRefused()
}

// Guards against a job that is never stored, as the refused row that it is to replace was deleted.
func TestDeletedRefusalIsNoObstacle(t *testing.T) {
	s := newRefusalSite(t)
	s.putRefused(refusalTime)
	s.pass(2000)
	s.store.answer = func(n int, _ func()) error {
		if n > 2 {
			return nil
		}
		clear(s.store.rows)
		return gauge.Errorf(gauge.KindOutage, "refused")
	}
	assert.NilError(t, s.entry(intake.OwnedElsewhere, nil).submit(1))
	s.checkState(gauge.JobPending)
	assert.Equal(t, s.events["job accepted after refusal"], 0)
}

// Guards against a client that is refused for ever, as the owner isn't told when the attempt began.
func TestLaterAttemptIsAcceptedThroughAnotherEntry(t *testing.T) {
	for _, preferred := range []bool{true, false} {
		s := newRefusalSite(t)
		s.setFull(false)
		s.putRefused(refusalTime)
		s.pass(2000)
		unreachable := newTable()
		unreachable.silent, unreachable.answer = true, outage
		peer := ownerPeer{&peer{preferred: preferred}, s.entry(intake.OwnedForLong, nil)}
		entry := newRelayHarness(unreachable, s.clock, peer, func(c *intake.Config) { c.TableClock = s.tableClock })
		entry.ownership = intake.OwnedElsewhere
		assert.NilError(t, entry.submit(1))
		s.checkState(gauge.JobPending)
	}
}

// Guards against a refusal that a clock behind that of another entry dates before the attempt.
func TestRefusalIsNotOlderThanItsAttempt(t *testing.T) {
	s := newRefusalSite(t)
	assert.Equal(t, gauge.KindOf(submitBegun(s.entry(intake.OwnedForLong, nil), refusalTime+80)), gauge.KindNoSlot)
	row, _ := s.row()
	assert.Equal(t, row.Ended, int64(refusalTime+80))
}

// Guards against a client that is refused until its attempts are used up although there is room: it
// comes back when told, each time at an entry whose clock is behind the owner's.
func TestClientIsNotRefusedAgainAndAgainBecauseClocksDiffer(t *testing.T) {
	const retries = 4
	for behind := int64(0); behind <= 100; behind += 10 {
		s := newRefusalSite(t)
		owner := s.entry(intake.OwnedForLong, nil)
		s.putRefused(refusalTime)
		s.setFull(false)
		wait := time.Second
		var err error
		for range retries {
			s.pass(wait.Milliseconds())
			if err = submitBegun(owner, s.tableClock()-behind); err == nil {
				break
			}
			wait = gauge.AsError(err).RetryAfter
		}
		assert.NilError(t, err, "a clock that is %d ms behind", behind)
		s.checkState(gauge.JobPending)
	}
}
