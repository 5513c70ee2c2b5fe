package sapphiregauge

import "context"

// Row is one row of the platform's table. Version is 0 for a row that doesn't exist and grows with
// every write.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"version"`
}

// Check is a condition of a transaction: the row still has this version (0: it doesn't exist).
type Check struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

// Put writes one row in a transaction; without a value it deletes the row.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
}

// Txn is a transaction: every put takes effect, or none does.
type Txn struct {
	Checks []Check `json:"checks,omitempty"`
	Puts   []Put   `json:"puts,omitempty"`
}

// Table is the platform's transactional table service.
//
// Commit returns KindConflict if a check failed (nothing was written), KindOutage if the service
// was certainly not reached, and KindUnknown if the answer was lost: the transaction may have taken
// effect, and the caller must read the rows to find out.
type Table interface {
	Get(ctx context.Context, key string) (Row, error)
	Scan(ctx context.Context, prefix string) ([]Row, error)
	Commit(ctx context.Context, t Txn) error
}

// Objects is the platform's object store. Objects are written once.
type Objects interface {
	Fetch(ctx context.Context, name string) ([]byte, error)
	Store(ctx context.Context, name string, body []byte) error
}
