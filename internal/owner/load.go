package owner

import (
	"context"
	"maps"
	"slices"
	"time"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sched"
)

// load reads the pool's open jobs, once the lease is held: whatever an earlier
// owner has written is in the table by now, and it can write no more. Queues in
// parts of the table that don't answer are read later. False: the lease was lost
// meanwhile.
func (o *Owner) load() bool {
	began := o.conf.Now()
	for {
		queues, err := o.conf.Store.Parts(o.ctx, gauge.TableOpen)
		if err == nil {
			n := o.loadQueues(queues)
			if len(o.missing) == 0 || len(o.missing) < len(queues) {
				o.mu.Lock()
				o.loaded = true
				o.mu.Unlock()
				o.conf.Logs.Info("pool loaded", "pool", o.conf.Pool, "fence", o.conf.Fence, "jobs", n,
					"missing", len(o.missing), "took", o.conf.Now()-began)
				return true
			}
		}
		if o.ctx.Err() != nil {
			return false
		}
		if o.conf.Now() >= o.conf.Lease.Until() {
			o.lose("the jobs could not be read in time")
			return false
		}
		o.conf.Logs.Info("pool not loaded", "pool", o.conf.Pool, "missing", len(o.missing))
		o.rest(nil, writeAgain)
	}
}

// loadQueues reads the jobs of queues that were there before this owner, and
// notes which could not be read.
func (o *Owner) loadQueues(queues []string) int {
	total := 0
	o.missing = make(map[string]bool)
	for _, queue := range queues {
		n, err := o.scan(queue, true)
		total += n
		if err != nil {
			o.missing[queue] = true
			o.conf.Logs.Info("queue not loaded", "pool", o.conf.Pool, "queue", queue, "error", err.Error())
		}
	}
	o.mu.Lock()
	o.core.Partial(len(o.missing) > 0)
	o.mu.Unlock()
	return total
}

// scanLoop looks for jobs and cancels of which the message was lost, and reads
// what load could not.
func (o *Owner) scanLoop() {
	for o.ctx.Err() == nil {
		o.rest(nil, scanEvery)
		if o.ctx.Err() != nil {
			return
		}
		if len(o.missing) > 0 {
			o.mu.Lock()
			o.core.Rehear(o.conf.Now())
			o.mu.Unlock()
			n := o.loadQueues(slices.Collect(maps.Keys(o.missing)))
			o.conf.Logs.Info("missing queues read", "pool", o.conf.Pool, "jobs", n, "missing", len(o.missing))
		}
		o.scanAll()
		o.act(nil)
	}
}

func (o *Owner) scanAll() {
	queues, err := o.queues()
	if err != nil {
		o.conf.Logs.Info("scan failed", "pool", o.conf.Pool, "error", err.Error())
		return
	}
	for _, queue := range queues {
		if o.missing[queue] {
			continue
		}
		n, err := o.scan(queue, false)
		if err != nil {
			o.conf.Logs.Info("scan failed", "pool", o.conf.Pool, "queue", queue, "error", err.Error())
		}
		if n > 0 {
			o.conf.Logs.Info("jobs found by scan", "pool", o.conf.Pool, "queue", queue, "jobs", n)
		}
	}
}

// scan reads the marks of a queue's open jobs and adopts those that are unknown.
func (o *Owner) scan(queue string, inherited bool) (int, error) {
	ctx, cancel := context.WithTimeout(o.ctx, scanWait)
	defer cancel()
	marks, _, err := o.conf.Store.Range(ctx, gauge.TableOpen, queue, "", "")
	if err != nil {
		return 0, err
	}
	return o.adoptMarked(ctx, queue, marks, inherited)
}

