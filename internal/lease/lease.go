// Package lease determines which entry controls a unit: a pool or the whole fleet. A lease is a row
// that changes only when control passes to another entry; it needs no renewal, since the holder's
// member row already shows whether it is alive. Every write of a controller checks the lease's
// version, so that writes of a holder fail if it was paused while another took over. The version
// serves as the fencing token: it grows with every write of the table and is never used twice.
package lease

import (
	"context"
	"encoding/json"

	gauge "sapphiregauge"
)

// Config sets up Leases.
type Config struct {
	Entry string // ID/start ID of this entry
	Table gauge.Table
	Lives func(entry string) bool // whether an entry may still be alive
}

// Leases takes and checks leases.
type Leases struct {
	conf Config
}

// row is a lease as it is stored.
type row struct {
	Entry string `json:"entry"`
}

// New returns Leases.
func New(c Config) *Leases { return &Leases{conf: c} }

const prefix = "lease/"

// Acquire returns the check that this entry's writes for a unit must carry. It takes the lease if
// that is free or its holder is dead, and then returns false until the next call reads the new
// version back. It also returns false if another live entry has the lease.
func (l *Leases) Acquire(ctx context.Context, unit string) (gauge.Check, bool, error) {
	key := prefix + unit
	stored, err := l.conf.Table.Get(ctx, key)
	if err != nil {
		return gauge.Check{}, false, err
	}
	var r row
	if stored.Version > 0 {
		if err := json.Unmarshal(stored.Value, &r); err != nil {
			return gauge.Check{}, false, gauge.Errorf(gauge.KindInvalid, "lease row %s is malformed", key).WithCause(err)
		}
	}
	if r.Entry == l.conf.Entry {
		return gauge.Check{Key: key, Version: stored.Version}, true, nil
	}
	if r.Entry != "" && l.conf.Lives(r.Entry) {
		return gauge.Check{}, false, nil
	}
	if err := l.write(ctx, key, stored.Version, row{Entry: l.conf.Entry}); err != nil {
		return gauge.Check{}, false, err
	}
	return gauge.Check{}, false, nil // the next round reads back the version
}

// Release gives up a lease that this entry has.
func (l *Leases) Release(ctx context.Context, unit string, check gauge.Check) error {
	return l.conf.Table.Commit(ctx, gauge.Txn{
		Checks: []gauge.Check{check},
		Puts:   []gauge.Put{{Key: prefix + unit}},
	})
}

// write changes a lease if nobody else has changed it. An unanswered write does no harm: the next
// round reads its result.
func (l *Leases) write(ctx context.Context, key string, version int64, r row) error {
	body, err := json.Marshal(r)
	if err != nil {
		return gauge.Errorf(gauge.KindInternal, "lease").WithCause(err)
	}
	return l.conf.Table.Commit(ctx, gauge.Txn{
		Checks: []gauge.Check{{Key: key, Version: version}},
		Puts:   []gauge.Put{{Key: key, Value: body}},
	})
}
