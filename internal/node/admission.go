package node

import gauge "sapphiregauge"

// admit decides on a job that is submitted for a pool that this entry owns. Package intake doesn't
// call it while the owner may not know what is still being stored.
func (n *Node) admit(q *gauge.Queue, id string, spec *gauge.JobSpec) error {
	o, err := n.localOwner(q.Pool)
	if err != nil {
		return nil //nolint:nilerr // the pool has moved to another entry, and only its owner refuses jobs
	}
	return o.Admit(q, id, spec)
}
