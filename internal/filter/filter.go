// Package filter keeps the workers of all pools, as one entry follows them in the platform's table,
// and tells for a single pool which of them have changed since a version of the table. So the owners
// of pools needn't each read the rows of the whole site, which all workers rewrite every second or
// two. It is a state machine without input or output.
package filter

import (
	"slices"

	gauge "sapphiregauge"
)

// Config sets up a Filter.
type Config struct {
	// Decode decodes a worker's row. A row that it refuses counts as deleted: an earlier row may
	// have described a worker that isn't valid any more.
	Decode func(gauge.PartitionRow) (*gauge.Worker, error)
}

// Filter is what is known of all workers. It is not safe for concurrent use.
type Filter struct {
	conf    Config
	workers map[string]*entry  // by ID, including those that were deleted lately
	changes map[string][]event // by pool, in the order of versions
	from    int64              // all changes after this version are known
	to      int64              // version up to which rows were applied; 0: none yet
}

// entry is the newest row of a worker, and the worker as of its last change.
type entry struct {
	row     gauge.PartitionRow
	worker  gauge.Worker // without a pool: the worker is gone
	changed int64        // version of the last change of more than the row's sequence
}

// event says that a worker that is or was in a pool has changed.
type event struct {
	version int64
	worker  string
}

// Answer is what is new of a pool's workers.
type Answer struct {
	// TooLarge says that there are more than MaxRows and the asker has to read the table instead.
	TooLarge bool
	// Whole says that Rows are all workers of the pool, and those of the asker's others that are in
	// another pool: changes since its version aren't known.
	Whole   bool
	Version int64 // version up to which the answer is complete
	Rows    []gauge.PartitionRow
}

// MaxRows is the most rows in an answer, 270 bytes each: with more of them it wouldn't fit into a call
// between entries.
const MaxRows = 2000

// New returns a Filter that knows nothing.
func New(c Config) *Filter {
	return &Filter{conf: c, workers: make(map[string]*entry), changes: make(map[string][]event)}
}

// Apply applies rows as of a version: all rows of the table (whole), or those that have changed. It
// reports whether any worker has changed.
func (f *Filter) Apply(rows []gauge.PartitionRow, whole bool, version int64) bool {
	if whole {
		clear(f.workers)
		clear(f.changes)
		f.from = version
	}
	changed := whole
	for _, r := range rows {
		changed = f.apply(r, whole) || changed
	}
	f.to = max(f.to, version)
	f.prune()
	return changed
}

// apply applies one row and reports whether its worker has changed.
func (f *Filter) apply(r gauge.PartitionRow, whole bool) bool {
	var worker gauge.Worker
	if !r.Deleted {
		if w, err := f.conf.Decode(r); err == nil {
			worker = *w
		} else {
			r.Deleted, r.Value = true, nil
		}
	}
	e := f.workers[r.Key]
	if e != nil && isSame(&e.worker, &worker) {
		e.row = r
		return false
	}
	before := ""
	if e != nil {
		before = e.worker.Pool
	}
	f.workers[r.Key] = &entry{row: r, worker: worker, changed: r.Version}
	if whole {
		return true
	}
	f.record(before, r)
	if worker.Pool != before {
		f.record(worker.Pool, r)
	}
	return true
}

// record records that a worker in a pool has changed.
func (f *Filter) record(pool string, r gauge.PartitionRow) {
	if pool != "" {
		f.changes[pool] = append(f.changes[pool], event{version: r.Version, worker: r.Key})
	}
}

// isSame reports whether two rows describe the same worker. How long a draining worker stays at
// least counts down in each row and matters only when it begins to drain.
func isSame(a, b *gauge.Worker) bool {
	return a.ID == b.ID && a.StartedAt == b.StartedAt && a.Pool == b.Pool && a.Addr == b.Addr && a.Zone == b.Zone &&
		slices.Equal(a.Labels, b.Labels) && a.Capacity == b.Capacity && a.Draining == b.Draining
}

// maxEvents is the number of changes of a pool that are kept. An asker that is further behind gets
// all of the pool's workers.
const maxEvents = 4096

// prune drops the oldest changes of pools with many of them, and what was kept of workers that are
// gone for the sake of these changes.
func (f *Filter) prune() {
	for pool, events := range f.changes {
		if len(events) <= maxEvents {
			continue
		}
		dropped := len(events) - maxEvents/2
		f.from = max(f.from, events[dropped-1].version)
		f.changes[pool] = slices.Clone(events[dropped:])
		for id, e := range f.workers {
			if e.worker.Pool == "" && e.changed <= f.from {
				delete(f.workers, id)
			}
		}
	}
}

// IsLoaded reports whether all workers are known.
func (f *Filter) IsLoaded() bool { return f.to > 0 }

// Since returns what has changed of a pool's workers after a version. Known are the IDs of workers
// that the asker has; they count only if the answer is whole.
func (f *Filter) Since(pool string, after int64, known []string) Answer {
	a := Answer{Version: f.to, Whole: after < f.from}
	if a.Whole {
		if a.Rows = f.all(pool, known); len(a.Rows) > MaxRows {
			return Answer{TooLarge: true}
		}
		return a
	}
	events := f.changes[pool]
	first, _ := slices.BinarySearchFunc(events, after+1, func(e event, version int64) int { return int(e.version - version) })
	seen := make(map[string]bool)
	for i, e := range events[first:] {
		if len(a.Rows) >= MaxRows && e.version > events[first+i-1].version {
			a.Version = events[first+i-1].version // the rest is asked for next
			break
		}
		if !seen[e.worker] {
			seen[e.worker] = true
			a.Rows = append(a.Rows, f.workers[e.worker].row)
		}
	}
	return a
}

// all returns the rows of a pool's workers, and those of the named ones in other pools.
func (f *Filter) all(pool string, known []string) []gauge.PartitionRow {
	var rows []gauge.PartitionRow
	for _, e := range f.workers {
		if e.worker.Pool == pool {
			rows = append(rows, e.row)
		}
	}
	for _, id := range known {
		if e := f.workers[id]; e != nil && e.worker.Pool != pool && e.worker.Pool != "" {
			rows = append(rows, e.row)
		}
	}
	return rows
}
