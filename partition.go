package sapphiregauge

import (
	"context"
	"time"
)

// RowKey identifies a row of a table whose rows are spread over partitions. A transaction on a
// single partition is the cheapest.
type RowKey struct {
	Table string
	Part  string
	Key   string
}

// PartRow is one row. Version is 0 for a row that doesn't exist.
type PartRow struct {
	RowKey
	Value   []byte
	Version int64
	Dropped bool // in a feed only: the row was deleted
}

// RowCheck is a condition: the row has this version (0: it doesn't exist).
type RowCheck struct {
	RowKey
	Version int64
}

// RowWrite writes one row.
type RowWrite struct {
	RowKey
	Value []byte
}

// PartTxn is a transaction: all of it takes effect, or none.
type PartTxn struct {
	Checks []RowCheck
	Writes []RowWrite
	Drops  []RowKey
}

// Stamp is the state of the table: its newest version and its monotonic clock.
type Stamp struct {
	Version int64
	Now     time.Duration
}

// Parted is the platform's partitioned table.
//
// Commit returns the rows named in Checks as they are along with KindConflict. Errors of Commit:
// KindOutage: certainly not done and never will be; KindUnknown: it may be done, or may yet be done
// while its conditions hold. Errors of the reads: KindOutage; of Feed also KindCompacted: changes
// since that version are no longer available, so the caller must read everything again.
type Parted interface {
	Commit(ctx context.Context, t PartTxn) (Stamp, []PartRow, error)
	Range(ctx context.Context, table, part, from, to string) ([]PartRow, Stamp, error)
	Parts(ctx context.Context, table string) ([]string, error)
	Feed(ctx context.Context, table string, after int64, wait time.Duration) ([]PartRow, Stamp, error)
}

// Words decodes the rows that the operator and the workers write into the table, and encodes the
// rows that the operator reads.
type Words interface {
	OperatorTable() string
	WorkerTable() string
	// Operator returns a configuration or a wave, or neither for any other row.
	Operator(r PartRow) (*Site, *UpkeepOrder, error)
	Worker(r PartRow) (*Worker, error)
	WaveStatus(wave int64, done bool) (RowWrite, error)
}
