package owner

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sourcegraph/conc/iter"

	gauge "sapphiregauge"
)

// readJobs reads the pool's open jobs once the lease is held: by then the table has all that
// previous owners have written, and they can't write any more. Queues in partitions of the table
// that don't answer, and what a large queue has beyond initialReadTimeout, are read later, because
// the pool's workers wait for an owner. It reports false if the lease was lost or given up
// meanwhile.
func (o *Owner) readJobs() bool {
	began := o.conf.Now()
	for {
		listedAt := o.conf.Now()
		queues, err := o.conf.Store.Partitions(o.ctx, gauge.TableOpen)
		if err == nil && o.readAtStart(queues, began) {
			o.withLock(func() { o.readTimes.recordScan(listedAt, nil) })
			return true
		}
		if o.ctx.Err() != nil {
			return false
		}
		if o.conf.Now() >= o.conf.Lease.Until() {
			o.loseLease("the jobs could not be read in time")
			return false
		}
		if o.conf.Now()-began >= maxUnreadableTime {
			o.giveUpUnreadable()
			return false
		}
		o.conf.Logs.Info("pool not loaded", "pool", o.conf.Pool, "missing", len(o.unreadQueues()))
		o.pause(nil, writeRetryDelay)
	}
}

// readAtStart reads as many jobs as it can within initialReadTimeout. It reports false if no read
// was answered.
func (o *Owner) readAtStart(queues []string, began time.Duration) bool {
	o.resetUnread(queues)
	ctx, cancel := context.WithTimeout(o.ctx, initialReadTimeout)
	defer cancel()
	n, answered := o.readQueues(ctx, queues)
	if len(queues) > 0 && !answered || o.ctx.Err() != nil {
		return false
	}
	o.withLock(func() { o.loaded = true })
	o.conf.Logs.Info("pool loaded", "pool", o.conf.Pool, "fence", o.conf.Fence, "jobs", n,
		"missing", len(o.unreadQueues()), "took", o.conf.Now()-began)
	return true
}

const (
	// initialReadTimeout bounds the first read of a pool's jobs: no heartbeats are sent before it
	// is over, and the workers' leases last only 4.5 s beyond the last heartbeat. What a host with
	// a slow link can't read in this time is read later, while the pool is running.
	initialReadTimeout = time.Second
	// maxUnreadableTime is how long nothing can be read before the pool is left to another entry.
	// The lease is renewed meanwhile; without this bound it would be renewed for ever.
	maxUnreadableTime = 2 * time.Second
)

// giveUpUnreadable gives up a pool whose jobs can't be read from this entry.
func (o *Owner) giveUpUnreadable() {
	if !o.Stop("the jobs can't be read here") {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(o.ctx), tableProbeTimeout)
	defer cancel()
	o.GiveUp(ctx)
}

// resetUnread records which queues have jobs; none of them has been read yet.
func (o *Owner) resetUnread(queues []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.unread = make(map[string]bool, len(queues))
	for _, queue := range queues {
		o.unread[queue] = true
	}
	o.pool.SetJobsMissing(len(queues) > 0)
}

// markRead records that all open jobs of a queue have been read.
func (o *Owner) markRead(queue string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.unread, queue)
	o.pool.SetJobsMissing(len(o.unread) > 0)
}

// unreadQueues returns the names of the queues that haven't been read completely, in order.
func (o *Owner) unreadQueues() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Sorted(maps.Keys(o.unread))
}

// scanLoop reads the queues that readJobs couldn't, without a pause for as long as jobs arrive, and
// searches the table for jobs and cancellations whose notification was lost.
func (o *Owner) scanLoop() {
	progress := true
	for o.ctx.Err() == nil {
		unread := o.unreadQueues()
		if len(unread) == 0 || !progress {
			o.pause(nil, scanInterval)
			if o.ctx.Err() != nil {
				return
			}
		}
		progress = false
		if len(unread) > 0 {
			n, _ := o.readQueues(o.ctx, unread)
			progress = n > 0
			o.conf.Logs.Info("missing queues read", "pool", o.conf.Pool, "jobs", n, "missing", len(o.unreadQueues()))
		}
		if !progress || o.conf.Now()-o.lastScan >= scanInterval {
			o.scanQueues()
		}
		o.update(nil)
	}
}

