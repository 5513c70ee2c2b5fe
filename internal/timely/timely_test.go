package timely_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/timely"
)

// table answers after a while on the test's clock, or not before the caller
// gives up.
type table struct {
	gauge.Parted
	now   time.Duration
	takes time.Duration
	lost  bool
}

func (t *table) Commit(ctx context.Context, _ gauge.PartTxn) (gauge.Stamp, []gauge.PartRow, error) {
	if t.lost {
		<-ctx.Done()
		return gauge.Stamp{}, nil, gauge.Fail(gauge.KindUnknown, "no answer")
	}
	t.now += t.takes
	return gauge.Stamp{}, nil, nil
}

const (
	least = 20 * time.Millisecond
	most  = 100 * time.Millisecond
)

func newTable() (*table, *timely.Table) {
	store := &table{}
	return store, timely.New(timely.Config{Store: store, Least: least, Most: most, Now: func() time.Duration { return store.now }})
}

func commit(t *timely.Table, times int) {
	for range times {
		_, _, _ = t.Commit(context.Background(), gauge.PartTxn{})
	}
}

// Symptom: while the table loses answers, hand-ins take most of a second each and
// owners lose their leases.
// Sequence: the table answers within milliseconds; an answer is lost.
// Cause: a lost answer is waited for as long as one of a slow table.
func TestLostAnswerOfAFastTableIsGivenUpSoon(t *testing.T) {
	store, timed := newTable()
	store.takes = time.Millisecond
	commit(timed, 10)
	assert.Equal(t, timed.Wait(), least)
	store.lost = true
	commit(timed, 1)
	assert.Equal(t, timed.Wait(), 2*least, "it may have become slow")
	commit(timed, 2)
	assert.Equal(t, timed.Wait(), most)
	store.lost = false
	commit(timed, 1)
	assert.Equal(t, timed.Wait(), least)
}

// Symptom: nothing is stored while the table is slow.
// Sequence: the table takes longer than the shortest wait, for minutes.
// Cause: answers that would have come are given up.
func TestSlowTableIsWaitedFor(t *testing.T) {
	store, timed := newTable()
	store.takes = 60 * time.Millisecond
	commit(timed, 50)
	assert.Assert(t, timed.Wait() > store.takes, "%v", timed.Wait())
	store.takes = time.Millisecond
	commit(timed, 100)
	assert.Equal(t, timed.Wait(), least, "it is fast again")
}
