//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of a worker, as the pages name them for a small deployment.
const (
	maxHold       = 10 * time.Second
	maxListed     = 500
	maxWait       = 2 * time.Second
	stopTime      = 50 * time.Millisecond
	gangTimeout   = 3 * time.Second
	heartbeatTime = 1500 * time.Millisecond
	silentBeats   = 3
)

// work is the spec of a job: how long each of its tasks runs, and whether it checkpoints.
type work struct {
	RunMillis   int  `json:"ms"`
	CPU         int  `json:"cpu,omitempty"` // thousandths of a core of each task
	Checkpoints bool `json:"ck,omitempty"`
	Gang        int  `json:"gang,omitempty"` // members of the gang of each step; 0: none
	FailShare   int  `json:"fail,omitempty"` // percent of the runs that end as failed
}

// checkpointTime is how much work brings a new checkpoint; restoreTime is lost with each resumption.
const (
	checkpointTime = time.Second
	restoreTime    = 600 * time.Millisecond
)

type taskRun struct {
	number  int
	begins  time.Time
	ends    time.Time
	stops   time.Time     // zero: no stop was ordered
	before  time.Duration // work done by earlier runs, up to their checkpoint
	arrived time.Time
	waiting bool // a member of a gang that isn't complete yet
	fails   bool
	resumed string // checkpoint that the start carried
	what    work
}

// checkpoint returns the newest checkpoint of a run: 16 digits, of which the first eight are the
// milliseconds of work done.
func (t *taskRun) checkpoint(stopped bool) string {
	if !t.what.Checkpoints {
		return ""
	}
	worked := max(0, time.Since(t.begins))
	if t.waiting {
		worked = 0
	}
	if !stopped {
		worked = worked.Truncate(checkpointTime)
	}
	if t.before+worked == 0 {
		return t.resumed
	}
	return fmt.Sprintf("%08x%08x", (t.before + worked).Milliseconds(), t.number)
}

// percent returns how much of its work is done.
func (t *taskRun) percent() int {
	if t.waiting {
		return 0
	}
	worked := t.before + max(0, time.Since(t.begins))
	if t.what.RunMillis >= 3600_000 {
		if worked > time.Second {
			return 100
		}
		return 50
	}
	return int(min(99, 100*worked/max(1, time.Duration(t.what.RunMillis)*time.Millisecond)))
}

// worker is one life of a worker. Its mutex guards all that follows it.
type worker struct {
	m         *machine
	id        string
	born      int64 // Unix milliseconds of its start, where workers tell it; else 0
	clockZero time.Time

	mu       sync.Mutex
	dead     bool
	leaves   time.Time // when it leaves; zero: it isn't draining
	fence    int64
	leaseEnd time.Duration
	running  map[string]*taskRun
	highest  map[string]int
	ended    []endRow
	lastEnd  int64
	newEnd   chan struct{}
}

type endRow struct {
	number int64
	task   string
	run    int
	how    string
	saved  string
}

func (w *worker) clock() time.Duration { return time.Since(w.clockZero) }

type workerCall struct {
	Task     string `json:"task"`
	Run      int    `json:"runId"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadlineMs"`
	Fence    int64  `json:"fencingToken"`
	LastSeen int64  `json:"lastSeen"`
	Wait     int64  `json:"waitMs"`
	Saved    string `json:"checkpoint"`
}

func (w *worker) refuse(rw http.ResponseWriter, reason string) {
	reply(rw, http.StatusConflict, map[string]any{"clockMs": w.clock().Milliseconds(), "reason": reason})
}

func (w *worker) accept(rw http.ResponseWriter) {
	reply(rw, http.StatusOK, map[string]any{"clockMs": w.clock().Milliseconds()})
}

// discarded is where the answers of calls go that get none.
type discarded struct{ header http.Header }

func (d discarded) Header() http.Header         { return d.header }
func (d discarded) Write(b []byte) (int, error) { return len(b), nil }
func (d discarded) WriteHeader(int)             {}

func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	var c workerCall
	if json.NewDecoder(r.Body).Decode(&c) != nil {
		reply(rw, http.StatusBadRequest, nil)
		return
	}
	lost, late := w.m.fleet.callFault(w, r.URL.Path)
	if late < 0 { // it never arrives
		<-r.Context().Done()
		return
	}
	if lost {
		background := r.Clone(context.Background())
		time.AfterFunc(late, func() {
			w.m.fleet.mu.Lock()
			present := w.m.worker // the next life may have the same ID
			w.m.fleet.mu.Unlock()
			if present != nil {
				present.handle(discarded{make(http.Header)}, background, c)
			}
		})
		<-r.Context().Done()
		return
	}
	w.handle(rw, r, c)
}

