package intake_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	gauge "sapphiregauge"
	"sapphiregauge/internal/intake"
)

func waitFor(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("%s", condition)
	})
}

// Guards against callers that get no answer in time while the table doesn't answer, because the
// outcome of a job is only checked between transactions. A transaction hangs, and another job is
// queued for the next one; then the waits of both callers end.
func TestCallersDoNotWaitForAHangingTransaction(t *testing.T) {
	store, received, release := newHangingTable()
	h := newHarness(store, &clock{step: time.Millisecond})
	var group sync.WaitGroup
	results := make([]error, 2)
	group.Go(func() { results[0] = h.submit(0) })
	<-received
	group.Go(func() { results[1] = h.submit(1) })
	waitFor(t, "the second job is queued", func() bool { return h.intake.QueuedJobs("sheets") == 1 })
	h.timers.fire(submitTimeout)
	h.timers.fire(submitTimeout)
	group.Wait()
	assert.Equal(t, gauge.KindOf(results[0]), gauge.KindExpired, "it may still be stored")
	assert.Equal(t, gauge.KindOf(results[1]), gauge.KindOutage, "it was not sent")
	close(release)
	waitFor(t, "the owner is notified of the job that was stored after all", func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		return len(h.notifications) == 1 && h.notifications[0].ID == id(0)
	})
	assert.Equal(t, store.count(), 1, "the refused job is never sent")
}

// Guards against keeping each submission for over a second during a table outage, with transactions
// that may take effect later: each job was sent in a transaction although the table was known not
// to answer. A transaction and then a read fail; more jobs are submitted; the table answers again.
func TestSubmissionsAreRefusedAtOnceDuringATableOutage(t *testing.T) {
	store := newTable()
	store.silent = true
	store.answer = outage
	h := newHarness(store, &clock{step: time.Millisecond})
	assert.Equal(t, gauge.KindOf(h.submit(1)), gauge.KindOutage)
	for n := range 3 {
		assert.Equal(t, gauge.KindOf(h.submit(2+n)), gauge.KindOutage)
	}
	assert.Equal(t, store.count(), 1, "nothing more is sent")
	h.timers.fire(probeRetryDelay) // still unreachable
	store.mu.Lock()
	store.answer = nil
	store.mu.Unlock()
	store.setSilent(false)
	h.timers.fire(probeRetryDelay)
	waitFor(t, "jobs are accepted again", func() bool { return h.submit(9) == nil })
}

// Guards against running a job that was refused. A transaction gets no answer, then reads fail, and
// the circuit breaker opens; the transaction may still take effect.
func TestJobsSentBeforeATableOutageAreUnsettled(t *testing.T) {
	store := newTable()
	store.silent = true
	store.answer = func(int, func()) error { return gauge.Errorf(gauge.KindUnknown, "no answer") }
	h := newHarness(store, &clock{step: time.Millisecond})
	assert.Equal(t, gauge.KindOf(h.submit(1)), gauge.KindExpired)
}

// peer is the pool's owner at another entry, as seen by an entry that can't reach the table.
type peer struct {
	submits, cancels int
	err              error
	preferred        bool
	onSubmit         func()
}

func (p *peer) PreferOwner(*gauge.Queue) bool { return p.preferred }

func (p *peer) Submit(context.Context, *gauge.Queue, string, *gauge.JobSpec, int64) error {
	p.submits++
	if p.onSubmit != nil {
		p.onSubmit()
	}
	return p.err
}

func (p *peer) Cancel(context.Context, *gauge.Queue, string, string) error {
	p.cancels++
	return p.err
}

