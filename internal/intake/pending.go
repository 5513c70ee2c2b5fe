package intake

import (
	"time"

	gauge "sapphiregauge"
)

// pending is one job on its way into the table.
type pending struct {
	id    string
	queue *gauge.Queue
	spec  *gauge.JobSpec
	row   *gauge.JobRow
	txn   gauge.PartTxn
	began time.Duration

	// Guarded by the lane's lock.
	flying  bool         // it is in a transaction now
	unsure  bool         // a transaction with it got no answer, and may be carried out
	left    bool         // its caller was told to ask again
	last    error        // of its last transaction
	settled chan outcome // room for one
}

// outcome is what became of a pending job.
type outcome struct {
	version int64  // of the row, if this call stored it
	known   bool   // the id was taken before
	row     []byte // as the table has it, if the id was taken
	relayed bool   // another entry has stored it, and told the owner
	err     error
}

// pend makes a pending job of what a caller hands in.
func (n *Intake) pend(q *gauge.Queue, id string, j *gauge.JobSpec) (*pending, error) {
	p := &pending{id: id, queue: q, spec: j, settled: make(chan outcome, 1)}
	p.row = &gauge.JobRow{State: gauge.JobPending, Pool: q.Pool, Accepted: n.conf.Clock()}
	txn, err := insertion(q, id, j, p.row)
	if err != nil {
		return nil, err
	}
	p.txn, p.began = txn, n.conf.Now()
	return p, nil
}

func insertion(q *gauge.Queue, id string, j *gauge.JobSpec, row *gauge.JobRow) (gauge.PartTxn, error) {
	spec, err := gauge.EncodeJobSpec(j)
	if err != nil {
		return gauge.PartTxn{}, err
	}
	value, err := row.Encode()
	if err != nil {
		return gauge.PartTxn{}, err
	}
	key := jobKey(q.Name, id)
	return gauge.PartTxn{
		Checks: []gauge.RowCheck{{RowKey: key}},
		Writes: []gauge.RowWrite{
			{RowKey: key, Value: value},
			{RowKey: gauge.RowKey{Table: gauge.TableSpecs, Part: q.Name, Key: id}, Value: spec},
			{RowKey: gauge.RowKey{Table: gauge.TableOpen, Part: q.Name, Key: id}, Value: gauge.Mark{Pool: row.Pool}.Encode()},
		},
	}, nil
}

// givenUp is the outcome of a job that is tried no longer.
func (p *pending) givenUp() outcome {
	if p.unsure {
		return outcome{err: unsettled(p.last)}
	}
	return outcome{err: gauge.Fail(gauge.KindOutage, "the table can't be reached").Because(p.last)}
}
