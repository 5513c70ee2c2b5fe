// Package memdb is an in-memory implementation of the platform's table and object store, for the
// fake platform and the local mode.
package memdb

import (
	"context"
	"slices"
	"strings"
	"sync"

	gauge "sapphiregauge"
)

// DB holds rows and objects. It is safe for concurrent use. Create it with New.
type DB struct {
	mu      sync.RWMutex
	version int64
	rows    map[string]gauge.Row
	objects map[string][]byte
}

// New makes an empty DB.
func New() *DB {
	return &DB{rows: make(map[string]gauge.Row), objects: make(map[string][]byte)}
}

// Get reads one row; a missing row has version 0 and no value.
func (d *DB) Get(_ context.Context, key string) (gauge.Row, error) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	r, ok := d.rows[key]
	if !ok {
		return gauge.Row{Key: key}, nil
	}
	return r, nil
}

// Scan reads all rows whose key begins with prefix, sorted by key.
func (d *DB) Scan(_ context.Context, prefix string) ([]gauge.Row, error) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var rows []gauge.Row
	for k, r := range d.rows {
		if strings.HasPrefix(k, prefix) {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b gauge.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows, nil
}

// Commit applies a transaction atomically. It fails with KindConflict if a checked row has another
// version. A put with a nil value deletes the row.
func (d *DB) Commit(_ context.Context, t gauge.Txn) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range t.Checks {
		if d.rows[c.Key].Version != c.Version {
			return gauge.Errorf(gauge.KindConflict, "row %s is at version %d, not %d", c.Key, d.rows[c.Key].Version, c.Version)
		}
	}
	d.version++
	for _, p := range t.Puts {
		if p.Value == nil {
			delete(d.rows, p.Key)
			continue
		}
		d.rows[p.Key] = gauge.Row{Key: p.Key, Value: slices.Clone(p.Value), Version: d.version}
	}
	return nil
}

// Fetch reads an object. It fails with KindNotFound if there is none.
func (d *DB) Fetch(_ context.Context, name string) ([]byte, error) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	b, ok := d.objects[name]
	if !ok {
		return nil, gauge.Errorf(gauge.KindNotFound, "object %s", name)
	}
	return b, nil
}

// Store writes an object.
func (d *DB) Store(_ context.Context, name string, body []byte) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.objects[name] = slices.Clone(body)
	return nil
}
