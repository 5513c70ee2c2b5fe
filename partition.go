package sapphiregauge

import (
	"context"
	"time"
)

// RowKey identifies a row of a table whose rows are spread over partitions. A transaction on a
// single partition is the cheapest.
type RowKey struct {
	Table     string
	Partition string
	Key       string
}

// PartitionRow is one row. Version is 0 for a row that doesn't exist.
type PartitionRow struct {
	RowKey
	Value   []byte
	Version int64
	Deleted bool // in a feed only: the row was deleted
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

// PartitionTxn is a transaction: all of it takes effect, or none.
type PartitionTxn struct {
	Checks  []RowCheck
	Writes  []RowWrite
	Deletes []RowKey
}

// TablePosition is the state of the table: its newest version and its monotonic clock.
type TablePosition struct {
	Version int64
	Now     time.Duration
}

// PartitionedTable is the platform's partitioned table.
//
// Commit returns the rows named in Checks as they are along with KindConflict. Errors of Commit:
// KindOutage: certainly not done and never will be; KindUnknown: it may be done, or may yet be done
// while its conditions hold. Errors of the reads: KindOutage; of Feed also KindCompacted: changes
// since that version are no longer available, so the caller must read everything again.
type PartitionedTable interface {
	Commit(ctx context.Context, t PartitionTxn) (TablePosition, []PartitionRow, error)
	Range(ctx context.Context, table, partition, from, to string) ([]PartitionRow, TablePosition, error)
	Partitions(ctx context.Context, table string) ([]string, error)
	Feed(ctx context.Context, table string, after int64, wait time.Duration) ([]PartitionRow, TablePosition, error)
}

// TableCodec decodes the rows that the operator and the workers write into the table, and encodes
// the rows that the operator reads.
type TableCodec interface {
	OperatorTable() string
	WorkerTable() string
	// DecodeOperatorRow returns a configuration or a wave, or neither for any other row.
	DecodeOperatorRow(r PartitionRow) (*Site, *MaintenanceWave, error)
	// IsConfiguration reports whether a row of the operator's table is a configuration, also one that
	// can't be decoded.
	IsConfiguration(r PartitionRow) bool
	DecodeWorkerRow(r PartitionRow) (*Worker, error)
	EncodeWaveStatus(wave int64, done bool) (RowWrite, error)
}
