// Package flaky is a wrapper of the platform's table that injects one fault, for tests: the n-th
// call fails in a chosen way.
package flaky

import (
	"context"
	"sync"
	"time"

	gauge "sapphiregauge"
)

// Fault is the way in which a call fails.
type Fault string

// The faults.
const (
	None         Fault = "none"
	Refused      Fault = "down"   // refused, not carried out
	ResponseLost Fault = "lost"   // carried out, the response is lost
	RequestLost  Fault = "gone"   // the request is lost and not carried out; to the caller the outcome is unknown
	DoneLater    Fault = "late"   // the response is lost, the call is carried out after DoneLaterDelay
	Paused       Fault = "frozen" // the caller is paused for PauseDuration before the call, which then succeeds
	Outage       Fault = "outage" // this call and all others for OutageDuration are refused
)

// Faults lists all faults but None.
func Faults() []Fault { return []Fault{Refused, ResponseLost, RequestLost, DoneLater, Paused, Outage} }

// Durations of the faults.
const (
	DoneLaterDelay = 5 * time.Second
	PauseDuration  = 12 * time.Second
	OutageDuration = 20 * time.Second
)

// Config sets up a Table.
type Config struct {
	Table  gauge.Table
	FailAt int // index of the call that fails, from 0
	Fault  Fault
	Clock  gauge.Clock
}

// Table is a gauge.Table with one injected fault. It is safe for concurrent use.
type Table struct {
	conf Config

	mu        sync.Mutex
	calls     int
	outageEnd time.Time // end of the outage
}

// New makes a Table.
func New(c Config) *Table { return &Table{conf: c} }

// Calls returns how many calls were made.
func (t *Table) Calls() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.calls
}

// nextFault counts a call and returns the fault that applies to it.
func (t *Table) nextFault() Fault {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := t.calls
	t.calls++
	now := t.conf.Clock()
	if now.Before(t.outageEnd) {
		return Refused
	}
	if n != t.conf.FailAt {
		return None
	}
	if t.conf.Fault == Outage {
		t.outageEnd = now.Add(OutageDuration)
		return Refused
	}
	return t.conf.Fault
}

// readFault applies the fault of the next call, a read. Since a read has no effect, all faults but
// Paused are outages to the caller.
func (t *Table) readFault() error {
	switch t.nextFault() {
	case None:
		return nil
	case Paused:
		time.Sleep(PauseDuration)
		return nil
	default:
		return gauge.Errorf(gauge.KindOutage, "flaky")
	}
}

// Get reads a row.
func (t *Table) Get(ctx context.Context, key string) (gauge.Row, error) {
	if err := t.readFault(); err != nil {
		return gauge.Row{}, err
	}
	return t.conf.Table.Get(ctx, key)
}

// Scan reads rows.
func (t *Table) Scan(ctx context.Context, prefix string) ([]gauge.Row, error) {
	if err := t.readFault(); err != nil {
		return nil, err
	}
	return t.conf.Table.Scan(ctx, prefix)
}

// Commit applies a transaction.
func (t *Table) Commit(ctx context.Context, txn gauge.Txn) error {
	errUnknown := gauge.Errorf(gauge.KindUnknown, "flaky")
	switch t.nextFault() {
	case Refused:
		return gauge.Errorf(gauge.KindOutage, "flaky")
	case ResponseLost:
		_ = t.conf.Table.Commit(ctx, txn)
		return errUnknown
	case RequestLost:
		return errUnknown
	case DoneLater:
		time.AfterFunc(DoneLaterDelay, func() { _ = t.conf.Table.Commit(context.Background(), txn) })
		return errUnknown
	case Paused:
		time.Sleep(PauseDuration)
	}
	return t.conf.Table.Commit(ctx, txn)
}