// Guards against an entry that refuses all jobs when the table refuses only this entry, while
// others could store them. Transactions fail here; the owner of the pool is asked and answers in
// different ways.
func TestPoolOwnerStoresWhatThisEntryCannot(t *testing.T) {
	unknown := func(int, func()) error { return gauge.Errorf(gauge.KindUnknown, "no answer") }
	for _, tt := range []struct {
		name  string
		here  func(int, func()) error
		there error
		want  gauge.Kind // empty: accepted
	}{
		{"stored there", outage, nil, ""},
		{"stored there, sent here", unknown, nil, ""},
		{"refused by both", outage, gauge.Errorf(gauge.KindOutage, "unreachable"), gauge.KindOutage},
		{"refused there, sent here", unknown, gauge.Errorf(gauge.KindOutage, "unreachable"), gauge.KindExpired},
		{"no owner to ask", outage, gauge.Errorf(gauge.KindNoWorker, "no owner"), gauge.KindExpired},
		{"no answer from there", outage, gauge.Errorf(gauge.KindUnknown, "no answer"), gauge.KindExpired},
		{"may be stored there", outage, gauge.Errorf(gauge.KindExpired, "not known"), gauge.KindExpired},
		{"no such queue there", outage, gauge.Errorf(gauge.KindNotFound, "no such queue"), gauge.KindNotFound},
		{"no such queue there, sent here", unknown, gauge.Errorf(gauge.KindNotFound, "no such queue"), gauge.KindExpired},
	} {
		t.Run(tt.name, func(t *testing.T) {
			store := newTable()
			store.silent, store.answer = true, tt.here
			p := &peer{err: tt.there}
			h := newRelayHarness(store, &clock{step: time.Millisecond}, p)
			err := h.submit(1)
			assert.Equal(t, p.submits, 1)
			assert.Equal(t, len(h.notifications), 0, "the owner knows")
			if tt.want == "" {
				assert.NilError(t, err)
				return
			}
			assert.Equal(t, gauge.KindOf(err), tt.want)
		})
	}
}

// Guards against forwarding loops: the owner of a pool stores a forwarded job itself or not at all.
func TestForwardedJobIsNotForwardedAgain(t *testing.T) {
	store := newTable()
	store.silent, store.answer = true, outage
	p := &peer{}
	h := newRelayHarness(store, &clock{step: time.Millisecond}, p)
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	q := &gauge.Queue{Name: "sheets", Pool: "brakes"}
	err := h.intake.SubmitLocally(ctx, q, id(1), &gauge.JobSpec{Steps: []gauge.Step{{Count: 1}}}, 1)
	assert.Equal(t, gauge.KindOf(err), gauge.KindOutage)
	assert.Equal(t, p.submits, 0)
}

func TestCancelByPoolOwner(t *testing.T) {
	store := newTable()
	store.silent = true
	p := &peer{}
	h := newRelayHarness(store, &clock{step: time.Millisecond}, p)
	q := &gauge.Queue{Name: "sheets", Pool: "brakes"}
	assert.NilError(t, h.intake.Cancel(context.Background(), q, id(1), ""))
	p.err = gauge.Errorf(gauge.KindGone, "no such job")
	assert.Equal(t, gauge.KindOf(h.intake.Cancel(context.Background(), q, id(1), "")), gauge.KindGone)
	p.err = gauge.Errorf(gauge.KindOutage, "unreachable")
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.Equal(t, gauge.KindOf(h.intake.Cancel(ctx, q, id(1), "")), gauge.KindOutage)
	assert.Equal(t, p.cancels, 3)
}

