package sched

import (
	"cmp"
	"slices"
	"time"

	gauge "sapphiregauge"
)

// Change is one job's row as it is to be written.
type Change struct {
	Job      string
	Queue    string
	Row      []byte
	Version  int64 // that the table is expected to have
	Final    bool  // nothing runs any more: spec and open-job mark can be dropped
	revision int   // of the row that was encoded
}

// Batch is a set of changes for one transaction.
type Batch struct {
	Queue   string // of all changes
	Changes []Change
	HasMore bool // more changes wait than fit into the transaction, in queues that aren't avoided
}

// LargestRow returns the size in bytes of the largest row.
func (b Batch) LargestRow() int {
	largest := 0
	for _, c := range b.Changes {
		largest = max(largest, len(c.Row))
	}
	return largest
}

const (
	// jobOperations is how many operations of a transaction a job's change takes: its check and its
	// write. dropOperations is how many more it takes to drop spec and open-job mark.
	jobOperations  = 2
	dropOperations = 2
	// batchBytes bounds the rows of a batch. A transaction may have 1 MB in all, and rows grow by a
	// third when encoded, but over an entry's slow link this much takes 0.3 s.
	batchBytes = 256 << 10
)

// NextBatch returns changes of one queue that the table doesn't have yet, urgent ones first, as
// many as fit into a transaction with the given number of operations. Queues to avoid are left out:
// their partition doesn't answer, and would delay the others. Now is the table's clock in
// milliseconds. It fails if a row can't be encoded.
func (p *Pool) NextBatch(operations int, now int64, avoid func(queue string) bool) (Batch, error) {
	b := Batch{}
	waiting := p.writable(avoid)
	if len(waiting) == 0 {
		return b, nil
	}
	b.Queue = slices.MinFunc(waiting, byUrgency).queue
	due, left, size := 0, operations, 0
	for _, j := range waiting {
		due += j.operationCount(j.row.State.IsFinal())
	}
	b.HasMore = due > operations
	for _, j := range firstOf(waiting, b.Queue, max(1, operations/jobOperations)) {
		c, err := p.change(j, now)
		if err != nil {
			return b, err
		}
		if len(b.Changes) > 0 && j.writeAlone {
			b.HasMore = true
			break
		}
		left -= j.operationCount(c.Final)
		size += len(c.Row)
		if len(b.Changes) > 0 && (left < 0 || size > batchBytes) {
			b.HasMore = true
			break
		}
		b.Changes = append(b.Changes, c)
		if j.writeAlone {
			b.HasMore = len(waiting) > 1
			break
		}
	}
	return b, nil
}

// refusedRowDelay is the pause before a row that the table has refused is written again: it may fit when
// more of the job's tasks are done.
const refusedRowDelay = 2 * time.Second

// BatchRefused records that the table refuses a batch and would refuse it again, at a time of Tick. Its
// rows are then written one by one, and the one that is the cause is held back, so that the changes of
// other jobs don't wait for it.
func (p *Pool) BatchRefused(b Batch) {
	for _, c := range b.Changes {
		j := p.jobs[c.Job]
		if j == nil {
			continue
		}
		j.writeAlone = true
		if len(b.Changes) == 1 {
			j.refusedUntil = p.lastTick + refusedRowDelay
			p.conf.Logs.Info("job row refused", "job", j.id, "queue", j.queue, "pool", p.conf.Name, "bytes", len(c.Row))
		}
	}
}

// operationCount is how many operations of a transaction the job's change takes.
func (j *job) operationCount(final bool) int {
	if final {
		return jobOperations + dropOperations
	}
	return jobOperations
}

