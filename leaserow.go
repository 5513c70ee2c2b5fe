package sapphiregauge

import (
	"slices"

	"github.com/vmihailenco/msgpack/v5"
)

// LeaseRow is the row of a pool's lease. Its owner rewrites it with every transaction, which renews
// the lease; another entry may take the lease when the row hasn't changed for the duration of the
// lease.
//
// Every entry reads it several times a second, so the fields that only the next holder needs are in
// a row of their own, see HandoverRow. They are in this row while the lease is handed from a holder
// to its successor, and in rows of older versions of this software.
type LeaseRow struct {
	Holder string `msgpack:"h"` // name of the entry and its start; empty: the lease was given up
	Addr   string `msgpack:"a"` // ip:port for calls from other entries
	Term   int    `msgpack:"t"` // number of previous owners
	// Workers are the workers that may have orders of this owner or, if they haven't reported
	// since, of an earlier one.
	Workers []string `msgpack:"w,omitempty"`
	// RemainingLeases is how much longer at most, in milliseconds, anything may run on workers that
	// don't answer. It is set when the lease is handed over, and only for workers for which it is
	// known. The time between writing and reading the row makes the wait longer than necessary.
	RemainingLeases map[string]int64 `msgpack:"l,omitempty"`
	// DrainedFor is for how much longer, in milliseconds, workers get no starts because they were
	// reported as drained: their machines may be taken away meanwhile. It is set when
	// RemainingLeases is.
	DrainedFor map[string]int64 `msgpack:"y,omitempty"`
	// EarlierLeaseUntil is until when, by the table's clock in milliseconds, the lease of an earlier
	// holder may last that may be alive: the lease was claimed because it didn't answer. 0: there is
	// none.
	EarlierLeaseUntil int64 `msgpack:"x,omitempty"`
	// UnrecordedOwners is how many recent holders may not have recorded all crashes.
	UnrecordedOwners int `msgpack:"z,omitempty"`
	// Depths holds, by queue, the number of jobs without a started task; a queue that isn't listed
	// has none.
	Depths map[string]int `msgpack:"d"`
	// UnreadQueues are the queues that the owner has not read yet: their depths are unknown.
	UnreadQueues []string `msgpack:"u,omitempty"`
	// Counted is when Depths was counted, by the table's clock in milliseconds; 0: at the renewal.
	Counted int64 `msgpack:"k,omitempty"`
	// RenewedAt is when this row was sent, by the table's clock in milliseconds, up to 0.1 s early.
	RenewedAt int64 `msgpack:"n"`
	// OwnOrders holds, for the fleet lease only, the recently ordered machines and when each was
	// ordered, by the table's clock in milliseconds.
	OwnOrders map[string]int64 `msgpack:"o,omitempty"`
	// PreviousOrders is the same, for machines that earlier holders ordered.
	PreviousOrders map[string]int64 `msgpack:"e,omitempty"`
	// Retention is, for the fleet lease only, the learnt retention of surplus machines in
	// milliseconds.
	Retention int64 `msgpack:"p,omitempty"`
	// OrdersAnnounced says that OwnOrders also lists the machines that may be ordered before the
	// next write, with the latest time at which that may happen.
	OrdersAnnounced bool `msgpack:"b,omitempty"`
}

// Depth returns how many jobs of a queue had no started task when the row's depths were counted,
// and false if that is unknown.
func (r *LeaseRow) Depth(queue string) (int, bool) {
	if slices.Contains(r.UnreadQueues, queue) {
		return 0, false
	}
	return r.Depths[queue], true
}

// CountedAt returns when the row's depths were counted, by the table's clock in milliseconds.
func (r *LeaseRow) CountedAt() int64 {
	if r.Counted == 0 {
		return r.RenewedAt // an older version of this software, which counts with each renewal
	}
	return r.Counted
}

// InheritDepths copies the depths of the previous row and the time of their count, so that an owner
// that has not counted yet reports their true age.
func (r *LeaseRow) InheritDepths(before *LeaseRow) {
	r.Depths, r.UnreadQueues, r.Counted = before.Depths, before.UnreadQueues, before.CountedAt()
	if r.Counted == 0 {
		r.Counted = neverCounted
	}
}

// neverCounted is the time of the depths of a pool that has had no owner: before any other time.
const neverCounted = -1

// Encode marshals the row for the table.
func (r *LeaseRow) Encode() ([]byte, error) {
	b, err := msgpack.Marshal(r)
	if err != nil {
		return nil, Errorf(KindInternal, "lease row").WithCause(err)
	}
	return b, nil
}

// DecodeLeaseRow decodes a row written by Encode.
func DecodeLeaseRow(b []byte) (*LeaseRow, error) {
	r := new(LeaseRow)
	if err := msgpack.Unmarshal(b, r); err != nil {
		return nil, Errorf(KindInvalid, "lease row").WithCause(err)
	}
	return r, nil
}

// Tables of this software. Rows of jobs are in the partition of their queue, so that an ID is
// unique however the queue is routed; a lease's row is in the partition of its pool.
const (
	TableJobs      = "jobs"   // ID -> JobRow, kept for some time after the end of the job
	TableSpecs     = "specs"  // ID -> JobSpec, until the end of the job
	TableOpen      = "open"   // ID -> OpenJobMark: jobs with work left to do
	TableLeases    = "leases" // owner -> LeaseRow, in the partition of a pool
	TableHandovers = "grants" // owner -> HandoverRow, in the partition of a pool
	// TableEntries has one partition, so that all entries are read with a call or two: with a
	// partition each, some hundred entries starting at once would request each other's rows some
	// ten thousand times, and the table refuses what exceeds its rate limit, including the retries.
	// It isn't the unnamed one: entries that start together would hold up the claim of the fleet
	// lease, whose row is there.
	TableEntries     = "entries" // name of an entry -> EntryRow
	PartitionEntries = "entries"
	// TableHolders has one partition, too, so that all holders are read with one call.
	TableHolders     = "holders" // HolderKey of a lease -> HolderRow
	PartitionHolders = "holders"
	KeyOwner         = "owner"
)

// OpenJobMark is the value of an open job's row in TableOpen.
type OpenJobMark struct {
	Pool      string
	Cancelled bool
}

const (
	markOpen      = "o"
	markCancelled = "c"
)

// Encode marshals the mark for the table.
func (m OpenJobMark) Encode() []byte {
	if m.Cancelled {
		return []byte(markCancelled + m.Pool)
	}
	return []byte(markOpen + m.Pool)
}

// DecodeOpenJobMark decodes a mark written by Encode; an empty value has no pool.
func DecodeOpenJobMark(b []byte) OpenJobMark {
	if len(b) == 0 {
		return OpenJobMark{}
	}
	return OpenJobMark{Pool: string(b[1:]), Cancelled: string(b[:1]) == markCancelled}
}
