package intake_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/intake"
)

// Guards against a 503 for a retry whose wait ends while the first try of the job is still in a transaction.
func TestRetryIsNotRefusedWhileTheFirstTryIsInFlight(t *testing.T) {
	store, received, release := newHangingTable()
	h := newHarness(store, &clock{step: time.Millisecond})
	first := make(chan error, 1)
	go func() { first <- h.submit(1) }()
	<-received
	ctx, stop := context.WithCancel(context.Background())
	retry := make(chan error, 1)
	go func() {
		q := &gauge.Queue{Name: "sheets", Pool: "brakes"}
		retry <- h.intake.SubmitLocally(ctx, q, id(1), &gauge.JobSpec{Steps: []gauge.Step{{Count: 1}}}, 1)
	}()
	waitFor(t, "the retry is queued", func() bool { return h.intake.QueuedJobs("sheets") == 1 })
	stop()
	err := <-retry
	close(release)
	assert.NilError(t, <-first)
	assert.Equal(t, gauge.KindOf(err), gauge.KindExpired, "a job that was not accepted never runs, and this one is stored")
}

// Guards against a 503 for a retry that comes while the entry asks the owner about the first try, which got no answer.
func TestRetryIsNotRefusedWhileTheOwnerIsAskedAboutTheFirstTry(t *testing.T) {
	store := newTable()
	store.silent = true
	var late func()
	store.answer = func(_ int, execute func()) error {
		late = execute
		return gauge.Errorf(gauge.KindUnknown, "no answer")
	}
	p := &peer{err: gauge.Errorf(gauge.KindOutage, "unreachable")}
	h := newRelayHarness(store, &clock{step: time.Millisecond}, p)
	var retry error
	p.onSubmit = func() {
		p.onSubmit = nil
		retry = h.submit(1)
	}
	assert.Equal(t, gauge.KindOf(h.submit(1)), gauge.KindExpired)
	late()
	assert.Equal(t, gauge.KindOf(retry), gauge.KindExpired, "a job that was not accepted never runs, and this one is stored")
}

// Guards against a 503 by an owner that doesn't know what its predecessor left unsettled, and by one
// that has lost its pool meanwhile: the first try is stored after the retry was answered.
func TestOnlyALongStandingOwnerRefusesAJob(t *testing.T) {
	for _, tt := range []struct {
		name          string
		before, after intake.Ownership
		want          gauge.Kind
	}{
		{"owner for long", intake.OwnedForLong, intake.OwnedForLong, gauge.KindOutage},
		{"owner that has just taken the pool over", intake.OwnedRecently, intake.OwnedRecently, gauge.KindExpired},
		{"owner that has lost the pool meanwhile", intake.OwnedForLong, intake.OwnedElsewhere, gauge.KindExpired},
		{"entry that has taken the pool over meanwhile", intake.OwnedElsewhere, intake.OwnedRecently, gauge.KindExpired},
	} {
		t.Run(tt.name, func(t *testing.T) {
			store := newTable()
			store.silent = true
			var late func()
			store.answer = func(_ int, execute func()) error {
				late = execute
				return gauge.Errorf(gauge.KindUnknown, "no answer")
			}
			c := &clock{step: time.Millisecond}
			assert.Equal(t, gauge.KindOf(newHarness(store, c).submit(1)), gauge.KindExpired)
			h := newHarness(store, c)
			h.ownership = tt.before
			store.answer = func(int, func()) error {
				h.ownership = tt.after
				return gauge.Errorf(gauge.KindOutage, "not sent")
			}
			err := h.submit(1)
			late()
			assert.Equal(t, gauge.KindOf(err), tt.want)
		})
	}
}
