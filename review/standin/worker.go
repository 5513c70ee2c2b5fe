package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The bounds of the deployment (SYSTEM.md, DEPLOY.md).
const (
	maxHold     = 10 * time.Second
	stopTime    = 100 * time.Millisecond // at most stopTimeoutMs
	gangTimeout = 3 * time.Second
	checkpointS = time.Second
	restoreTime = 600 * time.Millisecond
	heartbeat   = 1500 * time.Millisecond
	maxListed   = 500
)

// work is what the stand-ins know of a step's tasks: how long they work, and which of them fail.
type work struct {
	Millis      int  `json:"millis"`
	Gang        int  `json:"gang,omitempty"` // members
	Checkpoints bool `json:"checkpoints,omitempty"`
}

// fleet is all workers of the site, by the pools in which they are.
type fleet struct {
	store *store
	rec   *record

	mu      sync.Mutex
	next    int
	workers map[string]*worker // the live ones, by id
	gangs   map[string]*gang
	// fails reports whether a run fails by its own fault, and after how long; nil: none does.
	fails func(task string, run int) (time.Duration, bool)
}

func newFleet(s *store, r *record) *fleet {
	return &fleet{store: s, rec: r, workers: make(map[string]*worker), gangs: make(map[string]*gang)}
}

// worker is one life of a machine.
type worker struct {
	fleet   *fleet
	id      string
	machine string
	rack    string
	pool    string
	addr    string
	server  *http.Server
	zero    time.Time
	gone    chan struct{}

	// All below is guarded by the fleet's lock: gangs span workers.
	down    bool
	fence   int64
	lease   time.Duration
	running map[string]*taskRun
	barred  map[string]int // by task: the highest run that was stopped or ended
	ended   []endRow
	number  int64
	// lapsedAt is the last end that was listed before the lease lapsed.
	lapsedAt int64
	newEnd   chan struct{}
}

type endRow struct {
	number int64
	task   string
	run    int
	how    string
	saved  string
}

type taskRun struct {
	worker  *worker
	task    string
	run     int
	work    work
	saved   time.Duration // work that its checkpoint covers
	began   time.Time     // when the present stretch of work began; zero: it doesn't work yet
	resumed time.Duration // work done before it
	gang    *gang
	timers  []*time.Timer
}

// gang is one run of the tasks of a gang step.
type gang struct {
	key     string
	members map[string]*taskRun
	working bool
}

// start begins a new life of a machine.
func (f *fleet) start(machine, pool, rack string) (*worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.next++
	w := &worker{
		fleet: f, id: fmt.Sprintf("i-%s-%d", machine, f.next), machine: machine, rack: rack, pool: pool, addr: l.Addr().String(),
		zero: time.Now().Add(-time.Duration(f.next) * time.Minute), gone: make(chan struct{}),
		running: make(map[string]*taskRun), barred: make(map[string]int), newEnd: make(chan struct{}),
	}
	f.workers[w.id] = w
	f.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("/health", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusOK) })
	for path, do := range map[string]func(call) (int, map[string]any){
		"/sapphiregauge/hold": w.hold, "/sapphiregauge/run-start": w.runStart, "/sapphiregauge/run-stop": w.runStop, "/sapphiregauge/pace": w.pace,
	} {
		mux.HandleFunc(path, w.serve(do))
	}
	w.server = &http.Server{Handler: mux}
	go func() { _ = w.server.Serve(l) }()
	go w.beat()
	go w.watchLease()
	return w, nil
}

// beat writes the worker's entry.
func (w *worker) beat() {
	for n := 1; ; n++ {
		w.fleet.store.put("servers", w.id, map[string]any{
			"service": w.pool, "address": w.addr, "zone": "hala-a", "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
			"capacity": map[string]int{"cpu": 16000, "memMb": 32768, "gpus": 0}, "labels": []string{"a", w.rack}, "clockMs": w.clock().Milliseconds(), "sequence": n,
			"machine": w.machine,
		})
		select {
		case <-w.gone:
			time.Sleep(3 * heartbeat) // its entry expires
			w.fleet.store.drop("servers", w.id)
			return
		case <-time.After(heartbeat):
		}
	}
}

// crash ends workers at one moment: all that runs there ends, and nothing is told of it.
func (f *fleet) crash(workers []*worker) {
	f.mu.Lock()
	for _, w := range workers {
		w.down = true
		delete(f.workers, w.id)
	}
	for _, w := range workers {
		for _, r := range w.running {
			f.rec.add("crashed", w, r.task, r.run, "")
			w.remove(r)
			f.leaveGang(r)
		}
	}
	f.mu.Unlock()
	for _, w := range workers {
		close(w.gone)
		_ = w.server.Close()
	}
}

func (w *worker) clock() time.Duration { return time.Since(w.zero) }

