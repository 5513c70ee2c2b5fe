// Package watch follows a table: it reads the whole table once, then every change from
// the table's change feed. It reads the whole table again when the feed's history has been
// compacted, or when the feed has failed for too long. Each state is delivered at least once.
package watch

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-logr/logr"
	"github.com/sourcegraph/conc/pool"

	gauge "sapphiregauge"
)

// Config sets up a Table.
type Config struct {
	Name            string
	Partitioned     bool   // the rows are in many partitions; otherwise all are in one
	Partition       string // that holds the rows of a table that isn't partitioned
	Store           gauge.PartitionedTable
	FeedWait        time.Duration        // how long a feed call waits for a change; 0: it returns at once
	ConfirmEachWait bool                 // confirms every FeedWait that all rows are known, also while rows change
	PollDelay       func() time.Duration // returns the delay between two calls
	// MaxFeedLag is how far a feed may be behind before the whole table is read instead; 0: it is read
	// only when the history is gone. Rows of 5 KB that are rewritten about a hundred times a second
	// make a megabyte of changes in 2 s, which a link of 10 Mbit/s transfers just within a read's
	// timeout. All current rows are a tenth of that.
	MaxFeedLag time.Duration
	// RetryDelay returns the mean delay after a failed call; nil, or less than defaultRetryDelay:
	// defaultRetryDelay.
	RetryDelay func() time.Duration
	// RereadDelay returns the bound of the random delay before the whole table is read again where
	// the feed's history is gone: it is gone for all that follow the table at the same moment. Nil:
	// there is no delay.
	RereadDelay func() time.Duration
	Logs        logr.Logger
	Now         func() time.Duration
	OnRows      func(Update)
	// OnTablePosition receives each reading of the table's clock and the time at which the call
	// was sent, by Now.
	OnTablePosition func(position gauge.TablePosition, sent time.Duration)
	// OnKnownAsOf receives, after each successful call, a time by Now: all that the table held then
	// has been delivered. It may be nil.
	OnKnownAsOf func(asOf time.Duration)
}

// Update is what a call has returned.
type Update struct {
	Rows    []gauge.PartitionRow
	Whole   bool  // Rows are all rows, otherwise those that have changed
	Version int64 // table version as of which the rows are complete
}

// Table follows one table.
type Table struct {
	conf        Config
	version     int64         // table version up to which rows have been delivered
	failures    int           // consecutive failed calls
	hasRows     bool          // all rows have been delivered, so the feed can go on from version
	unreachable bool          // set by a failed call, until one succeeds
	lastAnswer  time.Duration // when a call last succeeded
	knownAsOf   time.Duration // the rows as of this time have been delivered
}

// defaultRetryDelay is the mean delay after a failure. Delays are random, so that entries don't call
// all at once after an outage.
const defaultRetryDelay = 225 * time.Millisecond

// New makes a Table.
func New(c Config) *Table { return &Table{conf: c} }

// Run follows the table until ctx ends.
func (t *Table) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := t.callWithTimeout(ctx)
		if err == nil {
			t.lastAnswer = t.conf.Now()
		}
		pause := t.conf.PollDelay()
		if err != nil && ctx.Err() == nil {
			pause = t.recordFailure(err)
		} else if t.unreachable {
			t.unreachable, t.failures = false, 0
			t.conf.Logs.Info("dependency regained", "table", t.conf.Name, "version", t.version)
		}
		sleep(ctx, pause)
	}
}

// recordFailure records a failed call and returns the delay before the next one.
func (t *Table) recordFailure(err error) time.Duration {
	if gauge.IsKind(err, gauge.KindCompacted) {
		t.conf.Logs.Info("table history compacted; reading the whole table", "table", t.conf.Name, "version", t.version)
		t.hasRows = false
		return t.rereadDelay()
	}
	t.failures++
	if t.hasRows && t.conf.MaxFeedLag > 0 && t.conf.Now()-t.lastAnswer > t.conf.MaxFeedLag {
		// Every attempt to read the changes since then would time out, and use up the link's
		// bandwidth meanwhile.
		t.conf.Logs.Info("feed given up", "table", t.conf.Name, "version", t.version, "behind", t.conf.Now()-t.lastAnswer)
		t.hasRows = false
	}
	if !t.unreachable {
		t.unreachable = true
		t.conf.Logs.Info("dependency lost", "table", t.conf.Name, "version", t.version, "error", err.Error())
	}
	return t.retryDelay()
}

func (t *Table) rereadDelay() time.Duration {
	if t.conf.RereadDelay == nil {
		return 0
	}
	return rand.N(max(1, t.conf.RereadDelay()))
}

