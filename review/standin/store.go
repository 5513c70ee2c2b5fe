package main

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store (PROTOCOL.md, "The platform's metadata store").
type store struct {
	server *http.Server
	addr   string
	zero   time.Time
	rowMax int // bytes of a value

	mu      sync.Mutex
	version int64
	rows    map[rowID]row
	log     []row
	changed chan struct{}
	slow    float64 // answers take this many times as long
	lose    float64 // share of the writes that get no answer and are carried out later
	lost    int
	refuse  string // partition whose calls are refused with 503; empty: none
	refused []string
}

// answerTime is what an answer takes (SYSTEM.md: "4 ms an answer").
const answerTime = 4 * time.Millisecond

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

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{addr: l.Addr().String(), zero: time.Now(), rows: make(map[rowID]row), changed: make(chan struct{}), slow: 1, rowMax: 65536}
	mux := http.NewServeMux()
	mux.HandleFunc("/sapphiregauge/rows-tx", s.serve(s.tx))
	mux.HandleFunc("/sapphiregauge/rows-get", s.serve(s.get))
	mux.HandleFunc("/sapphiregauge/rows-parts", s.serve(s.parts))
	mux.HandleFunc("/sapphiregauge/rows-feed", s.serve(s.feed))
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// setSlow has all answers take x times as long.
func (s *store) setSlow(x float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = x
}

// setLose has a share of the writes get no answer.
func (s *store) setLose(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose = share
}

func (s *store) lostWrites() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lost
}

// refusePart has the store refuse the calls to one partition; empty: to none.
func (s *store) refusePart(part string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuse = part
}

// refuses reports whether a call is to the partition that is refused.
func (s *store) refuses(r *http.Request, body []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refuse != "" && (r.URL.Query().Get("part") == s.refuse || strings.Contains(string(body), `"part":"`+s.refuse+`"`))
}

// loses reports whether a call is one of the lost writes.
func (s *store) loses(path string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if path != "/sapphiregauge/rows-tx" || rand.Float64() >= s.lose {
		return false
	}
	s.lost++
	return true
}

// serve carries a call out on arrival and delays its answer.
func (s *store) serve(do func(r *http.Request, body []byte) (int, any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if s.refuses(r, body) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if s.loses(r.URL.Path) {
			// The connection delivers nothing further; the call is carried out 1 to 6 s later if its
			// condition still holds.
			time.AfterFunc(time.Second+rand.N(5*time.Second), func() { do(r, body) })
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		status, out := do(r, body)
		s.mu.Lock()
		delay := time.Duration(float64(answerTime) * s.slow)
		s.mu.Unlock()
		time.Sleep(delay)
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		if out != nil {
			_ = json.NewEncoder(w).Encode(out)
		}
	}
}

type rowsBody struct {
	Rows    []row    `json:"rows"`
	Parts   []string `json:"parts,omitempty"`
	More    bool     `json:"hasMore"`
	Version int64    `json:"rowVersion"`
	Now     int64    `json:"nowMs"`
}

func (s *store) body(rows []row) rowsBody {
	if rows == nil {
		rows = []row{}
	}
	return rowsBody{Rows: rows, Version: s.version, Now: time.Since(s.zero).Milliseconds() + 1}
}

// put writes a row as the operator or a worker does.
func (s *store) put(table, key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(row{Table: table, Key: key, Value: b})
	s.wake()
}

func (s *store) drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(row{Table: table, Key: key, Deleted: true})
	s.wake()
}

func (s *store) set(r row) {
	r.Version = s.version
	if r.Deleted {
		delete(s.rows, r.id())
	} else {
		s.rows[r.id()] = r
	}
	s.log = append(s.log, r)
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// value returns a row's value.
func (s *store) value(table, part, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[rowID{table, part, key}].Value
}

func (s *store) tx(_ *http.Request, body []byte) (int, any) {
	var b struct {
		Expected []row `json:"expectedRevision"`
		Upserts  []row `json:"upserts"`
		Deletes  []row `json:"deletes"`
		Cross    bool  `json:"crossRegion"`
	}
	if json.Unmarshal(body, &b) != nil || len(b.Expected)+len(b.Upserts)+len(b.Deletes) > 100 || len(body) > 1<<20 {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	parts := make(map[string]bool)
	for _, list := range [][]row{b.Expected, b.Upserts, b.Deletes} {
		for _, r := range list {
			parts[r.Part] = true
			if len(r.Table) > 200 || len(r.Part) > 200 || len(r.Key) > 200 {
				return http.StatusBadRequest, nil
			}
		}
	}
	for _, r := range slices.Concat(b.Upserts, b.Deletes) {
		if r.Table == "op" || r.Table == "servers" {
			return http.StatusForbidden, nil
		}
		if len(r.Value) > s.rowMax {
			s.refused = append(s.refused, r.Table+"/"+r.Part+"/"+r.Key)
			return http.StatusBadRequest, nil
		}
	}
	if len(parts) > 1 && !b.Cross {
		return http.StatusBadRequest, nil
	}
	var current []row
	failed := false
	for _, e := range b.Expected {
		r := s.rows[e.id()]
		failed = failed || r.Version != e.Version
		current = append(current, row{Table: e.Table, Part: e.Part, Key: e.Key, Value: r.Value, Version: r.Version})
	}
	if failed {
		return http.StatusPreconditionFailed, s.body(current)
	}
	s.version++
	for _, u := range b.Upserts {
		u.Deleted = false
		s.set(u)
	}
	for _, d := range b.Deletes {
		d.Deleted, d.Value = true, nil
		s.set(d)
	}
	s.wake()
	return http.StatusOK, s.body(nil)
}

const (
	pageRows  = 500
	pageBytes = 1 << 20
)

func (s *store) get(r *http.Request, _ []byte) (int, any) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for k, v := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && (q.Get("to") == "" || k.key < q.Get("to")) {
			rows = append(rows, v)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	most := pageRows
	if limit, err := strconv.Atoi(q.Get("limit")); err == nil && limit > 0 {
		most = min(most, limit)
	}
	n, size := 0, 0
	for n < len(rows) && n < most && (n == 0 || size+len(rows[n].Value) <= pageBytes) {
		size += len(rows[n].Value)
		n++
	}
	b := s.body(rows[:n])
	b.More = n < len(rows)
	return http.StatusOK, b
}

func (s *store) parts(r *http.Request, _ []byte) (int, any) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for k := range s.rows {
		if k.table == q.Get("table") && k.part > q.Get("after") && !slices.Contains(names, k.part) {
			names = append(names, k.part)
		}
	}
	slices.Sort(names)
	b := s.body(nil)
	b.Parts, b.More = names[:min(1000, len(names))], len(names) > 1000
	return http.StatusOK, b
}

func (s *store) feed(r *http.Request, _ []byte) (int, any) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		var rows []row
		from, _ := slices.BinarySearchFunc(s.log, after+1, func(r row, v int64) int { return int(r.Version - v) })
		for _, c := range s.log[from:] {
			if c.Table == q.Get("table") {
				rows = append(rows, c)
			}
		}
		b, changed := s.body(rows), s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			return http.StatusOK, b
		}
		select {
		case <-changed:
		case <-timer.C:
			return http.StatusOK, b
		case <-r.Context().Done():
			return http.StatusOK, b
		}
	}
}
