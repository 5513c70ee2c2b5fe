package intake

import "slices"

// nextBatch removes the next batch from the queue. It returns nil if no job is queued.
func (b *batcher) nextBatch() []*pendingJob {
	b.mu.Lock()
	defer b.mu.Unlock()
	var batch, later []*pendingJob
	limit := len(b.queued)
	if b.retries > 0 {
		limit = min(limit, b.retries)
	}
	b.retries = 0
	n := 0
	for ; n < limit && len(batch) < maxBatch; n++ {
		if contradicts(b.queued[n], batch) {
			later = append(later, b.queued[n])
			continue
		}
		batch = append(batch, b.queued[n])
	}
	b.queued = slices.Concat(later, b.queued[n:])
	b.running = len(batch) > 0
	return batch
}

// contradicts reports whether a batch has a job's id and one of the two is to be refused: a transaction
// with both would be taken as executed for both.
func contradicts(p *pendingJob, batch []*pendingJob) bool {
	return slices.ContainsFunc(batch, func(o *pendingJob) bool {
		return o.id == p.id && (o.refusal != nil || p.refusal != nil)
	})
}

// requeue puts jobs back in front of those that were queued meanwhile.
func (b *batcher) requeue(jobs []*pendingJob) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queued = append(jobs, b.queued...)
}

// requeueAfterConflict puts jobs back that shared a transaction with one whose row exists. They are
// sent without others: while refused clients keep coming back, a transaction that takes in new jobs
// might be in conflict each time.
func (b *batcher) requeueAfterConflict(jobs []*pendingJob) {
	b.requeue(jobs)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retries = len(jobs)
}