// retryDelay returns a random delay of a quarter to seven quarters of the mean.
func (t *Table) retryDelay() time.Duration {
	mean := defaultRetryDelay
	if t.conf.RetryDelay != nil {
		mean = max(mean, t.conf.RetryDelay())
	}
	return mean/4 + rand.N(mean*3/2)
}

// callWithTimeout makes one call. While the table is unreachable most calls get a short timeout,
// as a call sent before the table is back may hang until long after. Some calls get the full
// time, as a slow table takes longer to answer.
func (t *Table) callWithTimeout(ctx context.Context) error {
	if !t.unreachable || t.failures%fullTimeoutEvery == 0 {
		return t.call(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, outageTimeout)
	defer cancel()
	return t.call(ctx)
}

const (
	// outageTimeout is the timeout of a call while the table is unreachable. A read takes
	// 4 ms, and 60 to 90 times as long while the table is slow.
	outageTimeout = 400 * time.Millisecond
	// fullTimeoutEvery is the number of calls of which one gets the full time while the table is
	// unreachable.
	fullTimeoutEvery = 3
)

// call reads the whole table, or the next changes from the feed.
func (t *Table) call(ctx context.Context) error {
	if !t.hasRows {
		return t.readAll(ctx)
	}
	sent := t.conf.Now()
	wait := t.feedWait(sent)
	rows, position, err := t.conf.Store.Feed(ctx, t.conf.Name, t.version, wait)
	if err != nil {
		return err
	}
	t.conf.OnTablePosition(position, sent)
	t.version = max(t.version, position.Version)
	if len(rows) > 0 {
		t.conf.OnRows(Update{Rows: rows, Version: t.version})
	}
	t.reportAsOf(t.coveredUntil(sent, wait, len(rows)))
	return nil
}

// feedWait returns how long a feed call that is sent now should wait for a change. After a change,
// or a slow answer, a call that waited for all of FeedWait would leave it unknown for nearly twice
// FeedWait whether there has been another change.
func (t *Table) feedWait(now time.Duration) time.Duration {
	if t.unreachable {
		return 0
	}
	if t.conf.ConfirmEachWait {
		// The table counts whole milliseconds.
		return min(max(0, t.knownAsOf+t.conf.FeedWait-now), t.conf.FeedWait).Truncate(time.Millisecond)
	}
	return t.conf.FeedWait
}

// coveredUntil returns the time up to which a feed's answer covers all changes. The table answers
// at the first change, so an answer with rows covers only the time until the call was sent; an
// answer without rows was held back until the wait was over, and covers the wait as well.
func (t *Table) coveredUntil(sent, wait time.Duration, rows int) time.Duration {
	if waited := sent + wait; rows == 0 && t.conf.Now() >= waited {
		return waited
	}
	return sent
}

// reportAsOf records and reports that the rows as of a time have been delivered.
func (t *Table) reportAsOf(asOf time.Duration) {
	t.knownAsOf = asOf
	if t.conf.OnKnownAsOf != nil {
		t.conf.OnKnownAsOf(asOf)
	}
}

// readAll reads and delivers the whole table.
func (t *Table) readAll(ctx context.Context) error {
	sent := t.conf.Now()
	rows, position, err := t.conf.Store.Range(ctx, t.conf.Name, t.conf.Partition, "", "")
	if err != nil {
		return err
	}
	if t.conf.Partitioned {
		parts, err := t.conf.Store.Partitions(ctx, t.conf.Name)
		if err != nil {
			return err
		}
		more, err := t.readPartitions(ctx, parts)
		if err != nil {
			return err
		}
		rows = append(rows, more...)
	}
	t.version, t.hasRows = position.Version, true
	t.conf.OnRows(Update{Rows: rows, Whole: true, Version: t.version})
	// Only after OnRows: the receiver of the position counts the rows as read at that time.
	t.conf.OnTablePosition(position, sent)
	t.reportAsOf(sent)
	return nil
}

// maxConcurrentReads is how many partitions are read concurrently. There is one for each entry and
// pool, and a read takes 0.2 to 0.4 s while the table is slow.
const maxConcurrentReads = 8

// readPartitions reads the named partitions.
func (t *Table) readPartitions(ctx context.Context, parts []string) ([]gauge.PartitionRow, error) {
	reads := pool.NewWithResults[[]gauge.PartitionRow]().WithContext(ctx).WithMaxGoroutines(maxConcurrentReads).WithCancelOnError()
	for _, part := range parts {
		if part == "" {
			continue
		}
		reads.Go(func(ctx context.Context) ([]gauge.PartitionRow, error) {
			rows, _, err := t.conf.Store.Range(ctx, t.conf.Name, part, "", "")
			return rows, err
		})
	}
	rows, err := reads.Wait()
	return slices.Concat(rows...), err
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