func (w *worker) watchLease() {
	for {
		select {
		case <-w.gone:
			return
		case <-time.After(10 * time.Millisecond):
		}
		w.fleet.mu.Lock()
		w.expire()
		w.fleet.mu.Unlock()
	}
}

func (w *worker) expire() {
	if w.down || w.clock() <= w.lease {
		return
	}
	w.lapsedAt = w.number // ends up to this one were listed before the lease lapsed
	for _, r := range w.running {
		w.end(r, "lapsed")
	}
}

type call struct {
	Task       string `json:"task"`
	Run        int    `json:"runId"`
	Spec       string `json:"spec"`
	Deadline   int64  `json:"deadlineMs"`
	Fence      int64  `json:"fencingToken"`
	LastSeen   int64  `json:"lastSeen"`
	Wait       int64  `json:"waitMs"`
	Checkpoint string `json:"checkpoint"`
}

func (w *worker) serve(do func(call) (int, map[string]any)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if want := r.Header.Get("Sapphiregauge-Target-Instance"); want != "" && want != w.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		var c call
		if json.Unmarshal(body, &c) != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		status, out := do(c)
		if out != nil {
			out["clockMs"] = w.clock().Milliseconds()
		}
		rw.Header().Set("Content-Type", "application/json")
		rw.WriteHeader(status)
		if out != nil {
			_ = json.NewEncoder(rw).Encode(out)
		}
	}
}

// admit checks the fence and extends the lease. The lock is held.
func (w *worker) admit(c call) bool {
	if c.Fence < w.fence {
		return false
	}
	w.fence = c.Fence
	w.expire()
	w.extend(c)
	return true
}

func (w *worker) extend(c call) {
	w.lease = max(w.lease, min(time.Duration(c.Deadline)*time.Millisecond, w.clock()+maxHold))
}

func refuse(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

func (w *worker) runStart(c call) (int, map[string]any) {
	f := w.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.down {
		return http.StatusServiceUnavailable, nil
	}
	if !w.admit(c) {
		return refuse("fence")
	}
	if r := w.running[c.Task]; r != nil && r.run == c.Run {
		return http.StatusOK, map[string]any{}
	}
	if time.Duration(c.Deadline)*time.Millisecond < w.clock() {
		return refuse("late")
	}
	if c.Run <= w.barred[c.Task] || w.running[c.Task] != nil {
		return refuse("old")
	}
	var wk work
	if json.Unmarshal([]byte(c.Spec), &wk) != nil {
		return http.StatusBadRequest, nil
	}
	r := &taskRun{worker: w, task: c.Task, run: c.Run, work: wk, saved: savedWork(c.Checkpoint)}
	w.running[c.Task] = r
	more := "checkpoint=" + strconv.Quote(c.Checkpoint)
	if wk.Gang > 0 {
		more += " gang"
	}
	f.rec.add("started", w, c.Task, c.Run, more)
	if wk.Gang > 0 {
		f.joinGang(r)
		return http.StatusOK, map[string]any{}
	}
	f.begin(r)
	return http.StatusOK, map[string]any{}
}

// savedWork returns the work that a checkpoint covers.
func savedWork(checkpoint string) time.Duration {
	if len(checkpoint) < 8 {
		return 0
	}
	ms, _ := strconv.ParseInt(checkpoint[:8], 16, 64)
	return time.Duration(ms) * time.Millisecond
}

// checkpoint returns the newest checkpoint of a run, written as on the page: the work that it covers
// and the end of the job's id. It is the same for all members of a gang that works.
func (r *taskRun) checkpoint(atStop bool) string {
	if !r.work.Checkpoints {
		return ""
	}
	saved := r.saved
	if done := r.done(); atStop {
		saved = max(saved, done)
	} else {
		saved = max(saved, done.Truncate(checkpointS))
	}
	if saved == 0 {
		return ""
	}
	return fmt.Sprintf("%08x%s", saved.Milliseconds(), r.task[8:16])
}

// done returns the work that a run has done, with what it resumed from.
func (r *taskRun) done() time.Duration {
	if r.began.IsZero() {
		return r.saved
	}
	return min(r.resumed+max(0, time.Since(r.began)), r.total())
}

func (r *taskRun) total() time.Duration { return time.Duration(r.work.Millis) * time.Millisecond }

// begin has a run work from now on. The lock is held.
func (f *fleet) begin(r *taskRun) {
	r.resumed, r.began = r.saved, time.Now()
	if r.saved > 0 {
		r.began = r.began.Add(restoreTime)
	}
	left := r.total() - r.saved + time.Until(r.began)
	how := "done"
	if f.fails != nil {
		if after, fails := f.fails(r.task, r.run); fails {
			left, how = after, "failed"
		}
	}
	r.timers = append(r.timers, time.AfterFunc(left, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if r.worker.running[r.task] == r && !r.worker.down {
			r.worker.end(r, how)
		}
	}))
}

