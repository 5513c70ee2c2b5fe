package intake_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	gauge "sapphiregauge"
	"sapphiregauge/internal/intake"
)

// table answers each transaction as a test specifies, and stores the rows of those that it
// executes.
type table struct {
	mu      sync.Mutex
	rows    map[gauge.RowKey]gauge.PartitionRow
	version int64
	txns    []gauge.PartitionTxn
	answer  func(n int, execute func()) error // nil: execute and succeed
	silent  bool                              // reads fail
	reads   int
	onRead  func(n int)
	// onCommit is called before a transaction is executed, or is found to be in conflict.
	onCommit func(n int)
}

// newHangingTable returns a table whose first transaction hangs until release is closed; received
// is closed when that transaction arrives.
func newHangingTable() (t *table, received, release chan struct{}) {
	t, received, release = newTable(), make(chan struct{}), make(chan struct{})
	t.answer = func(n int, _ func()) error {
		if n == 1 {
			close(received)
			<-release
		}
		return nil
	}
	return t, received, release
}

func (t *table) setSilent(silent bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.silent = silent
}

func newTable() *table { return &table{rows: make(map[gauge.RowKey]gauge.PartitionRow)} }

func (t *table) Commit(_ context.Context, txn gauge.PartitionTxn) (gauge.TablePosition, []gauge.PartitionRow, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.txns = append(t.txns, txn)
	if t.onCommit != nil {
		t.onCommit(len(t.txns))
	}
	var current []gauge.PartitionRow
	conflict := false
	for _, c := range txn.Checks {
		r := t.rows[c.RowKey]
		r.RowKey = c.RowKey
		current = append(current, r)
		conflict = conflict || r.Version != c.Version
	}
	if conflict {
		return gauge.TablePosition{}, current, gauge.Errorf(gauge.KindConflict, "a row has changed")
	}
	execute := func() {
		t.version++
		for _, w := range txn.Writes {
			t.rows[w.RowKey] = gauge.PartitionRow{RowKey: w.RowKey, Value: w.Value, Version: t.version}
		}
	}
	if t.answer != nil {
		if err := t.answer(len(t.txns), execute); err != nil {
			return gauge.TablePosition{}, nil, err
		}
	}
	execute()
	return gauge.TablePosition{Version: t.version}, nil, nil
}

func (t *table) Range(_ context.Context, name, part, from, _ string) ([]gauge.PartitionRow, gauge.TablePosition, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	if t.onRead != nil {
		t.onRead(t.reads)
	}
	if t.silent {
		return nil, gauge.TablePosition{}, gauge.Errorf(gauge.KindOutage, "no answer to a read")
	}
	r, ok := t.rows[gauge.RowKey{Table: name, Partition: part, Key: from}]
	if !ok {
		return nil, gauge.TablePosition{}, nil
	}
	return []gauge.PartitionRow{r}, gauge.TablePosition{}, nil
}

func (t *table) Partitions(context.Context, string) ([]string, error) { return nil, nil }

func (t *table) Feed(context.Context, string, int64, time.Duration) ([]gauge.PartitionRow, gauge.TablePosition, error) {
	return nil, gauge.TablePosition{}, nil
}

func (t *table) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.txns)
}

// clock is a monotonic clock that advances by step at each reading, so that tests don't wait for
// real time.
type clock struct {
	mu   sync.Mutex
	now  time.Duration
	step time.Duration
}

func (c *clock) Now() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now += c.step
	return c.now
}

// timers are the timeouts of an intake, fired by the test.
type timers struct {
	mu       sync.Mutex
	channels map[time.Duration]chan time.Time
}

func (t *timers) After(d time.Duration) <-chan time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.channel(d)
}

func (t *timers) channel(d time.Duration) chan time.Time {
	if t.channels[d] == nil {
		t.channels[d] = make(chan time.Time, 1)
	}
	return t.channels[d]
}

// fire ends one wait of the given length, now or once it begins.
func (t *timers) fire(d time.Duration) {
	t.mu.Lock()
	c := t.channel(d)
	t.mu.Unlock()
	c <- time.Time{}
}

func (c *clock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now += d
}

type harness struct {
	intake        *intake.Intake
	timers        timers
	mu            sync.Mutex
	notifications []intake.Notification
	known         map[string]bool // jobs that the owner at this entry knows
	ownership     intake.Ownership
}

func newHarness(t *table, c *clock) *harness { return newRelayHarness(t, c, nil) }

func newRelayHarness(t *table, c *clock, r intake.Relay, changes ...func(*intake.Config)) *harness {
	h := &harness{timers: timers{channels: make(map[time.Duration]chan time.Time)}, ownership: intake.OwnedForLong}
	conf := intake.Config{
		Relay: r, After: h.timers.After,
		Store: t, Logs: logr.Discard(), CountEvent: func(string) {}, Now: c.Now, TableClock: func() int64 { return 1 },
		CachedDepth: func(*gauge.Queue) (int, time.Duration, bool) { return 0, 0, true },
		OwnerDepth:  func(context.Context, *gauge.Queue) (int, bool) { return 0, false },
		JobStatus:   func(context.Context, *gauge.Queue, string) (gauge.JobStatus, bool) { return gauge.JobStatus{}, false },
		OwnsJob:     func(_ *gauge.Queue, id string) bool { return h.known[id] },
		Ownership:   func(*gauge.Queue) intake.Ownership { return h.ownership },
		NotifyOwner: func(n intake.Notification) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.notifications = append(h.notifications, n)
		},
	}
	for _, change := range changes {
		change(&conf)
	}
	h.intake = intake.New(conf)
	return h
}

