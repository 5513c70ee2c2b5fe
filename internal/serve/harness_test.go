package serve_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"

	gauge "sapphiregauge"
	"sapphiregauge/internal/burn"
	"sapphiregauge/internal/claim"
	"sapphiregauge/internal/desk"
	"sapphiregauge/internal/holds"
	"sapphiregauge/internal/memdb"
	"sapphiregauge/internal/meter"
	"sapphiregauge/internal/serve"
	"sapphiregauge/internal/slots"
)

// worker is a fake gauge.Dispatcher. Each call has the next outcome of the list; when the
// list is used up, calls succeed.
type worker struct {
	mu       sync.Mutex
	outcomes []string
	runs     map[string]int
	runTime  time.Duration
}

// Outcomes of a dispatch.
const (
	outcomeOK           = "ok"
	outcomeNoConnection = "connect" // no connection: nothing was sent
	outcomeRefused      = "refuse"  // the worker states that it did not run the request
	outcomeAnswerLost   = "cut"     // the request ran, the answer was lost
	outcomeError        = "error"   // the request ran and failed
	outcomeSlow         = "slow"    // the request runs past its deadline
)

func (w *worker) nextOutcome() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.outcomes) == 0 {
		return outcomeOK
	}
	outcome := w.outcomes[0]
	w.outcomes = w.outcomes[1:]
	return outcome
}

func (w *worker) runCount(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[id]
}

func (w *worker) Dispatch(ctx context.Context, t gauge.Target, r *gauge.Request) (gauge.Response, gauge.Attempt, error) {
	outcome := w.nextOutcome()
	a := gauge.Attempt{Target: t, Sent: outcome != outcomeNoConnection, Refused: outcome == outcomeRefused}
	if a.MayHaveRun() {
		w.mu.Lock()
		w.runs[r.ID]++
		w.mu.Unlock()
		time.Sleep(w.runTime)
	}
	switch outcome {
	case outcomeNoConnection:
		a.Kind = gauge.KindOutage
	case outcomeRefused:
		a.Kind = gauge.KindNoSlot
	case outcomeAnswerLost:
		a.Kind = gauge.KindUnknown
	case outcomeError:
		a.Kind = gauge.KindFailed
	case outcomeSlow:
		<-ctx.Done()
		a.Kind = gauge.KindExpired
	default:
		return gauge.Response{Status: 200, Host: t.Host, Body: r.Body}, a, nil
	}
	return gauge.Response{}, a, gauge.Errorf(a.Kind, "as configured")
}

// harness holds entries that share one table and one fake worker.
type harness struct {
	db     *memdb.DB
	worker *worker
	dead   map[string]bool
	mu     sync.Mutex

	current bool     // the state is known to be the newest
	teams   []string // declared teams; with none, every team is admitted
}

func newHarness(outcomes ...string) *harness {
	return &harness{
		db: memdb.New(), dead: make(map[string]bool),
		worker: &worker{outcomes: outcomes, runs: make(map[string]int), runTime: time.Second}, current: true,
	}
}

func (h *harness) isAlive(entry string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.dead[entry]
}

func (h *harness) kill(entry string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dead[entry] = true
}

func state() gauge.State {
	svc, pool := &gauge.Service{Pool: "p", MaxTries: 3}, &gauge.Pool{Hosts: 1}
	svc.SetDefaults()
	pool.SetDefaults()
	return gauge.State{Revision: 1, Records: map[gauge.RecordID]gauge.Record{
		{Kind: gauge.RecordPool, Name: "p"}:    {Kind: gauge.RecordPool, Name: "p", Pool: pool},
		{Kind: gauge.RecordService, Name: "s"}: {Kind: gauge.RecordService, Name: "s", Service: svc},
	}}
}

// newAllocator returns an allocator with slots leased for an hour.
func newAllocator(name string) *desk.Allocator {
	a := desk.New(desk.Config{
		Pool: "p", Holder: name, MaxWaiting: 100, Clock: time.Now,
		Random: rand.New(rand.NewPCG(1, 1)), RequestSoon: func() {},
	})
	var hosts gauge.Hosts
	lease := slots.Grant{Pool: "p", Seq: 1, Full: true, LeaseDuration: time.Hour, MaxIdle: 100}
	for i := range 4 {
		id := fmt.Sprintf("w%d", i)
		hosts = append(hosts, gauge.Host{ID: id, Rack: id, State: gauge.HostServing})
		lease.Slots = append(lease.Slots, slots.HostSlots{Host: id, Quick: 8, Long: 8})
	}
	a.SetHosts(hosts, 1)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, _ = a.Acquire(ctx, gauge.ClassQuick, time.Now().Add(time.Hour), nil) // refused: nothing is leased yet
	return grantLease(a, lease)
}

// grantLease makes the allocator send a full lease request and grants it.
func grantLease(a *desk.Allocator, lease slots.Grant) *desk.Allocator {
	done := make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		defer close(done)
		if slot, err := a.Acquire(ctx, gauge.ClassQuick, time.Now().Add(time.Hour), nil); err == nil {
			a.Release(slot)
		}
	}()
	synctest.Wait()
	a.RenewRequest()
	a.ApplyGrant(lease)
	<-done
	cancel()
	return a
}

func (h *harness) entry(name string, table gauge.Table) *serve.Server {
	a := newAllocator(name)
	s := state()
	for _, name := range h.teams {
		s.Records[gauge.RecordID{Kind: gauge.RecordTeam, Name: name}] = gauge.Record{Kind: gauge.RecordTeam, Name: name, Team: &gauge.Team{Quota: 1}}
	}
	return serve.New(serve.Config{
		Clock: time.Now, Logs: logr.Discard(), State: func() gauge.State { return s },
		Allocator: func(pool string) *desk.Allocator {
			if pool != "p" {
				return nil
			}
			return a
		},
		Dispatcher: h.worker,
		Claims:     claim.New(claim.Config{Entry: name, Table: table, Objects: h.db, Clock: time.Now}),
		Meter:      meter.New(), MayBeAlive: h.isAlive, IsStateCurrent: func() bool { return h.current },
		Burn: burn.New(time.Now), Promises: holds.New(time.Now),
	})
}

func request(key string, repeatable bool) *gauge.Request {
	return &gauge.Request{
		ID: key, Team: "t", Service: "s", Class: gauge.ClassQuick, Repeatable: repeatable,
		Body: []byte("of " + key), Deadline: time.Now().Add(20 * time.Second),
	}
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }
