// Package intake takes jobs from callers: it stores them, tells how far they
// are, and cancels them. It implements gauge.Jobs at every entry alike, and needs
// nothing but the table for it; the owner of the job's pool is told, but a
// message that is lost delays the job only.
package intake

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"

	gauge "sapphiregauge"
)

// Config sets up an Intake.
type Config struct {
	Store gauge.Parted
	Logs  logr.Logger
	Event func(event string)               // counts outcomes of hand-ins
	Now   func() time.Duration             // steady clock
	Clock func() int64                     // the table's clock in milliseconds, about
	Depth func(q *gauge.Queue) (int, bool) // as the pool's owner last told
	Tell  func(n Notice)                   // tells the owner of the pool
	// Ask asks the owner of the queue\'s pool how far a job is; false: it doesn\'t
	// know, or can\'t be asked.
	Ask func(ctx context.Context, q *gauge.Queue, id string) (gauge.JobState, bool)
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
	conf  Config
	mu    sync.Mutex
	lanes map[string]*lane // by queue
}

// New makes an Intake.
func New(c Config) *Intake { return &Intake{conf: c, lanes: make(map[string]*lane)} }

const (
	// firstPause and lastPause bound the wait before a repeat at the table.
	firstPause = 20 * time.Millisecond
	lastPause  = 200 * time.Millisecond
)

func jobKey(queue, id string) gauge.RowKey {
	return gauge.RowKey{Table: gauge.TableJobs, Part: queue, Key: id}
}

// Submit stores a job, once however often it is handed in.
//
// A transaction without an answer may take effect later, so "not stored" is only
// said when every try was surely not carried out. Until that is settled the job
// is sent again: the row's condition lets only one of the tries take effect.
func (n *Intake) Submit(ctx context.Context, q *gauge.Queue, id string, j *gauge.JobSpec) error {
	row := &gauge.JobRow{State: gauge.JobPending, Pool: q.Pool, Accepted: n.conf.Clock()}
	txn, err := insertion(q, id, j, row)
	if err != nil {
		return err
	}
	began := n.conf.Now()
	p := &pending{id: id, txn: txn, began: began, until: began + timeLeft(ctx), settled: make(chan outcome, 1)}
	o := n.lane(q.Name).store(p)
	took := n.conf.Now() - began
	switch {
	case gauge.Is(o.err, gauge.KindExpired):
		n.conf.Event("job unsettled")
		n.log("job unsettled", q, id, o.err)
	case o.err != nil:
		n.conf.Event("job refused")
		n.log("job refused", q, id, o.err)
	case o.known:
		n.conf.Logs.Info("job known", "job", id, "queue", q.Name, "version", o.version, "unsure", p.unsure, "took", took)
		n.tellUnsure(q, p, j, o)
	default:
		n.conf.Event("job accepted")
		n.conf.Logs.Info("job accepted", "job", id, "queue", q.Name, "pool", q.Pool, "version", o.version, "took", took)
		n.conf.Tell(Notice{Pool: q.Pool, Queue: q.Name, ID: id, Spec: j, Row: row, Version: o.version})
	}
	return o.err
}

// tellUnsure tells the owner of a job that a transaction without an answer has
// stored. Its row is told as the table has it: the job may have been cancelled
// since.
func (n *Intake) tellUnsure(q *gauge.Queue, p *pending, j *gauge.JobSpec, o outcome) {
	if !p.unsure {
		return
	}
	row, err := gauge.DecodeJobRow(o.row)
	if err != nil {
		n.conf.Logs.Error(err, "job row not read", "job", p.id, "queue", q.Name)
		return
	}
	if row.State == gauge.JobPending {
		n.conf.Tell(Notice{Pool: row.Pool, Queue: q.Name, ID: p.id, Spec: j, Row: row, Version: o.version})
	}
}

// timeLeft is how long the caller waits still.
func timeLeft(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return commitWait
	}
	return time.Until(deadline)
}

// lane returns the lane of a queue.
func (n *Intake) lane(queue string) *lane {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.lanes[queue]
	if l == nil {
		l = &lane{intake: n}
		n.lanes[queue] = l
	}
	return l
}

func insertion(q *gauge.Queue, id string, j *gauge.JobSpec, row *gauge.JobRow) (gauge.PartTxn, error) {
	spec, err := gauge.EncodeJobSpec(j)
	if err != nil {
		return gauge.PartTxn{}, err
	}
	value, err := row.Encode()
	if err != nil {
		return gauge.PartTxn{}, err
	}
	key := jobKey(q.Name, id)
	return gauge.PartTxn{
		Checks: []gauge.RowCheck{{RowKey: key}},
		Writes: []gauge.RowWrite{
			{RowKey: key, Value: value},
			{RowKey: gauge.RowKey{Table: gauge.TableSpecs, Part: q.Name, Key: id}, Value: spec},
			{RowKey: gauge.RowKey{Table: gauge.TableOpen, Part: q.Name, Key: id}, Value: gauge.Mark{Pool: row.Pool}.Encode()},
		},
	}, nil
}

func (n *Intake) log(what string, q *gauge.Queue, id string, err error) {
	n.conf.Logs.Info(what, "job", id, "queue", q.Name, "pool", q.Pool, "kind", gauge.KindOf(err), "error", err.Error())
}

// read fetches a job's row, again and again until ctx ends.
func (n *Intake) read(ctx context.Context, q *gauge.Queue, id string) (*gauge.JobRow, int64, error) {
	for pause := firstPause; ; pause = min(2*pause, lastPause) {
		rows, _, err := n.conf.Store.Range(ctx, gauge.TableJobs, q.Name, id, id+"\x00")
		if err == nil && len(rows) == 0 {
			return nil, 0, gauge.Fail(gauge.KindGone, "there is no job %s in this queue", id)
		}
		if err == nil {
			row, err := gauge.DecodeJobRow(rows[0].Value)
			return row, rows[0].Version, err
		}
		if !wait(ctx, pause) {
			return nil, 0, gauge.Fail(gauge.KindOutage, "the table can't be reached").Because(err)
		}
	}
}

// State tells how far a job is: by its owner's word, which costs no call to the
// table, else by the table's.
func (n *Intake) State(ctx context.Context, q *gauge.Queue, id string) (gauge.JobState, error) {
	if state, ok := n.conf.Ask(ctx, q, id); ok {
		return state, nil
	}
	row, _, err := n.read(ctx, q, id)
	if err != nil {
		if !gauge.Is(err, gauge.KindGone) {
			n.log("state not told", q, id, err)
		}
		return "", err
	}
	return row.State, nil
}

// Cancel ends a job. Once it returns nil no task of the job starts any more but
// for those that the owner had ordered before it learnt of it.
func (n *Intake) Cancel(ctx context.Context, q *gauge.Queue, id string) error {
	for pause := firstPause; ; pause = min(2*pause, lastPause) {
		row, version, err := n.read(ctx, q, id)
		if err != nil {
			n.log("job not cancelled", q, id, err)
			return err
		}
		if row.State.Final() {
			n.conf.Logs.Info("job over before its cancel", "job", id, "state", row.State, "version", version)
			if row.State == gauge.JobCancelled {
				// An earlier try may have been carried out without an answer.
				n.conf.Tell(Notice{Pool: row.Pool, Queue: q.Name, ID: id, Cancelled: true, Version: version})
			}
			return nil
		}
		stamp, err := n.drop(ctx, q, id, row, version)
		if err == nil {
			n.conf.Event("job cancelled")
			n.conf.Logs.Info("job cancelled", "job", id, "queue", q.Name, "pool", row.Pool, "version", stamp.Version)
			n.conf.Tell(Notice{Pool: row.Pool, Queue: q.Name, ID: id, Cancelled: true, Version: stamp.Version})
			return nil
		}
		if !wait(ctx, rand.N(pause)) {
			err := gauge.Fail(gauge.KindExpired, "it is not known whether the job was cancelled; ask again").Because(err)
			n.log("job not cancelled", q, id, err)
			return err
		}
	}
}

func (n *Intake) drop(ctx context.Context, q *gauge.Queue, id string, row *gauge.JobRow, version int64) (gauge.Stamp, error) {
	row.State = gauge.JobCancelled
	row.Ended = n.conf.Clock()
	value, err := row.Encode()
	if err != nil {
		return gauge.Stamp{}, err
	}
	key := jobKey(q.Name, id)
	stamp, _, err := n.conf.Store.Commit(ctx, gauge.PartTxn{
		Checks: []gauge.RowCheck{{RowKey: key, Version: version}},
		Writes: []gauge.RowWrite{
			{RowKey: key, Value: value},
			{RowKey: gauge.RowKey{Table: gauge.TableOpen, Part: q.Name, Key: id}, Value: gauge.Mark{Pool: row.Pool, Cancelled: true}.Encode()},
		},
	})
	return stamp, err
}

// Depth tells how many jobs of a queue have not begun.
func (n *Intake) Depth(_ context.Context, q *gauge.Queue) (int, error) {
	depth, ok := n.conf.Depth(q)
	if !ok {
		return 0, gauge.Fail(gauge.KindOutage, "the queue's pool has no owner at the moment")
	}
	return depth, nil
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
