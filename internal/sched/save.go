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

// Batch is a set of changes, and the ends that the table has once it is written.
type Batch struct {
	Queue   string // of all changes
	Changes []Change
	ends    map[string]int64
}

// Batch returns up to `most` changes of one queue that the table doesn't have yet,
// the urgent ones first. Queues to avoid are left out: their part of the table
// doesn't answer, and would hold up the others. Now is the table's clock in
// milliseconds.
func (p *Pool) Batch(most int, now int64, avoid func(queue string) bool) (Batch, error) {
	b := Batch{}
	waiting := p.dirty()
	dirty := ofOneQueue(waiting, most, avoid)
	all := len(dirty) == len(waiting)
	if len(dirty) > 0 {
		b.Queue = dirty[0].queue
	}
	for _, j := range dirty {
		if j.row.State.Final() && j.row.Ended == 0 {
			j.row.Ended = now
		}
		row, err := j.row.Encode()
		if err != nil {
			return b, err
		}
		b.Changes = append(b.Changes, Change{
			Job: j.id, Queue: j.queue, Row: row, Version: j.version,
			Final: j.row.State.Final() && len(j.live()) == 0, changes: j.changes,
		})
	}
	if all {
		b.ends = make(map[string]int64, len(p.workers))
		for id, w := range p.workers {
			if w.ends > w.kept {
				b.ends[id] = w.ends
			}
		}
	}
	return b, nil
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

// dirty lists the jobs with changes, the urgent first.
func (p *Pool) dirty() []*job {
	dirty := p.counts.unwritten()
	slices.SortFunc(dirty, func(a, b *job) int {
		if a.urgent != b.urgent {
			if a.urgent {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.arrived, b.arrived)
	})
	return dirty
}

// ofOneQueue takes up to `most` jobs of the first queue that isn't avoided.
func ofOneQueue(jobs []*job, most int, avoid func(queue string) bool) []*job {
	var some []*job
	for _, j := range jobs {
		if avoid(j.queue) || len(some) > 0 && j.queue != some[0].queue {
			continue
		}
		if some = append(some, j); len(some) == most {
			break
		}
	}
	return some
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
	for id, n := range b.ends {
		if w := p.workers[id]; w != nil {
			w.kept = max(w.kept, n)
		}
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
