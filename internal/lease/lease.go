// Package lease says which entry controls what. A lease is a row that changes
// only when control changes hands; it needs no renewal, since the holder's
// member row already tells whether it lives. Every write of a controller checks
// the lease's version, so the writes of a holder that was paused while another
// took over fail. The version serves as the epoch: it grows with every write of
// the table and is never used twice.
package lease

import (
	"context"
	"encoding/json"

	gauge "sapphiregauge"
)

// Config sets up Leases.
type Config struct {
	Entry string // id/run of this entry
	Table gauge.Table
	Lives func(entry string) bool
}

// Leases takes and checks leases.
type Leases struct {
	conf Config
}

// row is a lease as it is stored.
type row struct {
	Entry string `json:"entry"`
}

// New makes Leases.
func New(c Config) *Leases { return &Leases{conf: c} }

const prefix = "lease/"

// Hold returns the check that this entry's writes for a unit must carry, after
// taking the lease if it is free or its holder is gone. False: another live
// entry has it.
func (l *Leases) Hold(ctx context.Context, unit string) (gauge.Check, bool, error) {
	key := prefix + unit
	stored, err := l.conf.Table.Get(ctx, key)
	if err != nil {
		return gauge.Check{}, false, err
	}
	var r row
	if stored.Version > 0 {
		if err := json.Unmarshal(stored.Value, &r); err != nil {
			return gauge.Check{}, false, gauge.Fail(gauge.KindInvalid, "row %s", key).Because(err)
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
	return gauge.Check{}, false, nil // read back in the next round: the version is needed
}

// Give gives a lease up, if this entry has it.
func (l *Leases) Give(ctx context.Context, unit string, held gauge.Check) error {
	return l.conf.Table.Commit(ctx, gauge.Txn{
		Checks: []gauge.Check{held},
		Puts:   []gauge.Put{{Key: prefix + unit}},
	})
}

// write changes a lease if nobody else has. An answer that is lost does no
// harm: the next round reads what came of it.
func (l *Leases) write(ctx context.Context, key string, version int64, r row) error {
	body, err := json.Marshal(r)
	if err != nil {
		return gauge.Fail(gauge.KindInternal, "lease").Because(err)
	}
	return l.conf.Table.Commit(ctx, gauge.Txn{
		Checks: []gauge.Check{{Key: key, Version: version}},
		Puts:   []gauge.Put{{Key: key, Value: body}},
	})
}