// queues lists those with open jobs that may be of this pool. Most queues have none,
// and each look at one is a call that is paid for. Each some time all are looked
// through, as a queue may have been routed here and away again.
func (o *Owner) queues() ([]string, error) {
	open, err := o.conf.Store.Parts(o.ctx, gauge.TableOpen)
	o.scans++
	if err != nil || o.scans%scansOfAll == 0 {
		return open, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.DeleteFunc(open, func(name string) bool {
		q := o.site.QueueByName(name)
		return q == nil || q.Pool != o.conf.Pool
	}), nil
}

func (o *Owner) adoptMarked(ctx context.Context, queue string, marks []gauge.PartRow, inherited bool) (int, error) {
	var unknown []string
	o.mu.Lock()
	for _, m := range marks {
		mark := gauge.DecodeMark(m.Value)
		switch {
		case mark.Pool != o.conf.Pool:
		case !o.core.Knows(m.Key):
			unknown = append(unknown, m.Key)
		case mark.Cancelled:
			o.core.Cancel(m.Key, 0)
		}
	}
	o.mu.Unlock()
	if len(unknown) == 0 {
		return 0, nil
	}
	from, to := unknown[0], unknown[len(unknown)-1]+"\x00"
	rows, _, err := o.conf.Store.Range(ctx, gauge.TableJobs, queue, from, to)
	if err != nil {
		return 0, err
	}
	specs, _, err := o.conf.Store.Range(ctx, gauge.TableSpecs, queue, from, to)
	if err != nil {
		return 0, err
	}
	return o.adoptRows(queue, rows, specs, inherited), nil
}

// adoptRows takes in the jobs of this pool that are still open.
func (o *Owner) adoptRows(queue string, rows, specs []gauge.PartRow, inherited bool) int {
	bySpec := make(map[string][]byte, len(specs))
	for _, s := range specs {
		bySpec[s.Key] = s.Value
	}
	now := o.conf.Now()
	n := 0
	for _, r := range rows {
		body, open := bySpec[r.Key]
		if !open {
			continue
		}
		if o.adoptRow(queue, r, body, inherited, now) {
			n++
		}
	}
	return n
}

func (o *Owner) adoptRow(queue string, r gauge.PartRow, body []byte, inherited bool, now time.Duration) bool {
	row, err := gauge.DecodeJobRow(r.Value)
	if err != nil {
		o.conf.Logs.Error(err, "job row not read", "job", r.Key, "queue", queue)
		return false
	}
	if row.Pool != o.conf.Pool {
		return false
	}
	spec, err := gauge.DecodeJobSpec(body)
	if err != nil {
		o.conf.Logs.Error(err, "job spec not read", "job", r.Key, "queue", queue)
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if !inherited && !o.mayAdopt() {
		return false
	}
	if o.core.Knows(r.Key) {
		return false
	}
	o.core.Adopt(sched.Accepted{
		ID: r.Key, Queue: queue, Spec: spec, Row: row, Version: r.Version, Arrived: o.arrival(row, now), Inherited: inherited,
	}, now)
	return true
}

const (
	// sweepEvery is how often rows of jobs that ended long ago are dropped.
	sweepEvery = time.Minute
	// sweepRows go at most into one transaction.
	sweepRows = 50
)

// sweepLoop drops the rows of jobs that ended so long ago that nobody may ask for
// them any more. Without it the table would fill.
func (o *Owner) sweepLoop() {
	for {
		o.rest(nil, sweepEvery)
		if o.ctx.Err() != nil {
			return
		}
		queues, err := o.conf.Store.Parts(o.ctx, gauge.TableJobs)
		if err != nil {
			o.conf.Logs.Info("sweep failed", "pool", o.conf.Pool, "error", err.Error())
			continue
		}
		for _, queue := range queues {
			if err := o.sweep(queue); err != nil {
				o.conf.Logs.Info("sweep failed", "pool", o.conf.Pool, "queue", queue, "error", err.Error())
			}
		}
	}
}

func (o *Owner) sweep(queue string) error {
	rows, _, err := o.conf.Store.Range(o.ctx, gauge.TableJobs, queue, "", "")
	if err != nil {
		return err
	}
	before := o.conf.Clock() - o.conf.Keep.Milliseconds()
	var txn gauge.PartTxn
	for _, r := range rows {
		row, err := gauge.DecodeJobRow(r.Value)
		if err != nil || row.Pool != o.conf.Pool || row.Ended == 0 || row.Ended > before {
			continue
		}
		txn.Checks = append(txn.Checks, gauge.RowCheck{RowKey: r.RowKey, Version: r.Version})
		txn.Drops = append(txn.Drops, r.RowKey)
		if len(txn.Drops) == sweepRows {
			break
		}
	}
	if len(txn.Drops) == 0 {
		return nil
	}
	_, _, err = o.conf.Store.Commit(o.ctx, txn)
	if err == nil {
		o.conf.Logs.Info("old jobs dropped", "pool", o.conf.Pool, "queue", queue, "jobs", len(txn.Drops))
	}
	return err
}
