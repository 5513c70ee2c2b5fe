package intake_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/intake"
)

// Guards against another entry's transaction that arrives after the owner has refused the job, which
// would run, or after it has accepted the job later, whose rows would be replaced.
func TestLateTransactionDoesNotUndoARefusal(t *testing.T) {
	s := newRefusalSite(t)
	s.loseAnswers(false)
	assert.Equal(t, gauge.KindOf(s.entry(intake.OwnedElsewhere, nil).submit(1)), gauge.KindExpired)
	s.answerAgain()
	s.pass(300)
	owner := s.entry(intake.OwnedForLong, nil)
	err := owner.submit(1)
	assert.Equal(t, gauge.KindOf(err), gauge.KindNoSlot)
	assert.Equal(t, gauge.AsError(err).RetryAfter, 7*time.Second)
	s.deliver(0)
	s.checkRefused()

	s.pass(7000)
	s.setFull(false)
	assert.NilError(t, owner.submit(1))
	_, version := s.row()
	s.deliver(0)
	s.checkState(gauge.JobPending)
	_, again := s.row()
	assert.Equal(t, again, version)
	assert.Equal(t, len(owner.notifications), 1)
	assert.Equal(t, owner.notifications[0].Version, version)
	assert.Equal(t, s.events["job refused for room"], 1)
	assert.Equal(t, s.events["job accepted after refusal"], 1)
}

// Guards against a refusal that isn't sent although the job has no other fate, and against one for a
// job that an entry has stored without telling the owner.
func TestRefusalOfAStoredJobIsADuplicate(t *testing.T) {
	s := newRefusalSite(t)
	assert.NilError(t, s.entry(intake.OwnedElsewhere, nil).submit(1))
	assert.NilError(t, s.entry(intake.OwnedForLong, nil).submit(1))
	s.checkState(gauge.JobPending)
	assert.Equal(t, s.asked, 1)
}

// Guards against an attempt that turns a refusal into a job though it may have begun before it, and
// against a repeated refusal that leaves the row to an attempt by a clock that is ahead.
func TestOnlyALaterAttemptReplacesARefusal(t *testing.T) {
	for _, tt := range []struct {
		name      string
		ownership intake.Ownership
		full      bool
		age       int64 // of the refusal when the attempt began, in milliseconds
		accepted  bool
		rewritten bool
	}{
		{"began before", intake.OwnedElsewhere, false, -50, false, false},
		{"began before, admitted", intake.OwnedForLong, false, -50, false, false},
		{"unknown beginning", intake.OwnedForLong, false, -refusalTime, false, false},
		{"came back too early", intake.OwnedForLong, false, 900, false, false},
		{"came back too early, to a recent owner", intake.OwnedRecently, false, 900, false, false},
		{"later by one clock", intake.OwnedElsewhere, false, 950, false, true},
		{"exactly the margin", intake.OwnedForLong, false, 1000, false, true},
		{"came back later", intake.OwnedForLong, false, 1001, true, true},
		{"came back later, to another entry", intake.OwnedElsewhere, true, 1001, true, true},
		{"came back later, to a recent owner", intake.OwnedRecently, true, 1001, true, true},
		{"came back later, still full", intake.OwnedForLong, true, 1001, false, true},
		{"came back too early, still full", intake.OwnedForLong, true, 500, false, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newRefusalSite(t)
			s.full = tt.full
			s.putRefused(refusalTime)
			_, before := s.row()
			s.pass(5000)
			h := s.entry(tt.ownership, nil)
			err := submitBegun(h, refusalTime+tt.age)
			_, after := s.row()
			assert.Equal(t, after != before, tt.rewritten)
			if tt.accepted {
				assert.NilError(t, err)
				s.checkState(gauge.JobPending)
				assert.Equal(t, len(h.notifications), 1)
				return
			}
			assert.Equal(t, gauge.KindOf(err), gauge.KindNoSlot)
			assert.Assert(t, gauge.AsError(err).RetryAfter >= time.Second)
			s.checkRefused()
			assert.Equal(t, len(h.notifications), 0)
			if row, _ := s.row(); tt.rewritten {
				assert.Equal(t, row.Ended, s.tableClock(), "the time of the refusal, not that of the attempt")
			}
		})
	}
}

