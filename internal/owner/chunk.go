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

// A large queue is read in chunks, and each chunk is adopted as soon as it arrives, so that a read
// that fails or takes too long on a slow link loses only that chunk. What is read first are the
// open-job marks: one small row for each open job, in gauge.TableOpen.

const (
	// maxChunkMarks is the maximum number of marks that a chunk spans: 40 specs of 2.4 KB are about
	// 130 KB, a tenth of a second at 10 Mbit/s.
	maxChunkMarks = 40
	// maxConcurrentReads bounds the concurrent reads. A read takes 4 ms, or 60 to 90 times as long
	// while the table is slow. On a slow link, more concurrent reads would make each of them late.
	maxConcurrentReads = 3
)

// queueRead tracks the open jobs of one queue that this owner hasn't read yet.
type queueRead struct {
	queue        string
	chunks       [][]string   // job keys in ascending order
	unreadChunks atomic.Int64 // chunks that haven't been adopted yet
	failed       atomic.Bool  // a read has failed: the remaining chunks are left for the next attempt
}

// chunk is one chunk of a queue's unread jobs.
type chunk struct {
	read *queueRead
	keys []string
}

// readQueues reads the jobs that the queues had before this owner, starting with the smallest
// queues, until ctx ends. It returns how many jobs it adopted, and whether any read was answered.
func (o *Owner) readQueues(ctx context.Context, queues []string) (jobs int64, answered bool) {
	markReads := iter.Iterator[*queueRead]{MaxGoroutines: maxConcurrentReads}
	reads := make([]*queueRead, len(queues))
	markReads.ForEachIdx(reads, func(i int, q **queueRead) { *q = o.newQueueRead(ctx, queues[i]) })
	reads = slices.DeleteFunc(reads, func(q *queueRead) bool { return q == nil })
	slices.SortFunc(reads, func(a, b *queueRead) int { return cmp.Compare(len(a.chunks), len(b.chunks)) })
	var chunks []chunk
	for _, q := range reads {
		if len(q.chunks) == 0 {
			o.markRead(q.queue)
		}
		for _, keys := range q.chunks {
			chunks = append(chunks, chunk{q, keys})
		}
	}
	var n atomic.Int64
	chunkReads := iter.Iterator[chunk]{MaxGoroutines: maxConcurrentReads}
	chunkReads.ForEach(chunks, func(c *chunk) { n.Add(o.readChunk(ctx, c)) })
	return n.Load(), len(reads) > 0
}

// newQueueRead reads the marks of a queue's open jobs. It returns nil if they can't be read.
func (o *Owner) newQueueRead(ctx context.Context, queue string) *queueRead {
	marks, _, err := o.conf.Store.Range(ctx, gauge.TableOpen, queue, "", "")
	if err != nil {
		o.conf.Logs.Info("queue not loaded", "pool", o.conf.Pool, "queue", queue, "error", err.Error())
		return nil
	}
	q := &queueRead{queue: queue, chunks: o.unknownJobs(marks)}
	q.unreadChunks.Store(int64(len(q.chunks)))
	return q
}

// readChunk reads and adopts one chunk and returns how many new jobs it had.
func (o *Owner) readChunk(ctx context.Context, c *chunk) int64 {
	if ctx.Err() != nil || c.read.failed.Load() {
		return 0
	}
	n, err := o.adoptKeys(ctx, c.read.queue, c.keys, true)
	if err != nil {
		c.read.failed.Store(true)
		o.conf.Logs.Info("queue not loaded", "pool", o.conf.Pool, "queue", c.read.queue, "pieces", len(c.read.chunks),
			"left", c.read.unreadChunks.Load(), "error", err.Error())
		return 0
	}
	if c.read.unreadChunks.Add(-1) == 0 {
		o.markRead(c.read.queue)
	}
	return int64(n)
}

// unknownJobs applies the cancellations in a queue's marks, and returns the keys of this pool's
// jobs that aren't known yet. Each chunk of keys spans few marks, so that little is read of the
// jobs in between, which belong to other pools or are known already.
func (o *Owner) unknownJobs(marks []gauge.PartitionRow) [][]string {
	var chunks [][]string
	chunkStart := 0 // index of the first mark of the last chunk
	o.mu.Lock()
	defer o.mu.Unlock()
	for i, m := range marks {
		mark := gauge.DecodeOpenJobMark(m.Value)
		switch {
		case mark.Pool != o.conf.Pool:
		case !o.pool.Knows(m.Key):
			if len(chunks) == 0 || i-chunkStart >= maxChunkMarks {
				chunks, chunkStart = append(chunks, nil), i
			}
			chunks[len(chunks)-1] = append(chunks[len(chunks)-1], m.Key)
		case mark.Cancelled:
			o.pool.Cancel(m.Key, 0)
		}
	}
	return chunks
}

// adoptKeys reads the jobs with the given keys, which are in ascending order, and adopts them.
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
	return o.adoptJobs(o.decodeJobs(queue, rows, specs, inherited)), nil
}

// decodeJobs converts rows to jobs, as sched accepts them, for those that belong to this pool and
// are still open, which means that they have a spec.
func (o *Owner) decodeJobs(queue string, rows, specs []gauge.PartitionRow, inherited bool) []sched.AcceptedJob {
	specsByKey := make(map[string][]byte, len(specs))
	for _, s := range specs {
		specsByKey[s.Key] = s.Value
	}
	now := o.conf.Now()
	var jobs []sched.AcceptedJob
	for _, r := range rows {
		body, open := specsByKey[r.Key]
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

func (o *Owner) decodeJob(queue string, r gauge.PartitionRow, body []byte, now time.Duration) (sched.AcceptedJob, bool) {
	row, err := gauge.DecodeJobRow(r.Value)
	if err != nil {
		o.conf.Logs.Error(err, "job row not decoded", "job", r.Key, "queue", queue)
		return sched.AcceptedJob{}, false
	}
	if row.Pool != o.conf.Pool || !row.IsJob() {
		return sched.AcceptedJob{}, false
	}
	spec, err := gauge.DecodeJobSpec(body)
	if err != nil {
		o.conf.Logs.Error(err, "job spec not decoded", "job", r.Key, "queue", queue)
		return sched.AcceptedJob{}, false
	}
	return sched.AcceptedJob{ID: r.Key, Queue: queue, Spec: spec, Row: row, Version: r.Version, Arrived: o.arrivalTime(row, now)}, true
}

// adoptJobs adopts jobs that were read from the table, and returns how many of them were new.
//
// Workers may have reported runs of these jobs earlier, when the reports were ignored because the
// jobs weren't known. So inherited jobs wait until every worker has reported again. That wait
// begins when they are adopted: a worker that reports while they are being read would otherwise
// count as one that has reported everything.
func (o *Owner) adoptJobs(jobs []sched.AcceptedJob) int {
	now := o.conf.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	jobs = slices.DeleteFunc(jobs, func(a sched.AcceptedJob) bool {
		return o.pool.Knows(a.ID) || !a.Inherited && !o.isServing()
	})
	if o.loaded && slices.ContainsFunc(jobs, func(a sched.AcceptedJob) bool { return a.Inherited }) {
		o.pool.RequireFreshReports()
	}
	for _, a := range jobs {
		o.pool.Adopt(a, now)
	}
	return len(jobs)
}
