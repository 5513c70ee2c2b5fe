//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Times of the machines in a small deployment.
const (
	moveTime   = 1500 * time.Millisecond
	upkeepTime = 2 * time.Second
)

// order is a call to move a machine or for its upkeep.
type order struct {
	Machine string `json:"machine"`
	Pool    string `json:"pool"`
	Wave    int64  `json:"wave"`
	holder  string
	fence   int64
}

// fleet is the stand-in of the machine service, and of the workers on its machines.
type fleet struct {
	rec   *record
	store *store
	ip    string

	mu       sync.Mutex
	machines map[string]*machine
	lives    int
	keepsIDs bool // workers start again under their IDs, and tell when they started
	// onOrder is asked before an order is carried out whether its answer is to be lost, and how
	// much later it is carried out then; nil: none is.
	onOrder func(o order) (lost bool, later time.Duration)
	waves   map[int64]int // machines that may be down at once
	broken  []string      // breaks of LIMIT

	runMu sync.Mutex
	runs  map[string]map[string]bool // by job: tasks at work
	seen  map[string]bool            // jobs of which a task has started
	log   bool                       // whether each run is recorded
	judge *judge                     // nil: runs aren't judged
	// onCall is asked for each call to a worker; nil: all are carried out.
	onCall func(w *worker, path string) (lost bool, late time.Duration)
}

func newFleet(rec *record, st *store, ip string) *fleet {
	return &fleet{
		rec: rec, store: st, ip: ip, machines: make(map[string]*machine), waves: make(map[int64]int),
		runs: make(map[string]map[string]bool), seen: make(map[string]bool),
	}
}

func (f *fleet) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /sapphiregauge/machines", f.list)
	mux.HandleFunc("POST /sapphiregauge/machine-move", f.handleOrder)
	mux.HandleFunc("POST /sapphiregauge/machine-upkeep", f.handleOrder)
	return mux
}

func (f *fleet) add(id, pool string, cpu, memMB int) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := &machine{fleet: f, id: id, addr: f.ip + ":0", pool: pool, cpu: cpu, memMB: memMB, wave: make(map[int64]bool)}
	f.machines[id] = m
	return m.startWorker()
}

func (f *fleet) list(w http.ResponseWriter, _ *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	rows := []map[string]any{}
	for _, m := range f.machines {
		id := ""
		if m.worker != nil {
			id = m.worker.id
		}
		rows = append(rows, map[string]any{
			"machine": m.id, "pool": m.pool, "state": m.state, "zone": zoneName, "labels": m.labels(), "capacity": m.capacity(), "id": id,
		})
	}
	reply(w, http.StatusOK, map[string]any{"machines": rows, "nextPageToken": ""})
}

func (f *fleet) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o order
	fence, err := strconv.ParseInt(r.Header.Get("Sapphiregauge-Fencing-Token"), 10, 64)
	if json.NewDecoder(r.Body).Decode(&o) != nil || err != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	o.holder, o.fence = r.Header.Get("Sapphiregauge-Duty-Holder"), fence
	f.mu.Lock()
	onOrder := f.onOrder
	f.mu.Unlock()
	if onOrder != nil {
		if lost, later := onOrder(o); lost {
			f.rec.say("order of %s (token %d): machine %s, pool %q, wave %d: gets no answer, is carried out in %s", o.holder, o.fence, o.Machine, o.Pool, o.Wave, later)
			time.AfterFunc(later, func() {
				status, reason := f.carryOut(o)
				f.rec.say("late order of %s (token %d): machine %s, wave %d: carried out: %d %s", o.holder, o.fence, o.Machine, o.Wave, status, reason)
			})
			<-r.Context().Done() // no answer
			return
		}
	}
	status, reason := f.carryOut(o)
	f.rec.say("order of %s (token %d): machine %s, pool %q, wave %d: %d %s", o.holder, o.fence, o.Machine, o.Pool, o.Wave, status, reason)
	if reason != "" {
		reply(w, status, map[string]string{"reason": reason})
		return
	}
	reply(w, status, nil)
}

// carryOut carries out an order and returns its status, and the reason of a refusal.
func (f *fleet) carryOut(o order) (int, string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.machines[o.Machine]
	if m == nil {
		return http.StatusBadRequest, ""
	}
	if o.fence < m.fence {
		return http.StatusConflict, "fence"
	}
	m.fence = o.fence
	switch {
	case o.Wave > 0 && m.wave[o.Wave] || o.Pool != "" && m.pool == o.Pool && m.state == "up":
		return http.StatusOK, ""
	case m.state != "up":
		return http.StatusConflict, "busy"
	}
	down := moveTime
	m.state = "moving"
	if o.Wave > 0 {
		f.checkLimit(m, o)
		m.wave[o.Wave] = true
		m.state, down = "upkeep", upkeepTime
	} else {
		m.pool = o.Pool
	}
	old := m.worker
	m.worker = nil
	f.store.put("servers", old.id, nil)
	go old.die("machine taken")
	time.AfterFunc(down, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		_ = m.startWorker()
		f.rec.say("machine %s is up again, in %s", m.id, m.pool)
	})
	return http.StatusOK, ""
}

// checkLimit records whether a machine's upkeep begins while as many machines of the wave are down
// for theirs as may be. The lock is held.
func (f *fleet) checkLimit(m *machine, o order) {
	var down []string
	for _, other := range f.machines {
		if other.state == "upkeep" && other.wave[o.Wave] {
			down = append(down, other.id)
		}
	}
	if most := f.waves[o.Wave]; most > 0 && len(down) >= most {
		f.broken = append(f.broken, fmt.Sprintf("LIMIT: the upkeep of %s for wave %d (ordered by %s, token %d) begins while %v are down for theirs, at most %d may be", m.id, o.Wave, o.holder, o.fence, down, most))
		f.rec.say("%s", f.broken[len(f.broken)-1])
	}
}

