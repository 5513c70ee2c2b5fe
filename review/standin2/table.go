//go:build review

package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, as PROTOCOL.md and the settings of a small deployment name them.
const (
	maxRowBytes  = 65536
	maxEntries   = 100
	maxBodyBytes = 1 << 20
	maxPageRows  = 500
	txnTime      = 3 * time.Millisecond
)

type rowID struct{ table, part, key string }

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"rowVersion"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r row) id() rowID { return rowID{r.Table, r.Part, r.Key} }

// store is a stand-in of the platform's metadata store.
type store struct {
	rec       *record
	clockZero time.Time

	mu      sync.Mutex
	version int64
	rows    map[rowID]row
	log     []row
	changed chan struct{}
	refused map[string]int // too large rows, by table

	downUntil time.Time // until then calls get 503
}

func newStore(rec *record) *store {
	return &store{rec: rec, clockZero: time.Now().Add(-time.Minute), rows: make(map[rowID]row), changed: make(chan struct{}), refused: make(map[string]int)}
}

func (t *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /sapphiregauge/rows-tx", t.commit)
	mux.HandleFunc("GET /sapphiregauge/rows-get", t.get)
	mux.HandleFunc("GET /sapphiregauge/rows-parts", t.parts)
	mux.HandleFunc("GET /sapphiregauge/rows-feed", t.feed)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		t.mu.Lock()
		down := time.Now().Before(t.downUntil)
		t.mu.Unlock()
		if down {
			reply(w, http.StatusServiceUnavailable, nil)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// put writes a row as the operator or a worker does; nil deletes it.
func (t *store) put(table, key string, value any) {
	r := row{Table: table, Key: key, Deleted: value == nil}
	if value != nil {
		r.Value, _ = json.Marshal(value)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.version++
	t.set(r)
	t.wake()
}

func (t *store) value(table, part, key string) []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rows[rowID{table, part, key}].Value
}

// set applies one change at the present version. The lock is held.
func (t *store) set(r row) {
	r.Version = t.version
	if r.Deleted {
		r.Value = nil
		delete(t.rows, r.id())
	} else {
		t.rows[r.id()] = r
	}
	t.log = append(t.log, r)
}

func (t *store) wake() {
	close(t.changed)
	t.changed = make(chan struct{})
}

type rowsAnswer struct {
	Rows    []row    `json:"rows"`
	Parts   []string `json:"parts,omitempty"`
	More    bool     `json:"hasMore"`
	Version int64    `json:"rowVersion"`
	Now     int64    `json:"nowMs"`
}

// answer returns an answer as of the present version. The lock is held.
func (t *store) answer(rows []row) rowsAnswer {
	if rows == nil {
		rows = []row{}
	}
	return rowsAnswer{Rows: rows, Version: t.version, Now: time.Since(t.clockZero).Milliseconds()}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	raw := []byte("{}")
	if body != nil {
		raw, _ = json.Marshal(body)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

type txn struct {
	Expected []row `json:"expectedRevision"`
	Upserts  []row `json:"upserts"`
	Deletes  []row `json:"deletes"`
}

func (t *store) commit(w http.ResponseWriter, r *http.Request) {
	var b txn
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, 2*maxBodyBytes))
	if decoder.Decode(&b) != nil || len(b.Expected)+len(b.Upserts)+len(b.Deletes) > maxEntries {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	for _, u := range b.Upserts {
		if len(u.Value) > maxRowBytes {
			t.mu.Lock()
			t.refused[u.Table]++
			n := t.refused[u.Table]
			t.mu.Unlock()
			t.rec.say("store refuses a transaction of %d rows with 400: row %s/%s/%s has %d bytes, at most %d (number %d)", len(b.Upserts), u.Table, u.Part, u.Key, len(u.Value), maxRowBytes, n)
			reply(w, http.StatusBadRequest, nil)
			return
		}
		if u.Table == "op" || u.Table == "servers" {
			reply(w, http.StatusForbidden, nil)
			return
		}
	}
	time.Sleep(txnTime)
	t.mu.Lock()
	defer t.mu.Unlock()
	failed := false
	var present []row
	for _, e := range b.Expected {
		p := t.rows[e.id()]
		failed = failed || p.Version != e.Version
		present = append(present, row{Table: e.Table, Part: e.Part, Key: e.Key, Value: p.Value, Version: p.Version})
	}
	if failed {
		reply(w, http.StatusPreconditionFailed, t.answer(present))
		return
	}
	t.version++
	for _, u := range b.Upserts {
		u.Deleted = false
		t.set(u)
	}
	for _, d := range b.Deletes {
		d.Deleted = true
		t.set(d)
	}
	t.wake()
	reply(w, http.StatusOK, t.answer(nil))
}

func (t *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []row
	for k, v := range t.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && (q.Get("to") == "" || k.key < q.Get("to")) {
			rows = append(rows, v)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	limit := maxPageRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	a := t.answer(rows[:min(limit, len(rows))])
	a.More = len(rows) > limit
	reply(w, http.StatusOK, a)
}

func (t *store) parts(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.answer(nil)
	for k := range t.rows {
		if k.table == r.URL.Query().Get("table") && !slices.Contains(a.Parts, k.part) {
			a.Parts = append(a.Parts, k.part)
		}
	}
	slices.Sort(a.Parts)
	reply(w, http.StatusOK, a)
}

func (t *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for over := false; ; {
		t.mu.Lock()
		var rows []row
		first, _ := slices.BinarySearchFunc(t.log, after+1, func(r row, v int64) int { return int(r.Version - v) })
		for _, c := range t.log[first:] {
			if c.Table == q.Get("table") {
				rows = append(rows, c)
			}
		}
		a, changed := t.answer(rows), t.changed
		t.mu.Unlock()
		if len(rows) > 0 || over {
			reply(w, http.StatusOK, a)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}
