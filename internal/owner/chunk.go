package owner

import (
	"cmp"
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc/iter"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sched"
)

// A large queue is read in pieces, and each is taken in as it comes: a read that fails,
// or takes too long on a slow link, costs the piece and no more.

const (
	// pieceJobs is how many marks a piece spans at most: 40 specs of 2.4 KB are some
	// 130 KB, a tenth of a second at 10 Mbit/s.
	pieceJobs = 40
	// readsAtOnce: a read takes 4 ms, in a slow spell 60 to 90 times as long; more at
	// once would make each late on a slow link.
	readsAtOnce = 3
)

// backlog is what a queue has that this owner doesn't know.
type backlog struct {
	queue  string
	pieces [][]string   // keys, in their order
	left   atomic.Int64 // pieces that are not taken in yet
	failed atomic.Bool  // a read of it has failed: the rest is left for the next try
}

// piece is one of them.
type piece struct {
	of   *backlog
	keys []string
}

// loadQueues reads the jobs of queues that were there before this owner, the smallest
// queues first, until ctx ends. It returns how many jobs it took in, and whether any
// read was answered.
func (o *Owner) loadQueues(ctx context.Context, queues []string) (jobs int64, heard bool) {
	reads := iter.Iterator[*backlog]{MaxGoroutines: readsAtOnce}
	backlogs := make([]*backlog, len(queues))
	reads.ForEachIdx(backlogs, func(i int, b **backlog) { *b = o.backlogOf(ctx, queues[i]) })
	backlogs = slices.DeleteFunc(backlogs, func(b *backlog) bool { return b == nil })
	slices.SortFunc(backlogs, func(a, b *backlog) int { return cmp.Compare(len(a.pieces), len(b.pieces)) })
	var pieces []piece
	for _, b := range backlogs {
		if len(b.pieces) == 0 {
			o.readWhole(b.queue)
		}
		for _, keys := range b.pieces {
			pieces = append(pieces, piece{b, keys})
		}
	}
	var n atomic.Int64
	each := iter.Iterator[piece]{MaxGoroutines: readsAtOnce}
	each.ForEach(pieces, func(p *piece) { n.Add(o.loadPiece(ctx, p)) })
	return n.Load(), len(backlogs) > 0
}

// backlogOf reads the marks of a queue; nil: they can't be read.
func (o *Owner) backlogOf(ctx context.Context, queue string) *backlog {
	marks, _, err := o.conf.Store.Range(ctx, gauge.TableOpen, queue, "", "")
	if err != nil {
		o.conf.Logs.Info("queue not loaded", "pool", o.conf.Pool, "queue", queue, "error", err.Error())
		return nil
	}
	b := &backlog{queue: queue, pieces: o.unknown(marks)}
	b.left.Store(int64(len(b.pieces)))
	return b
}

// loadPiece takes in one piece and returns how many jobs it brought.
func (o *Owner) loadPiece(ctx context.Context, p *piece) int64 {
	if ctx.Err() != nil || p.of.failed.Load() {
		return 0
	}
	n, err := o.adoptKeys(ctx, p.of.queue, p.keys, true)
	if err != nil {
		p.of.failed.Store(true)
		o.conf.Logs.Info("queue not loaded", "pool", o.conf.Pool, "queue", p.of.queue, "pieces", len(p.of.pieces),
			"left", p.of.left.Load(), "error", err.Error())
		return 0
	}
	if p.of.left.Add(-1) == 0 {
		o.readWhole(p.of.queue)
	}
	return int64(n)
}

// unknown takes in the cancels that marks of a queue tell, and returns the keys of this
// pool's jobs that aren't known, in pieces that span few marks: what lies between is of
// other pools, or known, and needn't be read.
func (o *Owner) unknown(marks []gauge.PartRow) [][]string {
	var pieces [][]string
	first := 0 // the mark with which the last piece begins
	o.mu.Lock()
	defer o.mu.Unlock()
	for i, m := range marks {
		mark := gauge.DecodeMark(m.Value)
		switch {
		case mark.Pool != o.conf.Pool:
		case !o.core.Knows(m.Key):
			if len(pieces) == 0 || i-first >= pieceJobs {
				pieces, first = append(pieces, nil), i
			}
			pieces[len(pieces)-1] = append(pieces[len(pieces)-1], m.Key)
		case mark.Cancelled:
			o.core.Cancel(m.Key, 0)
		}
	}
	return pieces
}

// adoptKeys reads jobs by their keys, which are in order, and takes them in.
func (o *Owner) adoptKeys(ctx context.Context, queue string, keys []string, inherited bool) (int, error) {
	from, to := keys[0], keys[len(keys)-1]+"\x00"
	rows, _, err := o.conf.Store.Range(ctx, gauge.TableJobs, queue, from, to)
	if err != nil {
		return 0, err
	}
	specs, _, err := o.conf.Store.Range(ctx, gauge.TableSpecs, queue, from, to)
	if err != nil {
		return 0, err
	}
	return o.adoptAll(o.decode(queue, rows, specs, inherited)), nil
}

// decode makes what sched takes in of the rows of jobs of this pool that are still
// open: they have a spec.
func (o *Owner) decode(queue string, rows, specs []gauge.PartRow, inherited bool) []sched.Accepted {
	bySpec := make(map[string][]byte, len(specs))
	for _, s := range specs {
		bySpec[s.Key] = s.Value
	}
	now := o.conf.Now()
	var jobs []sched.Accepted
	for _, r := range rows {
		body, open := bySpec[r.Key]
		if !open {
			continue
		}
		if a, ok := o.decodeJob(queue, r, body, now); ok {
			a.Inherited = inherited
			jobs = append(jobs, a)
		}
	}
	return jobs
}

func (o *Owner) decodeJob(queue string, r gauge.PartRow, body []byte, now time.Duration) (sched.Accepted, bool) {
	row, err := gauge.DecodeJobRow(r.Value)
	if err != nil {
		o.conf.Logs.Error(err, "job row not read", "job", r.Key, "queue", queue)
		return sched.Accepted{}, false
	}
	if row.Pool != o.conf.Pool {
		return sched.Accepted{}, false
	}
	spec, err := gauge.DecodeJobSpec(body)
	if err != nil {
		o.conf.Logs.Error(err, "job spec not read", "job", r.Key, "queue", queue)
		return sched.Accepted{}, false
	}
	return sched.Accepted{ID: r.Key, Queue: queue, Spec: spec, Row: row, Version: r.Version, Arrived: o.arrival(row, now)}, true
}

// adoptAll takes in jobs that were read, and returns how many were not known.
//
// Workers may have told of runs of theirs before, which was left aside. So jobs that
// were there before this owner wait until all workers are heard anew, from the moment
// on at which they are taken in: a worker that is heard while they are being read would
// count as one that has told all.
func (o *Owner) adoptAll(jobs []sched.Accepted) int {
	now := o.conf.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	jobs = slices.DeleteFunc(jobs, func(a sched.Accepted) bool {
		return o.core.Knows(a.ID) || !a.Inherited && !o.mayAdopt()
	})
	if o.loaded && slices.ContainsFunc(jobs, func(a sched.Accepted) bool { return a.Inherited }) {
		o.core.Rehear()
	}
	for _, a := range jobs {
		o.core.Adopt(a, now)
	}
	return len(jobs)
}
