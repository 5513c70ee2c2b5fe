package intake_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/intake"
)

// Guards against 504 without need: the owner had just taken the pool over when it was first asked,
// sent nothing, and stands for long when it is asked again.
func TestAnswerOfARecentOwnerIsNoUnsettledSubmission(t *testing.T) {
	store := newTable()
	store.silent, store.answer = true, outage
	c := &clock{step: time.Millisecond}
	h := newHarness(store, c)
	h.ownership = intake.OwnedRecently
	c.advance(intake.UnsettledSpan - time.Second)
	assert.Equal(t, gauge.KindOf(h.submit(1)), gauge.KindExpired)
	c.advance(2 * time.Second)
	h.ownership = intake.OwnedForLong
	assert.Equal(t, gauge.KindOf(h.submit(1)), gauge.KindOutage, "no transaction got lost, and those of previous owners are settled")
}

// Guards against a job that stays unsettled for as long as its caller asks, although only its first
// transaction got no answer and nothing was sent since.
func TestRetryThatSendsNothingDoesNotProlongTheDoubt(t *testing.T) {
	store := newTable()
	store.silent = true
	store.answer = func(n int, _ func()) error {
		if n == 1 {
			return gauge.Errorf(gauge.KindUnknown, "no answer")
		}
		return gauge.Errorf(gauge.KindOutage, "not sent")
	}
	c := &clock{step: time.Millisecond}
	h := newHarness(store, c)
	assert.Equal(t, gauge.KindOf(h.submit(1)), gauge.KindExpired)
	c.advance(intake.UnsettledSpan - time.Second)
	assert.Equal(t, gauge.KindOf(h.submit(1)), gauge.KindExpired)
	c.advance(2 * time.Second)
	assert.Equal(t, gauge.KindOf(h.submit(1)), gauge.KindOutage, "the transaction without an answer is older than the span")
}

// Guards against a transaction that an entry sends after it stood still: a successor that has had
// the pool for UnsettledSpan may have refused the job already.
func TestJobOlderThanTheSpanIsNotSent(t *testing.T) {
	store, received, release := newHangingTable()
	c := &clock{step: time.Millisecond}
	h := newHarness(store, c)
	first, second := make(chan error, 1), make(chan error, 1)
	go func() { first <- h.submit(1) }()
	<-received
	go func() { second <- h.submit(2) }()
	waitFor(t, "the second job is queued", func() bool { return h.intake.QueuedJobs("sheets") == 1 })
	c.advance(2 * intake.UnsettledSpan)
	close(release)
	assert.NilError(t, <-first)
	<-second
	assert.Equal(t, store.count(), 1, "the second job was submitted %v before its transaction", 2*intake.UnsettledSpan)
}

// Guards against transactions into an outage: the owner was recently succeeded and answers 504 although it sent nothing,
// and an entry that asked it sends the job to a table that answers no read. That made 504s of refusals at each entry once.
func TestEntryThatAskedARecentOwnerSendsNothingIntoAnOutage(t *testing.T) {
	ownerTable := newTable()
	ownerTable.silent, ownerTable.answer = true, outage
	c := &clock{step: time.Millisecond}
	owner := newHarness(ownerTable, c)
	owner.ownership = intake.OwnedRecently
	store := newTable()
	store.silent = true
	store.answer = func(int, func()) error { return gauge.Errorf(gauge.KindUnknown, "no answer") }
	entry := newRelayHarness(store, c, &peer{preferred: true, err: owner.submit(1)})
	entry.ownership = intake.OwnedElsewhere
	_ = entry.submit(1)
	assert.Equal(t, store.count(), 0, "no read was answered")
}

// Guards against a 503 by an entry that owned the pool itself for a moment while it asked for the owner, which thus nobody asked.
func TestEntryThatOwnedThePoolForAMomentRefusesNoJob(t *testing.T) {
	store := newTable()
	store.silent, store.answer = true, outage
	p := &peer{preferred: true, err: gauge.Errorf(gauge.KindOutage, "this entry owns pool brakes itself")}
	h := newRelayHarness(store, &clock{step: time.Millisecond}, p)
	h.ownership = intake.OwnedElsewhere
	assert.Equal(t, gauge.KindOf(h.submit(1)), gauge.KindExpired)
}