// crash ends the worker of a machine; it starts again after a while at the same address, as another
// worker. Its entry goes after three heartbeat intervals.
func (f *fleet) crash(id string, down time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.machines[id]
	old := m.worker
	if old == nil {
		return
	}
	old.mu.Lock()
	n := len(old.running)
	old.mu.Unlock()
	f.rec.say("worker %s on %s crashes with %d runs", old.id, id, n)
	m.worker, m.state = nil, "down"
	_ = m.server.Close()
	m.server = nil
	old.die("crashed")
	time.AfterFunc(silentBeats*heartbeatTime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if m.worker == nil || m.worker.id != old.id {
			f.store.put("servers", old.id, nil)
		}
	})
	time.AfterFunc(down, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if err := m.startWorker(); err != nil {
			f.rec.say("worker on %s doesn't start: %s", id, err)
		}
	})
}

// replace has the worker of a machine drain and leave; another one starts a little later.
func (f *fleet) replace(id string, drain, pause time.Duration) {
	f.mu.Lock()
	m := f.machines[id]
	w := m.worker
	f.mu.Unlock()
	w.mu.Lock()
	w.leaves = time.Now().Add(drain)
	n := len(w.running)
	w.mu.Unlock()
	f.rec.say("worker %s on %s drains with %d runs, and leaves in %s", w.id, id, n, drain)
	w.writeEntry(0)
	time.Sleep(drain)
	f.mu.Lock()
	w.mu.Lock()
	n = len(w.running)
	w.mu.Unlock()
	f.rec.say("worker %s on %s leaves with %d runs", w.id, id, n)
	m.worker, m.state = nil, "down"
	f.store.put("servers", w.id, nil)
	f.mu.Unlock()
	w.die("left")
	time.Sleep(pause)
	f.mu.Lock()
	defer f.mu.Unlock()
	_ = m.startWorker()
}

// isHalfInUse reports whether half of the capacity is in use by the runs on all workers.
func (f *fleet) isHalfInUse() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	used, all := 0, 0
	for _, m := range f.machines {
		if m.worker == nil {
			continue
		}
		all += m.cpu
		m.worker.mu.Lock()
		for _, t := range m.worker.running {
			used += t.what.CPU
		}
		m.worker.mu.Unlock()
	}
	return 2*used >= all
}

func jobOf(task string) string {
	id, _, _ := cutAt(task, '.')
	return id
}

func cutAt(s string, sep byte) (string, string, bool) {
	if i := slices.Index([]byte(s), sep); i >= 0 {
		return s[:i], s[i+1:], true
	}
	return s, "", false
}

func (f *fleet) began(w *worker, c workerCall, t *taskRun) {
	f.runMu.Lock()
	defer f.runMu.Unlock()
	job := jobOf(c.Task)
	if f.runs[job] == nil {
		f.runs[job] = make(map[string]bool)
	}
	f.runs[job][c.Task] = true
	f.seen[job] = true
	if f.log {
		f.rec.say("run %d of %s begins on %s, checkpoint %q, token %d", c.Run, c.Task, w.id, c.Saved, c.Fence)
	}
	if f.judge != nil {
		f.judge.began(w, c, t)
	}
}

func (f *fleet) over(w *worker, task string, t *taskRun, how, saved string) {
	f.runMu.Lock()
	defer f.runMu.Unlock()
	delete(f.runs[jobOf(task)], task)
	if f.log {
		f.rec.say("run %d of %s ends on %s: %s %s", t.number, task, w.id, how, saved)
	}
	if f.judge != nil {
		f.judge.over(w, task, t, how, saved)
	}
}

func (f *fleet) listed(task, saved string) {
	f.runMu.Lock()
	defer f.runMu.Unlock()
	if f.judge != nil {
		f.judge.addSaved(task, saved)
	}
}

func (f *fleet) noted(w *worker, e endRow) {
	f.runMu.Lock()
	defer f.runMu.Unlock()
	if f.judge != nil {
		f.judge.noted(w, e)
	}
}

// gangComplete returns since when all members of a run of a gang are present.
func (f *fleet) gangComplete(task string, t *taskRun) (time.Time, bool) {
	f.runMu.Lock()
	defer f.runMu.Unlock()
	if f.judge == nil {
		return time.Time{}, false
	}
	return f.judge.gangComplete(task, t)
}

func (f *fleet) gangBroken(task string, t *taskRun) bool {
	f.runMu.Lock()
	defer f.runMu.Unlock()
	return f.judge != nil && f.judge.gangBroken(task, t)
}

// callFault returns whether a call to a worker gets no answer, and how much later it is carried out
// then; below 0: never.
func (f *fleet) callFault(w *worker, path string) (lost bool, late time.Duration) {
	f.runMu.Lock()
	pick := f.onCall
	f.runMu.Unlock()
	if pick == nil {
		return false, 0
	}
	return pick(w, path)
}

// runningTasks returns how many tasks of a job are at work now, and whether any has begun.
func (f *fleet) runningTasks(job string) (int, bool) {
	f.runMu.Lock()
	defer f.runMu.Unlock()
	return len(f.runs[job]), f.seen[job]
}

func (f *fleet) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.machines {
		if m.worker != nil {
			go m.worker.die("the case ends")
		}
		if m.server != nil {
			_ = m.server.Close()
		}
	}
}

// newJobID returns a job ID as clients choose them.
func newJobID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

var errNotReady = errors.New("the hosts aren't ready")