// scanQueues searches the queues that have been read completely for unknown jobs.
func (o *Owner) scanQueues() {
	o.lastScan = o.conf.Now()
	queues, err := o.queuesToScan()
	if err != nil {
		o.conf.Logs.Info("scan failed", "pool", o.conf.Pool, "error", err.Error())
		return
	}
	missing := o.unreadQueues()
	queues = slices.DeleteFunc(queues, func(q string) bool { return slices.Contains(missing, q) })
	scans := iter.Mapper[string, error]{MaxGoroutines: maxConcurrentReads}
	var failed []string
	for i, err := range scans.Map(queues, func(q *string) error { return o.scanQueue(*q) }) {
		if err != nil {
			failed = append(failed, queues[i])
		}
	}
	o.withLock(func() { o.readTimes.recordScan(o.lastScan, failed) })
}

// scanQueue scans one queue and logs the result.
func (o *Owner) scanQueue(queue string) error {
	n, err := o.adoptFromScan(queue)
	if err != nil {
		o.conf.Logs.Info("scan failed", "pool", o.conf.Pool, "queue", queue, "error", err.Error())
	}
	if n > 0 {
		o.conf.Logs.Info("jobs found by scan", "pool", o.conf.Pool, "queue", queue, "jobs", n)
	}
	return err
}

// adoptFromScan reads the marks of a queue's open jobs and adopts the jobs that are unknown.
func (o *Owner) adoptFromScan(queue string) (int, error) {
	marks, _, err := o.conf.Store.Range(o.ctx, gauge.TableOpen, queue, "", "")
	if err != nil {
		return 0, err
	}
	total := 0
	for _, keys := range o.unknownJobs(marks) {
		n, err := o.adoptKeys(o.ctx, queue, keys, false)
		total += n
		if err != nil {
			return total, err
		}
	}
	return total, nil
}

// queuesToScan returns the names of the queues to scan. Most queues have no open jobs, and each
// read of a queue is a billed call, so usually only this pool's queues with open jobs are scanned.
// One in fullScanEvery scans covers all queues with open jobs, because a queue may have been routed
// to this pool and away again.
func (o *Owner) queuesToScan() ([]string, error) {
	open, err := o.conf.Store.Partitions(o.ctx, gauge.TableOpen)
	o.scanCount++
	if err != nil || o.scanCount%fullScanEvery == 0 {
		return open, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.DeleteFunc(open, func(name string) bool {
		q := o.site.QueueByName(name)
		return q == nil || q.Pool != o.conf.Pool
	}), nil
}

const (
	// sweepInterval is how often the rows of jobs that ended long ago are deleted.
	sweepInterval = time.Minute
	// maxSweepRows is the maximum number of rows deleted in one transaction.
	maxSweepRows = 50
)

// sweepLoop deletes the rows of jobs that ended longer ago than their retention, so that the table
// doesn't fill up.
func (o *Owner) sweepLoop() {
	for {
		o.pause(nil, sweepInterval)
		if o.ctx.Err() != nil {
			return
		}
		queues, err := o.conf.Store.Partitions(o.ctx, gauge.TableJobs)
		if err != nil {
			o.conf.Logs.Info("sweep failed", "pool", o.conf.Pool, "error", err.Error())
			continue
		}
		for _, queue := range queues {
			if err := o.sweepQueue(queue); err != nil {
				o.conf.Logs.Info("sweep failed", "pool", o.conf.Pool, "queue", queue, "error", err.Error())
			}
		}
	}
}

func (o *Owner) sweepQueue(queue string) error {
	rows, _, err := o.conf.Store.Range(o.ctx, gauge.TableJobs, queue, "", "")
	if err != nil {
		return err
	}
	endedBefore := o.conf.TableClock() - o.conf.JobRetention.Milliseconds()
	var txn gauge.PartitionTxn
	for _, r := range rows {
		row, err := gauge.DecodeJobRow(r.Value)
		if err != nil || row.Pool != o.conf.Pool || row.Ended == 0 || row.Ended > endedBefore {
			continue
		}
		txn.Checks = append(txn.Checks, gauge.RowCheck{RowKey: r.RowKey, Version: r.Version})
		txn.Deletes = append(txn.Deletes, r.RowKey)
		if len(txn.Deletes) == maxSweepRows {
			break
		}
	}
	if len(txn.Deletes) == 0 {
		return nil
	}
	_, _, err = o.conf.Store.Commit(o.ctx, txn)
	if err == nil {
		o.conf.Logs.Info("expired job rows deleted", "pool", o.conf.Pool, "queue", queue, "jobs", len(txn.Deletes))
	}
	return err
}