// Guards against submissions that take two seconds or get no final answer in a slow period of the
// table. A partition executes one transaction after the other, whichever entry sent it: at four
// transactions a second, eight entries that submit jobs of one queue can't each have transactions
// of their own.
func TestPoolOwnerStoresForAllEntries(t *testing.T) {
	unknown := gauge.Errorf(gauge.KindUnknown, "no answer")
	lost := func(int, func()) error { return unknown }
	for _, tt := range []struct {
		name  string
		there error
		here  func(int, func()) error
		delay time.Duration // until the owner has answered or the call is given up
		want  gauge.Kind    // empty: accepted
		sent  int           // transactions sent by this entry
	}{
		{"stored there", nil, nil, 0, "", 0},
		{"certainly not stored there", gauge.Errorf(gauge.KindOutage, "no owner"), nil, 0, "", 1},
		{"may be stored there, stored here", unknown, nil, 0, "", 1},
		{"may be stored there, not here", unknown, outage, 0, gauge.KindExpired, 1},
		{"may be stored there after a long wait", unknown, nil, submitTimeout, gauge.KindExpired, 0},
		{"no owner to ask, stored here", gauge.Errorf(gauge.KindNoWorker, "no owner"), nil, 0, "", 1},
		{"no owner to ask, not stored here", gauge.Errorf(gauge.KindNoWorker, "no owner"), outage, 0, gauge.KindExpired, 1},
		{"stored by neither", gauge.Errorf(gauge.KindOutage, "no owner"), outage, 0, gauge.KindOutage, 0},
		{"refused there, no answer would come here", gauge.Errorf(gauge.KindOutage, "unreachable"), lost, 0, gauge.KindOutage, 0},
		{"no such queue there", gauge.Errorf(gauge.KindNotFound, "no such queue"), nil, 0, gauge.KindNotFound, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			store := newTable()
			store.answer, store.silent = tt.here, tt.here != nil
			p := &peer{preferred: true, err: tt.there}
			c := &clock{step: time.Millisecond}
			p.onSubmit = func() { c.advance(tt.delay) }
			err := newRelayHarness(store, c, p).submit(1)
			assert.Equal(t, store.count(), tt.sent)
			assert.Equal(t, p.submits, 1)
			if tt.want == "" {
				assert.NilError(t, err)
				return
			}
			assert.Equal(t, gauge.KindOf(err), tt.want)
		})
	}
}

// Guards against a stopping entry that is killed with calls in flight: a submission that waits for
// a hanging transaction must also end when its context ends, not only at its own timeout.
func TestSubmissionEndsWithItsContext(t *testing.T) {
	store, received, release := newHangingTable()
	defer close(release)
	h := newHarness(store, &clock{step: time.Millisecond})
	ctx, stop := context.WithCancel(context.Background())
	result := make(chan error, 1)
	go func() {
		q := &gauge.Queue{Name: "sheets", Pool: "brakes"}
		result <- h.intake.SubmitLocally(ctx, q, id(1), &gauge.JobSpec{Steps: []gauge.Step{{Count: 1}}}, 1)
	}()
	<-received
	stop()
	assert.Equal(t, gauge.KindOf(<-result), gauge.KindExpired)
}

// Guards against telling a caller that its job never runs, and running it. A submission is sent to
// the table and gets no answer; its caller retries during the outage and is refused, since nothing
// was sent this time; then the first transaction takes effect. A refusal must consider all
// attempts, not just the last one.
func TestRetryOfAnUnsettledSubmissionIsNotRefused(t *testing.T) {
	store := newTable()
	store.silent = true
	store.answer = func(int, func()) error { return gauge.Errorf(gauge.KindUnknown, "no answer") }
	c := &clock{step: time.Millisecond}
	h := newHarness(store, c)
	assert.Equal(t, gauge.KindOf(h.submit(1)), gauge.KindExpired)
	assert.Equal(t, gauge.KindOf(h.submit(2)), gauge.KindOutage, "another job was certainly not sent")
	assert.Equal(t, gauge.KindOf(h.submit(1)), gauge.KindExpired)
	assert.Equal(t, store.count(), 1)
	c.advance(time.Hour)
	assert.Equal(t, gauge.KindOf(h.submit(1)), gauge.KindOutage, "it can no longer take effect")
}

