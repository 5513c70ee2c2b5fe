package intake

import gauge "sapphiregauge"

// settleExisting settles the jobs whose ids exist already: they were submitted before, or a
// transaction that got no answer took effect. It returns the other jobs.
func (b *batcher) settleExisting(batch []*pendingJob, rows []gauge.PartitionRow) []*pendingJob {
	existing := make(map[string]gauge.PartitionRow, len(rows))
	for _, r := range rows {
		if r.Version > 0 {
			existing[r.Key] = r
		}
	}
	var retry []*pendingJob
	for _, p := range batch {
		o, settled := b.existingOutcome(p, existing[p.id])
		if settled {
			b.settle(p, o)
			continue
		}
		retry = append(retry, p)
	}
	return retry
}

// existingOutcome returns the outcome for a job whose id exists already: to its account the same
// job, to any other account one that it must not learn of. It reports false for a job that has to be
// sent again: there is no row, or a refused one or a tombstone that it may replace.
func (b *batcher) existingOutcome(p *pendingJob, r gauge.PartitionRow) (outcome, bool) {
	if r.Version == 0 {
		return b.resolveMissing(p)
	}
	row, err := gauge.DecodeJobRow(r.Value)
	if err == nil && row.State == gauge.JobRefused {
		return b.intake.resolveRefused(p, row, r.Version)
	}
	if err == nil && row.Tombstone {
		return b.intake.resolveTombstone(p, row, r.Version)
	}
	if err == nil {
		if err := b.intake.checkAccess(p.queue, p.id, p.spec.Account, row.Account); err != nil {
			return outcome{err: err}, true
		}
	}
	return outcome{version: r.Version, duplicate: true, row: r.Value}, true
}

// resolveMissing handles a job without a row, which has to be sent again. The refused row that it
// was to replace may have been deleted.
func (b *batcher) resolveMissing(p *pendingJob) (outcome, bool) {
	if p.txn.Checks[0].Version == 0 {
		return outcome{}, false
	}
	if err := b.intake.prepare(p, 0); err != nil {
		return outcome{err: err}, true
	}
	p.replaces = false
	return outcome{}, false
}
