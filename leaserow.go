package sapphiregauge

import (
	"slices"

	"github.com/vmihailenco/msgpack/v5"
)

// LeaseRow is the row of a pool's lease. Its owner rewrites it with every
// transaction, which renews the lease; another entry may take it when it hasn't
// changed for the lease's term.
//
// Every entry reads it several times a second, so that what only the next holder needs
// is kept in a row of its own, see GrantRow. It is in this one while it goes from a
// holder to its successor, and in rows of older programs.
type LeaseRow struct {
	Holder  string   `msgpack:"h"`           // name of the entry and its start; empty: given up
	Addr    string   `msgpack:"a"`           // for calls from other entries
	Term    int      `msgpack:"t"`           // owners before this one
	Workers []string `msgpack:"w,omitempty"` // that may have orders of this owner or, unheard, of an earlier one
	// Left is how much longer at the most, in milliseconds, anything may run on workers that
	// don't answer. It is told with a lease that is given away, of those alone for which it
	// is known. What comes between the telling and the reading makes the wait longer.
	Left map[string]int64 `msgpack:"l,omitempty"`
	// Emptied is for how much longer, in milliseconds, workers get no starts, as they were said to
	// be empty: their machines may be taken away meanwhile. It is told with Left.
	Emptied map[string]int64 `msgpack:"y,omitempty"`
	// Unnoted is how many holders lately may not have written all crashes.
	Unnoted int              `msgpack:"z,omitempty"`
	Depths  map[string]int   `msgpack:"d"`           // by queue: jobs without a task started; a queue that isn't named has none
	Unread  []string         `msgpack:"u,omitempty"` // queues that the owner has not read yet: nobody knows their depths
	Counted int64            `msgpack:"k,omitempty"` // when Depths was made, the table's clock in milliseconds; 0: with the renewal
	Renewed int64            `msgpack:"n"`           // when this was sent, the table's clock in milliseconds, up to 0.1 s early
	Ordered map[string]int64 `msgpack:"o,omitempty"` // the fleet's: machines that were ordered lately, and when by the table's clock in milliseconds
	Earlier map[string]int64 `msgpack:"e,omitempty"` // the same, of machines that holders before this one ordered
	// Kept is the fleet's: how long surplus machines are kept, as learnt, in milliseconds.
	Kept int64 `msgpack:"p,omitempty"`
	// Announced tells that Ordered also has the machines that may be ordered before the
	// next write, with the latest time at which they may be.
	Announced bool `msgpack:"b,omitempty"`
}

// Depth is how many jobs of a queue had no task started when the row's counts were
// made; false: that isn't known.
func (r *LeaseRow) Depth(queue string) (int, bool) {
	if slices.Contains(r.Unread, queue) {
		return 0, false
	}
	return r.Depths[queue], true
}

// CountedAt is when the row's counts were made, the table's clock in milliseconds.
func (r *LeaseRow) CountedAt() int64 {
	if r.Counted == 0 {
		return r.Renewed // by an older program, which counts with each renewal
	}
	return r.Counted
}

// CountsOf takes over the counts of an earlier row as they are: an owner that has none
// of its own yet tells them on, no younger than they are.
func (r *LeaseRow) CountsOf(before *LeaseRow) {
	r.Depths, r.Unread, r.Counted = before.Depths, before.Unread, before.CountedAt()
	if r.Counted == 0 {
		r.Counted = neverCounted
	}
}

// neverCounted is the time of the counts of a pool that has had no owner: before any.
const neverCounted = -1

// Encode packs the row.
func (r *LeaseRow) Encode() ([]byte, error) {
	b, err := msgpack.Marshal(r)
	if err != nil {
		return nil, Fail(KindInternal, "lease row").Because(err)
	}
	return b, nil
}

// DecodeLeaseRow reads what Encode wrote.
func DecodeLeaseRow(b []byte) (*LeaseRow, error) {
	r := new(LeaseRow)
	if err := msgpack.Unmarshal(b, r); err != nil {
		return nil, Fail(KindInvalid, "lease row").Because(err)
	}
	return r, nil
}

// The product's own tables. Rows of jobs are in the part of their queue, so
// that an id is taken once however the queue is routed; a lease's row is in the
// part of its pool.
const (
	TableJobs   = "jobs"   // id -> JobRow, kept for some time after the end
	TableSpecs  = "specs"  // id -> JobSpec, until the end
	TableOpen   = "open"   // id -> mark: jobs with something left to do
	TableLeases = "leases" // owner -> LeaseRow, in the part of a pool
	TableGrants = "grants" // owner -> GrantRow, in the part of a pool
	// TableEntries has one part, so that all entries are read with a call or two: with a
	// part each, some hundred entries that start at once would ask for each other some ten
	// thousand times, and the table turns away what is too much, their next tries too.
	TableEntries = "entries" // name of an entry -> EntryRow
	KeyOwner     = "owner"
)

// Mark is the value of an open job's row in TableOpen.
type Mark struct {
	Pool      string
	Cancelled bool
}

const (
	markOpen      = "o"
	markCancelled = "c"
)

// Encode packs the mark.
func (m Mark) Encode() []byte {
	if m.Cancelled {
		return []byte(markCancelled + m.Pool)
	}
	return []byte(markOpen + m.Pool)
}

// DecodeMark reads what Encode wrote; an empty value is of no pool.
func DecodeMark(b []byte) Mark {
	if len(b) == 0 {
		return Mark{}
	}
	return Mark{Pool: string(b[1:]), Cancelled: string(b[:1]) == markCancelled}
}
