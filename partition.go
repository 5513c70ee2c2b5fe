package sapphiregauge

import (
	"context"
	"time"
)

// RowKey names a row of a table whose rows are spread over parts. A transaction
// on one part is the cheapest.
type RowKey struct {
	Table string
	Part  string
	Key   string
}

// PartRow is one row. Version is 0 for a row that is not there.
type PartRow struct {
	RowKey
	Value   []byte
	Version int64
	Dropped bool // told by a feed: the row is gone
}

// RowCheck is a condition: the row has this version (0: it is absent).
type RowCheck struct {
	RowKey
	Version int64
}

// RowWrite writes one row.
type RowWrite struct {
	RowKey
	Value []byte
}

// PartTxn is all or nothing.
type PartTxn struct {
	Checks []RowCheck
	Writes []RowWrite
	Drops  []RowKey
}

// Stamp is where the table stands: its newest version and its steady clock.
type Stamp struct {
	Version int64
	Now     time.Duration
}

// Parted is the platform's table.
//
// Commit returns the rows named in Checks as they are along with KindConflict.
// Errors of Commit: KindOutage: surely not done and never will be; KindUnknown:
// it may be done, or may yet be done while its conditions hold. Errors of the
// reads: KindOutage; of Feed also KindCompacted: changes since that version are
// no longer known, read all.
type Parted interface {
	Commit(ctx context.Context, t PartTxn) (Stamp, []PartRow, error)
	Range(ctx context.Context, table, part, from, to string) ([]PartRow, Stamp, error)
	Parts(ctx context.Context, table string) ([]string, error)
	Feed(ctx context.Context, table string, after int64, wait time.Duration) ([]PartRow, Stamp, error)
}

// Words reads what the operator and the workers write into the table, and
// writes what the operator reads there.
type Words interface {
	OperatorTable() string
	WorkerTable() string
	// Operator returns a configuration or a wave, or neither for another row.
	Operator(r PartRow) (*Site, *UpkeepOrder, error)
	Worker(r PartRow) (*Worker, error)
	WaveStatus(wave int64, done bool) (RowWrite, error)
}
