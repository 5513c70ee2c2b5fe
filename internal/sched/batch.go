package sched

import (
	"cmp"
	"slices"
	"time"

	gauge "sapphiregauge"
)

// Change is one job's row as it is to be written.
type Change struct {
	Job     string
	Queue   string
	Row     []byte
	Version int64 // that the table is thought to have
	Final   bool  // nothing runs any more: spec and marker can go
	changes int
}

// Batch is a set of changes for one transaction.
type Batch struct {
	Queue   string // of all changes
	Changes []Change
	More    bool // more wait than go into a transaction, in queues that aren't avoided
}

const (
	// jobEntries is how many entries of a transaction a job's change takes, its check
	// and its write, and endEntries how many more one takes with which spec and marker go.
	jobEntries = 2
	endEntries = 2
	// batchBytes of rows at most go together. A transaction may have 1 MB in all, where
	// rows grow by a third; but one entry's slow link takes 0.3 s for these.
	batchBytes = 256 << 10
)

// Batch returns changes of one queue that the table doesn't have yet, as many as go
// into a transaction with room for so many entries, the urgent ones first. Queues to
// avoid are left out: their part of the table doesn't answer, and would hold up the
// others. Now is the table's clock in milliseconds.
func (p *Pool) Batch(entries int, now int64, avoid func(queue string) bool) (Batch, error) {
	b := Batch{}
	waiting := p.dirty(avoid)
	if len(waiting) == 0 {
		return b, nil
	}
	b.Queue = slices.MinFunc(waiting, byUrgency).queue
	due, left, size := 0, entries, 0
	for _, j := range waiting {
		due += j.entries(j.row.State.Final())
	}
	b.More = due > entries
	for _, j := range firstOf(waiting, b.Queue, max(1, entries/jobEntries)) {
		c, err := j.change(now)
		if err != nil {
			return b, err
		}
		left -= j.entries(c.Final)
		size += len(c.Row)
		if len(b.Changes) > 0 && (left < 0 || size > batchBytes) {
			b.More = true
			break
		}
		b.Changes = append(b.Changes, c)
	}
	return b, nil
}

// entries is how many entries of a transaction the job's change takes.
func (j *job) entries(final bool) int {
	if final {
		return jobEntries + endEntries
	}
	return jobEntries
}

// change is the job's row as it is to be written.
func (j *job) change(now int64) (Change, error) {
	if j.row.State.Final() && j.row.Ended == 0 {
		j.row.Ended = now
	}
	row, err := j.row.Encode()
	if err != nil {
		return Change{}, err
	}
	return Change{
		Job: j.id, Queue: j.queue, Row: row, Version: j.version,
		Final: j.row.State.Final() && len(j.live()) == 0, changes: j.changes,
	}, nil
}

// Urgent tells whether a change waits that is worth a write of its own.
func (p *Pool) Urgent() bool {
	if p.counts.urgent() {
		return true
	}
	for _, w := range p.byID() {
		if w.ends > w.kept && !w.gone || w.waits() {
			return true
		}
	}
	return false
}

// dirty lists the jobs with something to be written, those of queues to avoid aside.
func (p *Pool) dirty(avoid func(queue string) bool) []*job {
	dirty := slices.DeleteFunc(p.counts.unwritten(), func(j *job) bool { return avoid(j.queue) })
	return dirty
}

// byUrgency orders jobs by which is to be written first.
func byUrgency(a, b *job) int {
	if a.urgent != b.urgent {
		if a.urgent {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.arrived, b.arrived)
}

// firstOf returns the first jobs of a queue, in order. Under a backlog thousands
// wait, of which a transaction takes some dozens: most need one look, and no sorting.
func firstOf(jobs []*job, queue string, most int) []*job {
	first := make([]*job, 0, most+1)
	for _, j := range jobs {
		if j.queue != queue || len(first) == most && byUrgency(first[most-1], j) <= 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(first, j, byUrgency)
		if first = slices.Insert(first, at, j); len(first) > most {
			first = first[:most]
		}
	}
	return first
}

// leaves tells whether a job that has ended has nothing left but its spec and
// marker in the table.
func (j *job) leaves() bool {
	return j.row.State.Final() && !j.cleaned && len(j.live()) == 0
}

// Written takes in that a batch is in the table, as of a version.
func (p *Pool) Written(b Batch, version int64, now time.Duration) {
	for _, c := range b.Changes {
		j := p.jobs[c.Job]
		if j == nil {
			continue
		}
		j.version = version
		j.saved = max(j.saved, c.changes)
		if !j.dirty() {
			j.urgent = false
		}
		if c.Final {
			j.cleaned = true
			delete(p.jobs, c.Job)
			p.past[c.Job] = past{queue: j.queue, state: j.row.State, ended: now}
		}
	}
	for _, w := range p.workers {
		w.keep()
	}
}

// Conflicted takes in rows as the table has them, after a batch was refused. A
// row that a caller's cancel has changed ends the job here; one that an earlier
// batch without an answer has changed is simply newer.
func (p *Pool) Conflicted(id string, row *gauge.JobRow, version int64) {
	j := p.jobs[id]
	if j == nil || version <= j.version {
		return
	}
	j.version = version
	if row.State == gauge.JobCancelled && j.open() {
		p.conf.Logs.Info("job cancelled", "job", id, "pool", p.conf.Name, "version", version, "seen", "at a write")
		j.cancel()
		p.haltJob(j)
	}
}