func (w *worker) handle(rw http.ResponseWriter, r *http.Request, c workerCall) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead || r.Header.Get("Sapphiregauge-Target-Instance") != w.id {
		reply(rw, http.StatusMisdirectedRequest, nil)
		return
	}
	if c.Fence < w.fence {
		w.refuse(rw, "fence")
		return
	}
	w.fence = c.Fence
	w.advance()
	until := time.Duration(c.Deadline) * time.Millisecond
	w.leaseEnd = max(w.leaseEnd, min(until, w.clock()+maxHold))
	switch strings.TrimPrefix(r.URL.Path, "/sapphiregauge/") {
	case "run-start":
		w.start(rw, c, until)
	case "run-stop":
		w.highest[c.Task] = max(w.highest[c.Task], c.Run)
		if t := w.running[c.Task]; t != nil && t.number <= c.Run && t.stops.IsZero() {
			t.stops = time.Now().Add(stopTime)
		}
		w.accept(rw)
	case "pace":
		w.accept(rw)
	case "hold":
		w.hold(r.Context(), rw, c)
	default:
		reply(rw, http.StatusNotFound, nil)
	}
}

// start begins a run. The lock is held.
func (w *worker) start(rw http.ResponseWriter, c workerCall, until time.Duration) {
	if t := w.running[c.Task]; t != nil && t.number == c.Run {
		w.accept(rw)
		return
	}
	switch {
	case until < w.clock():
		w.refuse(rw, "late")
		return
	case c.Run <= w.highest[c.Task]:
		w.refuse(rw, "old")
		return
	}
	var what work
	if json.Unmarshal([]byte(c.Spec), &what) != nil {
		reply(rw, http.StatusBadRequest, nil)
		return
	}
	t := &taskRun{number: c.Run, begins: time.Now(), resumed: c.Saved, what: what}
	if len(c.Saved) >= 8 {
		millis, _ := strconv.ParseInt(c.Saved[:8], 16, 64)
		t.before, t.begins = time.Duration(millis)*time.Millisecond, t.begins.Add(restoreTime)
	}
	t.ends = t.begins.Add(time.Duration(what.RunMillis)*time.Millisecond - t.before)
	t.arrived = time.Now()
	t.fails = what.FailShare > 0 && rand.IntN(100) < what.FailShare
	if what.Gang > 0 {
		t.waiting = true
	}
	w.running[c.Task] = t
	w.m.fleet.began(w, c, t)
	w.accept(rw)
}

// hold answers with both lists. The lock is held, but not while it waits.
func (w *worker) hold(ctx context.Context, rw http.ResponseWriter, c workerCall) {
	for len(w.ended) > 0 && w.ended[0].number <= c.LastSeen {
		w.m.fleet.noted(w, w.ended[0])
		w.ended = w.ended[1:]
	}
	timer := time.NewTimer(min(time.Duration(c.Wait)*time.Millisecond, maxWait))
	defer timer.Stop()
	for over := false; len(w.ended) == 0 && !over && !w.dead; {
		newEnd := w.newEnd
		w.mu.Unlock()
		select {
		case <-newEnd:
		case <-timer.C:
			over = true
		case <-ctx.Done():
			over = true
		}
		w.mu.Lock()
	}
	if w.dead {
		return
	}
	running, finished := [][]any{}, [][]any{}
	for task, t := range w.running {
		saved := t.checkpoint(false)
		w.m.fleet.listed(task, saved)
		running = append(running, []any{task, t.number, saved, t.percent(), 0})
	}
	for _, e := range w.ended[:min(maxListed, len(w.ended))] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, e.saved})
	}
	lists := map[string]any{"clockMs": w.clock().Milliseconds(), "running": running, "finished": finished}
	if w.born > 0 {
		lists["born"] = w.born
	}
	reply(rw, http.StatusOK, lists)
}

// advance ends the runs that are over. The lock is held.
func (w *worker) advance() {
	now := time.Now()
	lapsed := w.clock() > w.leaseEnd
	for task, t := range w.running {
		switch {
		case lapsed:
			w.finish(task, t, "lapsed")
		case t.what.Gang > 0 && w.m.fleet.gangBroken(task, t):
			w.finish(task, t, "broken")
		case t.waiting && !t.stops.IsZero() && now.After(t.stops):
			w.finish(task, t, "stopped")
		case t.waiting:
			if at, complete := w.m.fleet.gangComplete(task, t); complete {
				t.waiting, t.begins = false, at
				if t.before > 0 {
					t.begins = at.Add(restoreTime)
				}
				t.ends = t.begins.Add(time.Duration(t.what.RunMillis)*time.Millisecond - t.before)
			} else if now.After(t.arrived.Add(gangTimeout)) {
				w.finish(task, t, "alone")
			}
		case now.After(t.ends) && t.fails:
			w.finish(task, t, "failed")
		case now.After(t.ends):
			w.finish(task, t, "done")
		case !t.stops.IsZero() && now.After(t.stops):
			w.finish(task, t, "stopped")
		}
	}
}