// gangKey names the run of a gang: its step and the run's number.
func gangKey(task string, run int) string {
	return fmt.Sprintf("%s#%d", task[:strings.LastIndexByte(task, '.')], run)
}

func (f *fleet) joinGang(r *taskRun) {
	key := gangKey(r.task, r.run)
	g := f.gangs[key]
	if g == nil {
		g = &gang{key: key, members: make(map[string]*taskRun)}
		f.gangs[key] = g
	}
	r.gang = g
	g.members[r.task] = r
	if len(g.members) == r.work.Gang {
		g.working = true
		for _, m := range g.members {
			f.begin(m)
		}
		return
	}
	r.timers = append(r.timers, time.AfterFunc(gangTimeout, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if !g.working && r.worker.running[r.task] == r && !r.worker.down {
			r.worker.end(r, "alone")
		}
	}))
}

// leaveGang ends the other members of a gang of which one has ended. The lock is held.
func (f *fleet) leaveGang(r *taskRun) {
	g := r.gang
	if g == nil || g.members[r.task] != r {
		return
	}
	delete(g.members, r.task)
	if !g.working {
		return
	}
	for _, m := range g.members {
		if m.worker.running[m.task] == m && !m.worker.down {
			m.worker.end(m, "broken")
		}
	}
}

// remove removes a run without an end. The lock is held.
func (w *worker) remove(r *taskRun) {
	for _, t := range r.timers {
		t.Stop()
	}
	delete(w.running, r.task)
	w.barred[r.task] = max(w.barred[r.task], r.run)
}

// end ends a run and lists its end. The lock is held.
func (w *worker) end(r *taskRun, how string) {
	f := w.fleet
	if how == "done" && r.gang != nil { // all members end done together
		for _, m := range r.gang.members {
			m.gang = nil
			m.worker.list(m, how)
		}
		return
	}
	w.list(r, how)
	f.leaveGang(r)
}

func (w *worker) list(r *taskRun, how string) {
	saved := ""
	if how != "done" {
		saved = r.checkpoint(how == "stopped")
	}
	w.remove(r)
	w.number++
	w.ended = append(w.ended, endRow{w.number, r.task, r.run, how, saved})
	w.fleet.rec.add("ended "+how, w, r.task, r.run, "checkpoint="+strconv.Quote(saved))
	close(w.newEnd)
	w.newEnd = make(chan struct{})
}

func (w *worker) runStop(c call) (int, map[string]any) {
	f := w.fleet
	f.mu.Lock()
	if w.down {
		f.mu.Unlock()
		return http.StatusServiceUnavailable, nil
	}
	if !w.admit(c) {
		f.mu.Unlock()
		return refuse("fence")
	}
	w.barred[c.Task] = max(w.barred[c.Task], c.Run)
	if r := w.running[c.Task]; r != nil && r.run <= c.Run {
		time.AfterFunc(stopTime, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			if w.running[r.task] == r && !w.down {
				w.end(r, "stopped")
			}
		})
	}
	f.mu.Unlock()
	return http.StatusOK, map[string]any{}
}

func (w *worker) pace(c call) (int, map[string]any) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	if !w.admit(c) {
		return refuse("fence")
	}
	return http.StatusOK, map[string]any{}
}

func (w *worker) hold(c call) (int, map[string]any) {
	f := w.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.down {
		return http.StatusServiceUnavailable, nil
	}
	if !w.admit(c) {
		return refuse("fence")
	}
	for len(w.ended) > 0 && w.ended[0].number <= c.LastSeen {
		e := w.ended[0]
		if e.number > w.lapsedAt {
			f.rec.add("noted "+e.how, w, e.task, e.run, "")
		} else {
			f.rec.add("noted after a lapse", w, e.task, e.run, e.how)
		}
		w.ended = w.ended[1:]
	}
	limit := time.After(time.Duration(min(c.Wait, 2000)) * time.Millisecond)
	for waiting := true; waiting && len(w.ended) == 0 && !w.down; {
		newEnd := w.newEnd
		f.mu.Unlock()
		select {
		case <-newEnd:
		case <-limit:
			waiting = false
		case <-w.gone:
		}
		f.mu.Lock()
	}
	if w.down {
		return http.StatusServiceUnavailable, nil
	}
	w.expire()
	running, ended := [][]any{}, [][]any{}
	for _, r := range w.running {
		percent := int(100 * r.done() / max(1, r.total()))
		running = append(running, []any{r.task, r.run, r.checkpoint(false), percent, 0})
	}
	for _, e := range w.ended[:min(maxListed, len(w.ended))] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, e.saved})
	}
	return http.StatusOK, map[string]any{"running": running, "finished": ended}
}
