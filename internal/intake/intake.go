// Package intake stores the jobs that callers submit, reports their states and cancels them. It
// implements gauge.Jobs in the same way at every entry, and needs only the table for it: the owner
// of a job's pool is notified, but a lost notification only delays the job.
package intake

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	gauge "sapphiregauge"
)

// Config sets up an Intake.
type Config struct {
	Store      gauge.PartitionedTable
	Logs       logr.Logger
	CountEvent func(event string)   // counts outcomes of submissions
	Now        func() time.Duration // monotonic clock
	TableClock func() int64         // approximate time of the table's clock in milliseconds
	// CachedDepth returns how many jobs of a queue have not begun, according to the lease row of
	// its pool that was last read, and how old that count is; false: it isn't known.
	CachedDepth func(q *gauge.Queue) (int, time.Duration, bool)
	// OwnerDepth asks the owner for the count; false: the owner doesn't know it, or can't be asked.
	OwnerDepth  func(ctx context.Context, q *gauge.Queue) (int, bool)
	NotifyOwner func(n Notification) // notifies the owner of the pool
	// ReportUnsettled notifies the owner of a submission that may still be stored; nil: nobody is
	// notified.
	ReportUnsettled func(q *gauge.Queue, id string)
	// JobStatus asks the owner of the queue's pool for the status of a job; false: the owner doesn't
	// know it, or can't be asked.
	JobStatus func(ctx context.Context, q *gauge.Queue, id string) (gauge.JobStatus, bool)
	// OwnsJob reports whether the pool's owner is at this entry and knows the job; nil: it never
	// is.
	OwnsJob func(q *gauge.Queue, id string) bool
	// AccountLimit returns the most that a client account may have running; nil, or 0 for a resource:
	// there is no limit.
	AccountLimit func(account string) gauge.Resources
	// Ownership tells what this entry knows as the owner of the queue's pool; nil: it owns all pools
	// and always has.
	Ownership func(q *gauge.Queue) Ownership
	// Admit returns an error of kind KindNoSlot or KindQuota, with RetryAfter, for a job that the
	// owner of the queue's pool can't serve in time; nil: all jobs are admitted. It is called only
	// where this entry owns the pool, and must not block.
	Admit func(q *gauge.Queue, id string, j *gauge.JobSpec) error
	Relay Relay                                  // nil: there are no other entries
	After func(d time.Duration) <-chan time.Time // default time.After
	// Disabled names the mechanisms that are switched off.
	Disabled gauge.Disabled
}

// Ownership is what an entry knows of a pool's jobs as its owner.
type Ownership string

// The kinds of ownership.
const (
	OwnedElsewhere Ownership = ""       // another entry owns the pool, or none
	OwnedRecently  Ownership = "recent" // submissions to previous owners may still be stored, or another owner may have followed
	OwnedForLong   Ownership = "long"   // this entry knows of all submissions to owners that may still be stored
)

// Relay forwards submissions and cancellations to the owner of the queue's pool, which writes to
// that partition of the table all the time, or has another entry take over the pool. Errors:
// KindOutage: the owner says that it was certainly not done; KindNoWorker: no owner could be asked;
// KindUnknown: it may have been done; KindNoSlot and KindQuota: the owner has stored a refusal.
type Relay interface {
	// PreferOwner reports whether to ask the owner before the table is tried. A partition of the
	// table executes transactions one after the other: in a slow period the submissions of all
	// entries have to share transactions, and such a period begins without warning.
	PreferOwner(q *gauge.Queue) bool
	// Submit passes on when the submission began, by the table's clock in milliseconds.
	Submit(ctx context.Context, q *gauge.Queue, id string, j *gauge.JobSpec, began int64) error
	Cancel(ctx context.Context, q *gauge.Queue, id, account string) error
}

// Notification notifies the owner of a pool of a new or cancelled job.
type Notification struct {
	Pool      string
	Queue     string
	ID        string
	Cancelled bool
	Spec      *gauge.JobSpec
	Row       *gauge.JobRow
	Version   int64
}

// Intake implements gauge.Jobs.
type Intake struct {
	conf           Config
	mu             sync.Mutex
	batchers       map[string]*batcher      // by queue
	unsettledUntil map[string]time.Duration // by job id: until when an unsettled submission may still be stored
	prunedAt       time.Duration            // last removal of old ids
	attempts       map[string]int           // by job id: attempts to store it that are under way
	refusals       map[string]storedRefusal // by job id: refused rows that this entry has written
	// refusalsPrunedAt is when old ones were last removed from refusals.
	refusalsPrunedAt time.Duration
}

// New returns an Intake.
func New(c Config) *Intake {
	if c.After == nil {
		c.After = time.After
	}
	return &Intake{conf: c, batchers: make(map[string]*batcher), unsettledUntil: make(map[string]time.Duration), attempts: make(map[string]int), refusals: make(map[string]storedRefusal)}
}