func id(n int) string { return fmt.Sprintf("%016x", n) }

func (h *harness) submit(n int) error {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return h.intake.Submit(ctx, &gauge.Queue{Name: "sheets", Pool: "brakes"}, id(n), &gauge.JobSpec{Steps: []gauge.Step{{Count: 1}}})
}

func outage(int, func()) error { return gauge.Errorf(gauge.KindOutage, "refused") }

// submitTimeout and probeRetryDelay are the timeouts of an intake that tests end.
const (
	submitTimeout   = 2 * time.Second
	probeRetryDelay = 150 * time.Millisecond
	// readsBeforeTimeout is the number of reads, each after a failed attempt, at which the caller's
	// wait ends.
	readsBeforeTimeout = 4
)

func TestSubmissionOutcomes(t *testing.T) {
	for _, tt := range []struct {
		name          string
		answer        func(n int, execute func()) error
		kind          gauge.Kind // empty: accepted
		stored        bool
		notifications int
	}{
		{"answered", nil, "", true, 1},
		{"refused once", func(n int, _ func()) error {
			if n == 1 {
				return gauge.Errorf(gauge.KindOutage, "refused")
			}
			return nil
		}, "", true, 1},
		{"always refused", outage, gauge.KindOutage, false, 0},
		{"executed, answer lost", func(n int, execute func()) error {
			if n == 1 {
				execute()
				return gauge.Errorf(gauge.KindUnknown, "no answer")
			}
			return nil
		}, "", true, 1},
		// "Not run" would be wrong: the first attempt may still take effect.
		{"no answer, then always refused", func(n int, _ func()) error {
			if n == 1 {
				return gauge.Errorf(gauge.KindUnknown, "no answer")
			}
			return gauge.Errorf(gauge.KindOutage, "refused")
		}, gauge.KindExpired, false, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			store := newTable()
			h := newHarness(store, &clock{step: time.Millisecond})
			store.answer = tt.answer
			store.onRead = func(n int) {
				if n == readsBeforeTimeout {
					h.timers.fire(submitTimeout)
				}
			}
			err := h.submit(1)
			if tt.kind == "" {
				assert.NilError(t, err)
			} else {
				assert.Equal(t, gauge.KindOf(err), tt.kind)
				assert.ErrorContains(t, err, "refused", "the log names the table's last answer")
			}
			_, stored := store.rows[gauge.RowKey{Table: gauge.TableJobs, Partition: "sheets", Key: id(1)}]
			assert.Equal(t, stored, tt.stored)
			assert.Equal(t, len(h.notifications), tt.notifications)
		})
	}
}

// Guards against most jobs being refused while the table is slow. A partition executes one
// transaction after the other; with a transaction for each of forty jobs that are submitted during
// a slow one, more would wait than the partition accepts.
func TestJobsSubmittedDuringATransactionShareTheNext(t *testing.T) {
	store, received, release := newHangingTable()
	h := newHarness(store, &clock{})
	var group sync.WaitGroup
	results := make([]error, 41)
	start := func(n int) {
		group.Go(func() { results[n] = h.submit(n) })
	}
	start(0)
	<-received
	for n := 1; n <= 40; n++ {
		start(n)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if h.intake.QueuedJobs("sheets") == 40 {
			return poll.Success()
		}
		return poll.Continue("40 jobs are queued")
	})
	close(release)
	group.Wait()
	for n, err := range results {
		assert.NilError(t, err, "job %d", n)
	}
	assert.Equal(t, store.count(), 3, "one, 24 and 16 jobs")
}

// Guards against running a job that its caller has cancelled. A submission gets no answer but takes
// effect; the caller cancels the job at another entry; the retry of the submission finds the id and
// notifies the owner of a new job, with the row as it was submitted instead of as it is stored now.
func TestUnsettledSubmissionOfACancelledJobIsNotNotified(t *testing.T) {
	store := newTable()
	key := gauge.RowKey{Table: gauge.TableJobs, Partition: "sheets", Key: id(1)}
	store.answer = func(n int, execute func()) error {
		if n > 1 {
			return nil
		}
		execute()
		value, err := (&gauge.JobRow{State: gauge.JobCancelled}).Encode()
		assert.NilError(t, err)
		store.version++
		store.rows[key] = gauge.PartitionRow{RowKey: key, Value: value, Version: store.version}
		return gauge.Errorf(gauge.KindUnknown, "no answer")
	}
	h := newHarness(store, &clock{step: time.Millisecond})
	assert.NilError(t, h.submit(1))
	assert.Equal(t, len(h.notifications), 0)
}

func TestCancel(t *testing.T) {
	store := newTable()
	h := newHarness(store, &clock{step: time.Millisecond})
	q := &gauge.Queue{Name: "sheets", Pool: "brakes"}
	assert.Equal(t, gauge.KindOf(h.intake.Cancel(context.Background(), q, id(2), "")), gauge.KindGone)
	assert.NilError(t, h.submit(1))
	assert.NilError(t, h.intake.Cancel(context.Background(), q, id(1), ""))
	state, err := h.intake.State(context.Background(), q, id(1), "")
	assert.NilError(t, err)
	assert.Equal(t, state, gauge.JobCancelled)
	assert.NilError(t, h.intake.Cancel(context.Background(), q, id(1), ""), "again")
	assert.Equal(t, len(h.notifications), 3, "the owner is notified each time: it may have missed the first")
}