// finish ends a run. The lock is held.
func (w *worker) finish(task string, t *taskRun, how string) {
	delete(w.running, task)
	w.highest[task] = max(w.highest[task], t.number)
	w.lastEnd++
	saved := ""
	if how != "done" {
		saved = t.checkpoint(how == "stopped")
	}
	w.ended = append(w.ended, endRow{w.lastEnd, task, t.number, how, saved})
	close(w.newEnd)
	w.newEnd = make(chan struct{})
	w.m.fleet.over(w, task, t, how, saved)
}

// live advances a worker's runs and writes its entry until it is dead.
func (w *worker) live() {
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	var written time.Time
	for sequence := 1; ; {
		<-tick.C
		w.mu.Lock()
		if w.dead {
			w.mu.Unlock()
			return
		}
		w.advance()
		w.mu.Unlock()
		if time.Since(written) >= heartbeatTime {
			w.writeEntry(sequence)
			written = time.Now()
			sequence++
		}
	}
}

// writeEntry writes the worker's entry, unless its machine has another worker by now.
func (w *worker) writeEntry(sequence int) {
	w.m.fleet.mu.Lock()
	defer w.m.fleet.mu.Unlock()
	if w.m.worker != w {
		return
	}
	entry := map[string]any{
		"service": w.m.pool, "address": w.m.addr, "zone": zoneName, "version": "1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
		"sequence": sequence, "capacity": w.m.capacity(), "labels": w.m.labels(),
	}
	if w.born > 0 {
		entry["born"] = w.born
	}
	w.mu.Lock()
	if !w.leaves.IsZero() {
		entry["state"], entry["remainingMs"] = "draining", max(0, time.Until(w.leaves)).Milliseconds()
	}
	w.mu.Unlock()
	w.m.fleet.store.put("servers", w.id, entry)
}

// die ends a worker with all that runs there; it says nothing any more.
func (w *worker) die(why string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead {
		return
	}
	w.dead = true
	for task, t := range w.running {
		w.m.fleet.over(w, task, t, why, "")
	}
	w.running = nil
	close(w.newEnd)
	w.newEnd = make(chan struct{})
}

// machine is one machine. Its fields after the mutex are guarded by the fleet's.
type machine struct {
	fleet *fleet
	id    string
	addr  string
	cpu   int
	memMB int

	server *http.Server
	worker *worker
	pool   string
	state  string
	fence  int64
	wave   map[int64]bool
	lastID string
}

func (m *machine) capacity() map[string]int {
	return map[string]int{"cpu": m.cpu, "memMb": m.memMB, "gpus": 0}
}
func (m *machine) labels() []string { return []string{"a", "r-" + m.id} }

// listen opens the address of a machine's worker again, or for the first time.
func (m *machine) listen() error {
	l, err := net.Listen("tcp", m.addr)
	if err != nil {
		return err
	}
	m.addr = l.Addr().String()
	m.server = &http.Server{Handler: http.HandlerFunc(m.serve), ReadHeaderTimeout: time.Minute}
	go func(s *http.Server) { _ = s.Serve(mutableListener{l}) }(m.server)
	return nil
}

func (m *machine) serve(rw http.ResponseWriter, r *http.Request) {
	m.fleet.mu.Lock()
	w := m.worker
	m.fleet.mu.Unlock()
	if w == nil {
		reply(rw, http.StatusMisdirectedRequest, nil)
		return
	}
	w.serve(rw, r)
}

// startWorker begins the next life of a machine's worker. The fleet's lock is held.
func (m *machine) startWorker() error {
	if m.server == nil {
		if err := m.listen(); err != nil {
			return err
		}
	}
	m.fleet.lives++
	m.state = "up"
	m.worker = &worker{
		m: m, id: "i-" + strconv.FormatInt(0x100000+int64(m.fleet.lives), 16), clockZero: time.Now().Add(-time.Duration(m.fleet.lives) * time.Minute),
		running: make(map[string]*taskRun), highest: make(map[string]int), newEnd: make(chan struct{}),
	}
	if m.fleet.keepsIDs {
		m.worker.born = time.Now().UnixMilli()
		if m.lastID != "" {
			m.worker.id, m.worker.clockZero = m.lastID, time.Now()
		}
		m.lastID = m.worker.id
	}
	m.fleet.rec.say("worker %s starts on %s of %s at %s", m.worker.id, m.id, m.pool, m.addr)
	go m.worker.live()
	return nil
}