const (
	// minRetryDelay and maxRetryDelay bound the wait before another attempt at the table.
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = 200 * time.Millisecond
)

func jobKey(queue, id string) gauge.RowKey {
	return gauge.RowKey{Table: gauge.TableJobs, Partition: queue, Key: id}
}

// batcher returns the batcher of a queue, and creates it if there is none.
func (n *Intake) batcher(queue string) *batcher {
	n.mu.Lock()
	defer n.mu.Unlock()
	b := n.batchers[queue]
	if b == nil {
		b = &batcher{intake: n, queue: queue}
		n.batchers[queue] = b
	}
	return b
}

func (n *Intake) logFailure(message string, q *gauge.Queue, id string, err error) {
	n.conf.Logs.Info(message, "job", id, "queue", q.Name, "pool", q.Pool, "kind", gauge.KindOf(err), "error", err.Error())
}

// readRow reads the row of a job's id and its version; nil and 0: there is none. KindOutage: the table
// can't be reached.
func (n *Intake) readRow(ctx context.Context, q *gauge.Queue, id string) (*gauge.JobRow, int64, error) {
	rows, _, err := n.conf.Store.Range(ctx, gauge.TableJobs, q.Name, id, id+"\x00")
	if err != nil {
		return nil, 0, gauge.Errorf(gauge.KindOutage, "the table can't be reached").WithCause(err)
	}
	if len(rows) == 0 {
		return nil, 0, nil
	}
	row, err := gauge.DecodeJobRow(rows[0].Value)
	return row, rows[0].Version, err
}

// readJob reads a job's row. Errors: KindOutage: the table can't be reached; KindGone: there is no
// such job.
func (n *Intake) readJob(ctx context.Context, q *gauge.Queue, id string) (*gauge.JobRow, error) {
	row, _, err := n.readRow(ctx, q, id)
	if err == nil && (row == nil || !row.IsJob()) {
		err = goneError(id)
	}
	return row, err
}

func goneError(id string) error {
	return gauge.Errorf(gauge.KindGone, "there is no job %s in this queue", id)
}

// State returns the state of a job: from its owner if that answers, which costs no call to the
// table, otherwise from the table.
func (n *Intake) State(ctx context.Context, q *gauge.Queue, id, account string) (gauge.JobState, error) {
	status, ok := n.conf.JobStatus(ctx, q, id)
	if !ok {
		row, err := n.awaitRow(ctx, q, id)
		if err != nil {
			return "", err
		}
		status = gauge.JobStatus{State: row.State, Account: row.Account}
	}
	if err := n.checkAccess(q, id, account, status.Account); err != nil {
		return "", err
	}
	return status.State, nil
}

// checkAccess returns an error of kind KindForbidden for a call that is for another account's job.
func (n *Intake) checkAccess(q *gauge.Queue, id, caller, submitter string) error {
	if gauge.MayAccess(caller, submitter) {
		return nil
	}
	err := gauge.Errorf(gauge.KindForbidden, "job %s belongs to another client account", id)
	n.conf.CountEvent("job of another account")
	n.conf.Logs.Info("call refused", "job", id, "queue", q.Name, "kind", err.Kind, "account", caller)
	return err
}

// awaitRow reads a job's row, as often as needed.
func (n *Intake) awaitRow(ctx context.Context, q *gauge.Queue, id string) (*gauge.JobRow, error) {
	for delay := minRetryDelay; ; delay = min(2*delay, maxRetryDelay) {
		row, err := n.readJob(ctx, q, id)
		if err == nil {
			return row, nil
		}
		if gauge.IsKind(err, gauge.KindOutage) && sleep(ctx, delay) {
			continue
		}
		if !gauge.IsKind(err, gauge.KindGone) {
			n.logFailure("job state not read", q, id, err)
		}
		return nil, err
	}
}

// maxCountAge is the maximum age of a count that callers are given: the users' contract allows 2 s.
const maxCountAge = 2 * time.Second

// Depth returns how many jobs of a queue have not begun. If the cached count is too old, the pool's
// owner is asked. KindOutage: nobody knows the count, since a wrong one is worse than none.
func (n *Intake) Depth(ctx context.Context, q *gauge.Queue) (int, error) {
	if depth, age, ok := n.conf.CachedDepth(q); ok && age <= maxCountAge {
		return depth, nil
	}
	if depth, ok := n.conf.OwnerDepth(ctx, q); ok {
		return depth, nil
	}
	n.conf.Logs.Info("count not told", "queue", q.Name, "pool", q.Pool)
	return 0, gauge.Errorf(gauge.KindOutage, "how many jobs wait isn't known at the moment")
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return ctx.Err() == nil
	}
}
