// Package intake takes jobs from callers: it stores them, tells how far they
// are, and cancels them. It implements gauge.Jobs at every entry alike, and needs
// nothing but the table for it; the owner of the job's pool is told, but a
// message that is lost delays the job only.
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
	Store gauge.Parted
	Logs  logr.Logger
	Event func(event string)   // counts outcomes of hand-ins
	Now   func() time.Duration // steady clock
	Clock func() int64         // the table's clock in milliseconds, about
	// Depth is how many jobs of a queue have not begun, as the pool's owner last told,
	// and how old that count is; false: it isn't known.
	Depth func(q *gauge.Queue) (int, time.Duration, bool)
	// AskDepth asks the owner itself; false: it doesn't know, or can't be asked.
	AskDepth func(ctx context.Context, q *gauge.Queue) (int, bool)
	Tell     func(n Notice) // tells the owner of the pool
	// Unsure tells the owner of a hand-in that may be stored yet; nil: nobody is told.
	Unsure func(q *gauge.Queue, id string)
	// Ask asks the owner of the queue's pool how far a job is; false: it doesn't
	// know, or can't be asked.
	Ask func(ctx context.Context, q *gauge.Queue, id string) (gauge.JobState, bool)
	// Known tells whether the pool's owner is here and has the job; nil: it never is.
	Known func(q *gauge.Queue, id string) bool
	Relay Relay                                  // nil: there are no other entries
	After func(d time.Duration) <-chan time.Time // default time.After
	// Without names what is switched off.
	Without gauge.Without
}

// Relay has the owner of a queue's pool do what the table denies this entry: it
// writes to that part of the table all the time, or has another entry take over.
// Errors: KindOutage: surely not done, by the owner's word; KindEmpty: no owner could be
// asked; KindUnknown: it may be done.
type Relay interface {
	// Prefer tells whether the owner should be asked before the table. A part of the
	// table carries out one transaction after the other: when it is slow, those of
	// all entries have to go together, and it gets slow from one moment to the next.
	Prefer(q *gauge.Queue) bool
	Submit(ctx context.Context, q *gauge.Queue, id string, j *gauge.JobSpec) error
	Cancel(ctx context.Context, q *gauge.Queue, id string) error
}

// Notice tells the owner of a pool of a new or cancelled job.
type Notice struct {
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
	conf   Config
	mu     sync.Mutex
	lanes  map[string]*lane         // by queue
	unsure map[string]time.Duration // ids of hand-ins that may yet be carried out, until when
	pruned time.Duration            // when old ones were last dropped
}

// New makes an Intake.
func New(c Config) *Intake {
	if c.After == nil {
		c.After = time.After
	}
	return &Intake{conf: c, lanes: make(map[string]*lane), unsure: make(map[string]time.Duration)}
}

const (
	// firstPause and lastPause bound the wait before a repeat at the table.
	firstPause = 20 * time.Millisecond
	lastPause  = 200 * time.Millisecond
)

func jobKey(queue, id string) gauge.RowKey {
	return gauge.RowKey{Table: gauge.TableJobs, Part: queue, Key: id}
}

// lane returns the lane of a queue.
func (n *Intake) lane(queue string) *lane {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.lanes[queue]
	if l == nil {
		l = &lane{intake: n, queue: queue}
		n.lanes[queue] = l
	}
	return l
}

func (n *Intake) log(what string, q *gauge.Queue, id string, err error) {
	n.conf.Logs.Info(what, "job", id, "queue", q.Name, "pool", q.Pool, "kind", gauge.KindOf(err), "error", err.Error())
}

// read fetches a job's row.
func (n *Intake) read(ctx context.Context, q *gauge.Queue, id string) (*gauge.JobRow, int64, error) {
	rows, _, err := n.conf.Store.Range(ctx, gauge.TableJobs, q.Name, id, id+"\x00")
	if err != nil {
		return nil, 0, gauge.Fail(gauge.KindOutage, "the table can't be reached").Because(err)
	}
	if len(rows) == 0 {
		return nil, 0, gauge.Fail(gauge.KindGone, "there is no job %s in this queue", id)
	}
	row, err := gauge.DecodeJobRow(rows[0].Value)
	return row, rows[0].Version, err
}

// State tells how far a job is: by its owner's word, which costs no call to the
// table, else by the table's.
func (n *Intake) State(ctx context.Context, q *gauge.Queue, id string) (gauge.JobState, error) {
	if state, ok := n.conf.Ask(ctx, q, id); ok {
		return state, nil
	}
	for pause := firstPause; ; pause = min(2*pause, lastPause) {
		row, _, err := n.read(ctx, q, id)
		if err == nil {
			return row.State, nil
		}
		if gauge.Is(err, gauge.KindOutage) && wait(ctx, pause) {
			continue
		}
		if !gauge.Is(err, gauge.KindGone) {
			n.log("state not told", q, id, err)
		}
		return "", err
	}
}

// countAge is how old a count may be that callers are told: the users' contract allows
// 2 s.
const countAge = 2 * time.Second

// Depth tells how many jobs of a queue have not begun. A count that is older than may be
// is asked of the pool's owner; one that nobody knows is refused, as a wrong one is
// worse than none.
func (n *Intake) Depth(ctx context.Context, q *gauge.Queue) (int, error) {
	if depth, age, ok := n.conf.Depth(q); ok && age <= countAge {
		return depth, nil
	}
	if depth, ok := n.conf.AskDepth(ctx, q); ok {
		return depth, nil
	}
	n.conf.Logs.Info("count not told", "queue", q.Name, "pool", q.Pool)
	return 0, gauge.Fail(gauge.KindOutage, "how many jobs wait isn't known at the moment")
}

func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return ctx.Err() == nil
	}
}
