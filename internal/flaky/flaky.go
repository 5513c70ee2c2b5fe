// Package flaky injects faults between a part and the platform's table, for
// tests: the n-th call fails in a chosen way.
package flaky

import (
	"context"
	"sync"
	"time"

	gauge "sapphiregauge"
)

// Fault is a way for a call to fail.
type Fault string

// The faults.
const (
	None   Fault = "none"
	Down   Fault = "down"   // refused, not done
	Lost   Fault = "lost"   // done, the answer is lost
	Gone   Fault = "gone"   // the request is lost, not done; the caller can't tell
	Late   Fault = "late"   // the answer is lost, done a while later
	Frozen Fault = "frozen" // the caller is paused before the call, then goes on
	Outage Fault = "outage" // this call and all for a while are refused
)

// Faults lists all that fail.
func Faults() []Fault { return []Fault{Down, Lost, Gone, Late, Frozen, Outage} }

// How long the slow ones take.
const (
	LateBy    = 5 * time.Second
	FrozenFor = 12 * time.Second
	OutageFor = 20 * time.Second
)

// Config sets up a Table.
type Config struct {
	Table gauge.Table
	At    int // the call that fails, from 0
	Fault Fault
	Clock gauge.Clock
}

// Table is a gauge.Table with one fault.
type Table struct {
	conf Config

	mu    sync.Mutex
	calls int
	until time.Time // of an outage
}

// New makes a Table.
func New(c Config) *Table { return &Table{conf: c} }

// Calls returns how many calls were made.
func (t *Table) Calls() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.calls
}

func (t *Table) next() Fault {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := t.calls
	t.calls++
	now := t.conf.Clock()
	if now.Before(t.until) {
		return Down
	}
	if n != t.conf.At {
		return None
	}
	if t.conf.Fault == Outage {
		t.until = now.Add(OutageFor)
		return Down
	}
	return t.conf.Fault
}

// read applies a fault to a call without effect.
func (t *Table) read() error {
	switch t.next() {
	case None:
		return nil
	case Frozen:
		time.Sleep(FrozenFor)
		return nil
	default:
		return gauge.Fail(gauge.KindOutage, "flaky")
	}
}

// Get reads a row.
func (t *Table) Get(ctx context.Context, key string) (gauge.Row, error) {
	if err := t.read(); err != nil {
		return gauge.Row{}, err
	}
	return t.conf.Table.Get(ctx, key)
}

// Scan reads rows.
func (t *Table) Scan(ctx context.Context, prefix string) ([]gauge.Row, error) {
	if err := t.read(); err != nil {
		return nil, err
	}
	return t.conf.Table.Scan(ctx, prefix)
}

// Commit writes.
func (t *Table) Commit(ctx context.Context, txn gauge.Txn) error {
	unsure := gauge.Fail(gauge.KindUnknown, "flaky")
	switch t.next() {
	case Down:
		return gauge.Fail(gauge.KindOutage, "flaky")
	case Lost:
		_ = t.conf.Table.Commit(ctx, txn)
		return unsure
	case Gone:
		return unsure
	case Late:
		time.AfterFunc(LateBy, func() { _ = t.conf.Table.Commit(context.Background(), txn) })
		return unsure
	case Frozen:
		time.Sleep(FrozenFor)
	}
	return t.conf.Table.Commit(ctx, txn)
}
