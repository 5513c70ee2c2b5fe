package watch_test

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/watch"
)

// table answers every read; each test sets what a feed call does.
type table struct {
	gauge.PartitionedTable
	feeds int
	feed  func(ctx context.Context, n int) error
}

func (t *table) Range(context.Context, string, string, string, string) ([]gauge.PartitionRow, gauge.TablePosition, error) {
	return nil, gauge.TablePosition{Version: 1}, nil
}

func (t *table) Feed(ctx context.Context, _ string, _ int64, _ time.Duration) ([]gauge.PartitionRow, gauge.TablePosition, error) {
	t.feeds++
	if err := t.feed(ctx, t.feeds); err != nil {
		return nil, gauge.TablePosition{}, err
	}
	return []gauge.PartitionRow{{Version: 2}}, gauge.TablePosition{Version: 2}, nil
}

// Guards against an entry that notices new workers and leases up to two seconds after the end
// of a table outage: a feed call that was sent during the outage, on a connection that stays
// silent, was given as much time as a call to a slow table.
func TestFeedCallSentDuringOutageTimesOutSoon(t *testing.T) {
	store := &table{feed: func(ctx context.Context, n int) error {
		switch n {
		case 1:
			return gauge.Errorf(gauge.KindOutage, "no answer")
		case 2:
			<-ctx.Done() // never answers
			return gauge.Errorf(gauge.KindOutage, "no answer")
		default:
			return nil
		}
	}}
	ctx, stop := context.WithTimeout(t.Context(), time.Minute)
	defer stop()
	delivered := make(chan bool, 10)
	go watch.New(watch.Config{
		Name: "workers", Store: store, FeedWait: time.Hour, PollDelay: func() time.Duration { return 0 }, Logs: logr.Discard(),
		Now: func() time.Duration { return 0 }, OnTablePosition: func(gauge.TablePosition, time.Duration) {},
		OnRows: func(u watch.Update) {
			if !u.Whole {
				delivered <- true
			}
		},
	}).Run(ctx)
	select {
	case <-delivered:
	case <-ctx.Done():
		t.Fatal("the change was not delivered")
	}
}

// Guards against an entry that uses a configuration 15 seconds old though the table answers
// again. The table refuses an entry with a low-bandwidth link for nine seconds, while a row of
// 5 KB is rewritten a hundred times a second. The feed since then is several megabytes, and each
// attempt to read it times out and starts over. The current rows are a tenth of that.
func TestWholeTableIsReadAfterLongOutage(t *testing.T) {
	now := time.Duration(0)
	store := &table{feed: func(ctx context.Context, n int) error {
		now += time.Second
		if n <= 3 {
			return gauge.Errorf(gauge.KindOutage, "refused")
		}
		<-ctx.Done() // more than arrives within the call's timeout
		return gauge.Errorf(gauge.KindOutage, "no answer in time")
	}}
	ctx, stop := context.WithTimeout(t.Context(), time.Minute)
	defer stop()
	whole := make(chan bool, 10)
	go watch.New(watch.Config{
		Name: "leases", Store: store, MaxFeedLag: 2 * time.Second, PollDelay: func() time.Duration { return 0 }, Logs: logr.Discard(),
		Now: func() time.Duration { return now }, OnTablePosition: func(gauge.TablePosition, time.Duration) {},
		OnRows: func(u watch.Update) { whole <- u.Whole },
	}).Run(ctx)
	for range 2 {
		select {
		case all := <-whole:
			assert.Assert(t, all)
		case <-ctx.Done():
			t.Fatal("the rows were not delivered again")
		}
	}
}

// partialTable answers reads of the unnamed partition, but none of a named one.
type partialTable struct {
	table
	onPartitionRead func() // called at the read of a named partition
}

func (*partialTable) Partitions(context.Context, string) ([]string, error) { return []string{"p"}, nil }

func (p *partialTable) Range(ctx context.Context, name, part, from, to string) ([]gauge.PartitionRow, gauge.TablePosition, error) {
	if part != "" {
		p.onPartitionRead()
		return nil, gauge.TablePosition{}, gauge.Errorf(gauge.KindOutage, "no answer")
	}
	return p.table.Range(ctx, name, part, from, to)
}

// Guards against an entry that claims leases, and offers to take others, by rows from before a
// table outage: the read of the unnamed partition is answered, those of the pools' partitions
// aren't, and the leases counted as read with the first answer.
func TestPartialReadIsNotReported(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	positions, rounds := 0, 0
	store := &partialTable{}
	store.onPartitionRead = func() { stop() }
	watch.New(watch.Config{
		Name: "leases", Partitioned: true, Store: store, Logs: logr.Discard(), Now: func() time.Duration { return 0 },
		PollDelay: func() time.Duration { return 0 }, OnRows: func(watch.Update) { rounds++ },
		OnTablePosition: func(gauge.TablePosition, time.Duration) { positions++ },
	}).Run(ctx)
	assert.Equal(t, rounds, 0)
	assert.Equal(t, positions, 0)
}

