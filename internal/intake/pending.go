package intake

import (
	"time"

	gauge "sapphiregauge"
)

// pendingJob is a submitted job whose caller has no outcome yet.
type pendingJob struct {
	id        string
	queue     *gauge.Queue
	spec      *gauge.JobSpec
	row       *gauge.JobRow
	txn       gauge.PartitionTxn
	startedAt time.Duration
	began     int64 // when the caller's attempt began, by the table's clock in milliseconds; 0: not known

	refusal  error // the job is stored as refused, and its caller gets this error; nil: it is accepted
	replaces bool  // it replaces a row in state JobRefused
	// cancelled is the row that its transaction stores in place of a tombstone; nil: it wasn't
	// cancelled before.
	cancelled *gauge.JobRow
	// refusedAt is the time of the refusal that its transaction stores, by the table's clock in
	// milliseconds.
	refusedAt int64

	// Guarded by the batcher's mutex.
	inFlight  bool         // it is in the current transaction
	unsettled bool         // a transaction with it got no answer, and may take effect
	abandoned bool         // its caller has stopped waiting
	lastErr   error        // of its last transaction
	result    chan outcome // buffered for one outcome
}

// outcome is the result of a submission.
type outcome struct {
	version   int64  // of the row, if this call stored it
	duplicate bool   // the id exists already
	row       []byte // as stored, if the id exists already
	notSent   bool   // this call has sent nothing, but an earlier one may have
	relayed   bool   // the owner has stored it at another entry and needs no notification
	replaced  bool   // the job was refused before
	refused   bool   // err is a refusal that is stored
	err       error
}

// newPendingJob returns a pending job for a submission that began at the given time of the table's
// clock.
func (n *Intake) newPendingJob(q *gauge.Queue, id string, j *gauge.JobSpec, began int64) (*pendingJob, error) {
	p := &pendingJob{id: id, queue: q, spec: j, began: began, result: make(chan outcome, 1)}
	p.row = &gauge.JobRow{State: gauge.JobPending, Pool: q.Pool, Account: j.Account, Accepted: n.conf.TableClock()}
	if err := n.prepare(p, 0); err != nil {
		return nil, err
	}
	p.startedAt = n.conf.Now()
	return p, nil
}

// prepare builds the transaction of a job for a row of the given version, 0 for none.
func (n *Intake) prepare(p *pendingJob, version int64) error {
	var err error
	switch {
	case p.cancelled != nil:
		p.txn, err = replaceRowTxn(p.queue, p.id, p.cancelled, version)
	case p.refusal != nil:
		p.txn, err = n.refusalTxn(p, version)
	default:
		p.txn, err = insertTxn(p.queue, p.id, p.spec, p.row, version)
	}
	return err
}

// insertTxn returns the transaction that stores a job in place of a row of the given version, 0 for
// none.
func insertTxn(q *gauge.Queue, id string, j *gauge.JobSpec, row *gauge.JobRow, version int64) (gauge.PartitionTxn, error) {
	spec, err := gauge.EncodeJobSpec(j)
	if err != nil {
		return gauge.PartitionTxn{}, err
	}
	if len(spec) > gauge.MaxSpecBytes {
		var fs gauge.Faults
		fs.Add("steps", "take %d bytes with the spec in the table, the bound is %d", len(spec), gauge.MaxSpecBytes)
		return gauge.PartitionTxn{}, fs.Err()
	}
	txn, err := replaceRowTxn(q, id, row, version)
	if err != nil {
		return gauge.PartitionTxn{}, err
	}
	txn.Writes = append(
		txn.Writes,
		gauge.RowWrite{RowKey: gauge.RowKey{Table: gauge.TableSpecs, Partition: q.Name, Key: id}, Value: spec},
		gauge.RowWrite{RowKey: gauge.RowKey{Table: gauge.TableOpen, Partition: q.Name, Key: id}, Value: gauge.OpenJobMark{Pool: row.Pool}.Encode()},
	)
	return txn, nil
}

// replaceRowTxn returns the transaction that stores a row alone in place of one of the given version,
// 0 for none.
func replaceRowTxn(q *gauge.Queue, id string, row *gauge.JobRow, version int64) (gauge.PartitionTxn, error) {
	value, err := row.Encode()
	if err != nil {
		return gauge.PartitionTxn{}, err
	}
	key := jobKey(q.Name, id)
	return gauge.PartitionTxn{
		Checks: []gauge.RowCheck{{RowKey: key, Version: version}},
		Writes: []gauge.RowWrite{{RowKey: key, Value: value}},
	}, nil
}

// storedOutcome returns the outcome of a job whose transaction was executed.
func (p *pendingJob) storedOutcome(version int64) outcome {
	if p.cancelled != nil {
		return outcome{version: version, duplicate: true, row: p.txn.Writes[0].Value}
	}
	if p.refusal != nil {
		return outcome{version: version, err: p.refusal, refused: true}
	}
	return outcome{version: version, replaced: p.replaces}
}

// givenUpOutcome returns the outcome of a job that isn't tried any more.
func (p *pendingJob) givenUpOutcome() outcome {
	if p.unsettled {
		return outcome{err: unsettledError(p.lastErr)}
	}
	return outcome{err: gauge.Errorf(gauge.KindOutage, "the table can't be reached").WithCause(p.lastErr)}
}