// Guards against a cancellation whose caller gets no clear answer, or whose owner is never
// notified. The cancellation takes effect but its answer is lost; the retry finds the job cancelled
// and must not take it for a job that ended before its cancellation.
func TestRetriedCancelNotifiesTheOwner(t *testing.T) {
	store := newTable()
	h := newHarness(store, &clock{step: time.Millisecond})
	assert.NilError(t, h.submit(1))
	store.answer = func(n int, execute func()) error {
		if n != 2 {
			return nil
		}
		execute()
		return gauge.Errorf(gauge.KindUnknown, "no answer")
	}
	q := &gauge.Queue{Name: "sheets", Pool: "brakes"}
	assert.NilError(t, h.intake.Cancel(context.Background(), q, id(1), ""))
	assert.Equal(t, store.count(), 2, "it does not take effect twice")
	assert.Equal(t, len(h.notifications), 2)
	assert.Assert(t, h.notifications[1].Cancelled, "the owner is notified")
}

// Guards against callers that use up their attempts within an outage of some seconds, so that their
// jobs are lost: a caller is refused and retries a second later, and again a second later, if
// Retry-After doesn't grow with the duration of the outage.
func TestRetryAfterGrowsWithTheOutage(t *testing.T) {
	store := newTable()
	store.silent, store.answer = true, outage
	c := &clock{}
	h := newHarness(store, c)
	assert.Equal(t, gauge.KindOf(h.submit(1)), gauge.KindOutage)
	for i, tt := range []struct{ outage, want time.Duration }{
		{0, time.Second}, {2 * time.Second, 2 * time.Second}, {time.Minute, 4 * time.Second},
	} {
		c.advance(tt.outage)
		assert.Equal(t, gauge.AsError(h.submit(2+i)).RetryAfter, tt.want)
	}
}

// Guards against telling a caller that its job never runs, and running it. An entry sends a
// submission to the table and gets no answer; the caller retries at another entry, which asks the
// pool's owner; the owner has sent nothing itself and can't reach the table; then the first
// transaction takes effect. The owner has to be notified, since only the first entry knows that the
// job may be stored.
func TestOwnerLearnsOfUnsettledSubmissions(t *testing.T) {
	store := newTable()
	store.silent = true
	store.answer = func(int, func()) error { return gauge.Errorf(gauge.KindUnknown, "no answer") }
	c := &clock{step: time.Millisecond}
	ownerTable := newTable()
	ownerTable.silent, ownerTable.answer = true, outage
	owner := newHarness(ownerTable, c)
	var notified []string
	entry := intake.New(intake.Config{
		Store: store, Logs: logr.Discard(), CountEvent: func(string) {}, Now: c.Now, TableClock: func() int64 { return 1 },
		NotifyOwner: func(intake.Notification) {}, Relay: &peer{err: gauge.Errorf(gauge.KindOutage, "unreachable")},
		ReportUnsettled: func(_ *gauge.Queue, id string) {
			notified = append(notified, id)
			owner.intake.MarkUnsettled(id)
		},
	})
	q := &gauge.Queue{Name: "sheets", Pool: "brakes"}
	err := entry.Submit(context.Background(), q, id(1), &gauge.JobSpec{Steps: []gauge.Step{{Count: 1}}})
	assert.Equal(t, gauge.KindOf(err), gauge.KindExpired)
	assert.DeepEqual(t, notified, []string{id(1)})
	assert.Equal(t, gauge.KindOf(owner.submit(1)), gauge.KindExpired, "it may still be stored")
	assert.Equal(t, gauge.KindOf(owner.submit(2)), gauge.KindOutage)
}

// Guards against telling a caller that its job never runs when the owner already has it from an
// earlier submission.
func TestOwnerThatKnowsAJobRefusesNoRetry(t *testing.T) {
	store := newTable()
	store.silent = true
	store.answer = outage
	h := newHarness(store, &clock{step: time.Millisecond})
	h.known = map[string]bool{id(2): true}
	assert.Equal(t, gauge.KindOf(h.submit(1)), gauge.KindOutage)
	assert.Equal(t, gauge.KindOf(h.submit(2)), gauge.KindExpired)
}