// The time that is passed to OnKnownAsOf must not be too late: its receiver would take rows for
// complete that the table has changed since.
func TestSeenTimeIsNotTooLate(t *testing.T) {
	const wait = time.Second
	for _, c := range []struct {
		name    string
		took    time.Duration
		changes bool
		want    time.Duration // since the feed call was sent
	}{
		{"no change until the wait was over", wait + 4*time.Millisecond, false, wait},
		{"no change, slow answer", wait + 300*time.Millisecond, false, wait},
		{"change at once", 4 * time.Millisecond, true, 0},
		{"change late in the wait", wait - time.Millisecond, true, 0},
		{"change, slow answer", wait + 300*time.Millisecond, true, 0},
		{"no change, answered before the wait was over", wait / 2, false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			now := time.Minute
			var sent time.Duration
			store := &timedTable{took: c.took, now: &now, sent: &sent}
			if c.changes {
				store.rows = []gauge.PartitionRow{{Version: 2}}
			}
			var reported []time.Duration
			watch.New(watch.Config{
				Name: "rows", Store: store, FeedWait: wait, PollDelay: func() time.Duration { return 0 }, Logs: logr.Discard(),
				Now: func() time.Duration { return now }, OnRows: func(watch.Update) {}, OnTablePosition: func(gauge.TablePosition, time.Duration) {},
				OnKnownAsOf: func(asOf time.Duration) {
					if reported = append(reported, asOf); len(reported) == 2 {
						stop()
					}
				},
			}).Run(ctx)
			assert.DeepEqual(t, reported, []time.Duration{time.Minute, sent + c.want})
		})
	}
}

// Guards against an entry that doesn't know for two seconds whether its configuration is the
// newest, though the table answers. A change comes late in a feed call's wait; an answer with a
// change covers only the time until the call was sent, and the next call waits in full.
func TestFeedCallAfterChangeWaitsForTheRemainder(t *testing.T) {
	const wait, took = time.Second, 900*time.Millisecond + 400*time.Microsecond
	for _, c := range []struct {
		name  string
		renew bool
		want  time.Duration
	}{
		{"confirmed every wait, in whole milliseconds", true, 99 * time.Millisecond},
		{"not confirmed", false, wait},
	} {
		t.Run(c.name, func(t *testing.T) {
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			now := time.Minute
			var sent time.Duration
			store := &timedTable{took: took, now: &now, sent: &sent, rows: []gauge.PartitionRow{{Version: 2}}}
			rounds := 0
			watch.New(watch.Config{
				Name: "rows", Store: store, FeedWait: wait, ConfirmEachWait: c.renew, PollDelay: func() time.Duration { return 0 }, Logs: logr.Discard(),
				Now: func() time.Duration { return now }, OnRows: func(watch.Update) {}, OnTablePosition: func(gauge.TablePosition, time.Duration) {},
				OnKnownAsOf: func(time.Duration) {
					if rounds++; rounds == 3 {
						stop()
					}
				},
			}).Run(ctx)
			assert.Equal(t, store.waits[1], c.want)
		})
	}
}

// timedTable answers each feed call after a fixed time of the test's clock, with rows or without.
type timedTable struct {
	table
	took  time.Duration
	rows  []gauge.PartitionRow
	now   *time.Duration
	sent  *time.Duration
	waits []time.Duration
}

func (a *timedTable) Range(ctx context.Context, name, part, from, to string) ([]gauge.PartitionRow, gauge.TablePosition, error) {
	rows, position, err := a.table.Range(ctx, name, part, from, to)
	*a.now += 4 * time.Millisecond
	return rows, position, err
}

func (a *timedTable) Feed(_ context.Context, _ string, _ int64, wait time.Duration) ([]gauge.PartitionRow, gauge.TablePosition, error) {
	a.waits = append(a.waits, wait)
	*a.sent = *a.now
	*a.now += a.took
	return a.rows, gauge.TablePosition{Version: 2}, nil
}

// Guards against entries that read all of a table that hardly changes, each its own, after every
// outage of two seconds.
func TestTableThatSeldomChangesIsNotReadAgainAfterAnOutage(t *testing.T) {
	now := time.Duration(0)
	wholeReads, changes := 0, make(chan bool)
	store := &table{feed: func(_ context.Context, n int) error {
		now += time.Second
		if n <= 5 {
			return gauge.Errorf(gauge.KindOutage, "refused")
		}
		return nil
	}}
	ctx, stop := context.WithTimeout(t.Context(), time.Minute)
	defer stop()
	go watch.New(watch.Config{
		Name: "operator", Store: store, PollDelay: func() time.Duration { return 0 }, Logs: logr.Discard(),
		Now: func() time.Duration { return now }, OnTablePosition: func(gauge.TablePosition, time.Duration) {},
		OnRows: func(u watch.Update) {
			if u.Whole {
				wholeReads++
				return
			}
			select {
			case changes <- true:
			case <-ctx.Done():
			}
		},
	}).Run(ctx)
	select {
	case <-changes:
		assert.Equal(t, wholeReads, 1, "at the start only")
	case <-ctx.Done():
		t.Fatal("the feed didn't go on")
	}
}