// Guards against a refused job that runs because the clock of an entry is ahead: its unanswered attempt
// to replace an earlier refusal arrives after the owner has refused the next attempt.
func TestRefusalHoldsAgainstAnEarlierAttemptOfAFastClock(t *testing.T) {
	for _, age := range []int64{950, 1001, 3000} {
		s := newRefusalSite(t)
		s.putRefused(refusalTime)
		s.pass(3000)
		s.store.answer = func(n int, _ func()) error {
			if n > 1 {
				s.store.silent = true
				return gauge.Errorf(gauge.KindUnknown, "no answer")
			}
			return nil
		}
		assert.Equal(t, gauge.KindOf(submitBegun(s.entry(intake.OwnedElsewhere, nil), refusalTime+1001)), gauge.KindExpired)
		s.answerAgain()
		sent := s.store.count()
		assert.Equal(t, gauge.KindOf(submitBegun(s.entry(intake.OwnedForLong, nil), refusalTime+age)), gauge.KindNoSlot)
		s.deliver(sent - 1)
		s.checkRefused()
	}
}

// Guards against an entry that takes the refusal of its own job for a stored job. Its transaction got
// no answer; the owner refused the job meanwhile; the entry sends it again much later.
func TestResentTransactionFindsTheRefusal(t *testing.T) {
	s := newRefusalSite(t)
	s.store.answer = func(n int, _ func()) error {
		if n > 1 {
			return nil
		}
		s.putRefused(refusalTime + 300)
		s.pass(60_000)
		return gauge.Errorf(gauge.KindUnknown, "no answer")
	}
	h := s.entry(intake.OwnedElsewhere, nil)
	assert.Equal(t, gauge.KindOf(h.submit(1)), gauge.KindNoSlot)
	s.checkRefused()
	assert.Equal(t, len(h.notifications), 0)
}

// Guards against a 503 for a refusal that may not be stored, and against a refusal without an answer
// that undoes what followed, also at the next owner.
func TestRefusalWithoutAnAnswerIsUnsettled(t *testing.T) {
	for _, tt := range []struct {
		name     string
		executed bool
		after    int64 // until the retry, in milliseconds
		want     gauge.Kind
	}{
		{"took effect, retried at once", true, 300, gauge.KindNoSlot},
		{"took effect, retried later", true, 1001, ""},
		{"did not take effect", false, 300, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newRefusalSite(t)
			s.loseAnswers(tt.executed)
			assert.Equal(t, gauge.KindOf(s.entry(intake.OwnedForLong, nil).submit(1)), gauge.KindExpired)
			assert.Equal(t, s.events["job refused for room"], 0)
			s.answerAgain()
			s.pass(tt.after)
			err := s.entry(intake.OwnedRecently, nil).submit(1)
			s.deliver(0)
			if tt.want != "" {
				assert.Equal(t, gauge.KindOf(err), tt.want)
				assert.Equal(t, gauge.AsError(err).RetryAfter, time.Second)
				s.checkRefused()
				return
			}
			assert.NilError(t, err)
			s.checkState(gauge.JobPending)
		})
	}
}

// Guards against an unsettled answer, and a second row, for a refusal whose transaction is sent again.
func TestRefusalIsSentAgain(t *testing.T) {
	for _, executed := range []bool{false, true} {
		s := newRefusalSite(t)
		s.store.answer = func(n int, execute func()) error {
			if n > 1 {
				return nil
			}
			if executed {
				execute()
			}
			return gauge.Errorf(gauge.KindUnknown, "no answer")
		}
		assert.Equal(t, gauge.KindOf(s.entry(intake.OwnedForLong, nil).submit(1)), gauge.KindNoSlot)
		s.checkRefused()
		_, version := s.row()
		assert.Equal(t, version, int64(1))
	}
}
