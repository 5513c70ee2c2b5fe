package node

import (
	gauge "sapphiregauge"
	"sapphiregauge/internal/intake"
)

// admit decides on a job that is submitted for a pool that this entry owns. An owner that doesn't
// know for certain what may still be stored admits all jobs.
func (n *Node) admit(q *gauge.Queue, id string, spec *gauge.JobSpec) error {
	if n.ownership(q) != intake.OwnedForLong {
		return nil
	}
	o, err := n.localOwner(q.Pool)
	if err != nil {
		return nil //nolint:nilerr // the pool has moved to another entry, and only its owner refuses jobs
	}
	return o.Admit(q, id, spec)
}