// change returns a job's row as it is to be written.
func (p *Pool) change(j *job, now int64) (Change, error) {
	if j.row.State.IsFinal() && j.row.Ended == 0 {
		j.row.Ended = now
	}
	row, omitted, err := j.row.EncodeWithin(p.conf.MaxRowBytes)
	if err != nil {
		return Change{}, err
	}
	if omitted > 0 && !j.shortened {
		j.shortened = true
		p.conf.CountEvent(EventRowShortened)
		p.conf.Logs.Info("job row shortened", "job", j.id, "queue", j.queue, "pool", p.conf.Name, "bytes", len(row), "omitted", omitted,
			"checkpoints", len(j.row.Checkpoints), "suspects", len(j.row.SuspectRuns), "failures", len(j.row.Failures))
	}
	return Change{
		Job: j.id, Queue: j.queue, Row: row, Version: j.version,
		Final: j.row.State.IsFinal() && len(j.liveRuns()) == 0, revision: j.revision,
	}, nil
}

// HasUrgent reports whether something waits that is to be written at once: an urgent change, an end
// report, or a worker for the lease row.
func (p *Pool) HasUrgent() bool {
	if p.index.hasUrgent() {
		return true
	}
	for _, w := range p.workersByID() {
		if w.lastEnd > w.lastStoredEnd && !w.dead || w.waitsForLeaseRow() {
			return true
		}
	}
	return false
}

// writable returns the jobs with changes to write, except those of queues to avoid and those whose rows
// the table has just refused.
func (p *Pool) writable(avoid func(queue string) bool) []*job {
	return slices.DeleteFunc(p.index.unwrittenJobs(), func(j *job) bool { return avoid(j.queue) || p.lastTick < j.refusedUntil })
}

// byUrgency compares jobs by which is to be written first.
func byUrgency(a, b *job) int {
	if a.urgent != b.urgent {
		if a.urgent {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.arrived, b.arrived)
}

// firstOf returns the first jobs of a queue in order of urgency, at most as many as given. In a
// backlog thousands wait, of which a transaction takes some dozens, so most jobs take one
// comparison and aren't sorted.
func firstOf(jobs []*job, queue string, limit int) []*job {
	first := make([]*job, 0, limit+1)
	for _, j := range jobs {
		if j.queue != queue || len(first) == limit && byUrgency(first[limit-1], j) <= 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(first, j, byUrgency)
		if first = slices.Insert(first, at, j); len(first) > limit {
			first = first[:limit]
		}
	}
	return first
}

// isDroppable reports whether a job that has ended has nothing left but its spec and open-job mark
// in the table.
func (j *job) isDroppable() bool {
	return j.row.State.IsFinal() && !j.dropped && len(j.liveRuns()) == 0
}

// BatchWritten records that a batch is in the table, as of a version.
func (p *Pool) BatchWritten(b Batch, version int64, now time.Duration) {
	for _, c := range b.Changes {
		j := p.jobs[c.Job]
		if j == nil {
			continue
		}
		j.version = version
		j.savedRevision = max(j.savedRevision, c.revision)
		j.writeAlone = false
		if !j.isDirty() {
			j.urgent = false
		}
		if c.Final {
			j.dropped = true
			delete(p.jobs, c.Job)
			p.endedJobs[c.Job] = endedJob{queue: j.queue, status: gauge.JobStatus{State: j.row.State, Account: j.row.Account}, endedAt: now}
		}
	}
	for _, w := range p.workers {
		w.updateStored()
	}
}

// RowConflicted handles a row as the table has it, after a batch was refused. A row that a caller's
// cancellation has changed ends the job here. If an earlier batch that got no answer has changed
// the row, only its version is taken over.
func (p *Pool) RowConflicted(id string, row *gauge.JobRow, version int64) {
	j := p.jobs[id]
	if j == nil || version <= j.version {
		return
	}
	j.version = version
	if row.State == gauge.JobCancelled && j.isOpen() {
		p.conf.Logs.Info("job cancelled", "job", id, "pool", p.conf.Name, "version", version, "seen", "at a write")
		j.cancel()
		p.requestJobStop(j)
	}
}
