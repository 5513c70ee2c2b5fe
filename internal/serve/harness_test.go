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

// worker is a fake at the dispatcher's interface. Each call fails in the way
// that is next in the list.
type worker struct {
	mu   sync.Mutex
	ways []string
	runs map[string]int
	took time.Duration
}

// The ways in which a dispatch ends.
const (
	wayOK      = "ok"
	wayConnect = "connect" // no connection: nothing was sent
	wayRefuse  = "refuse"  // the worker proves that it did not run it
	wayCut     = "cut"     // it ran, the answer is lost
	wayError   = "error"   // it ran and failed
	waySlow    = "slow"    // it runs past the deadline
)

func (w *worker) next() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.ways) == 0 {
		return wayOK
	}
	way := w.ways[0]
	w.ways = w.ways[1:]
	return way
}

func (w *worker) ran(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[id]
}

func (w *worker) Dispatch(ctx context.Context, t gauge.Target, r *gauge.Request) (gauge.Response, gauge.Attempt, error) {
	way := w.next()
	a := gauge.Attempt{Target: t, Sent: way != wayConnect, Refused: way == wayRefuse}
	if a.MayHaveRun() {
		w.mu.Lock()
		w.runs[r.ID]++
		w.mu.Unlock()
		time.Sleep(w.took)
	}
	switch way {
	case wayConnect:
		a.Kind = gauge.KindOutage
	case wayRefuse:
		a.Kind = gauge.KindFull
	case wayCut:
		a.Kind = gauge.KindUnknown
	case wayError:
		a.Kind = gauge.KindFailed
	case waySlow:
		<-ctx.Done()
		a.Kind = gauge.KindExpired
	default:
		return gauge.Response{Status: 200, Host: t.Host, Body: r.Body}, a, nil
	}
	return gauge.Response{}, a, gauge.Fail(a.Kind, "as told")
}

// rig is some entries over one table and one fake of the workers.
type rig struct {
	db     *memdb.DB
	worker *worker
	dead   map[string]bool
	mu     sync.Mutex

	current bool     // the state is known to be the newest
	teams   []string // that are declared; none: all are let in
}

func newRig(ways ...string) *rig {
	return &rig{
		db: memdb.New(), dead: make(map[string]bool),
		worker: &worker{ways: ways, runs: make(map[string]int), took: time.Second}, current: true,
	}
}

func (g *rig) lives(entry string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.dead[entry]
}

func (g *rig) kill(entry string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dead[entry] = true
}

func state() gauge.State {
	svc, pool := &gauge.Service{Pool: "p", Tries: 3}, &gauge.Pool{Hosts: 1}
	svc.Defaults()
	pool.Defaults()
	return gauge.State{Revision: 1, Records: map[gauge.RecordID]gauge.Record{
		{Kind: gauge.RecordPool, Name: "p"}:    {Kind: gauge.RecordPool, Name: "p", Pool: pool},
		{Kind: gauge.RecordService, Name: "s"}: {Kind: gauge.RecordService, Name: "s", Service: svc},
	}}
}

// newDesk has slots leased for an hour.
func newDesk(name string) *desk.Desk {
	d := desk.New(desk.Config{
		Pool: "p", Name: name, Length: 100, Clock: time.Now,
		Random: rand.New(rand.NewPCG(1, 1)), Kick: func() {},
	})
	var hosts gauge.Hosts
	lease := slots.Grant{Pool: "p", Seq: 1, Full: true, Term: time.Hour, Free: 100}
	for i := range 4 {
		id := fmt.Sprintf("w%d", i)
		hosts = append(hosts, gauge.Host{ID: id, Rack: id, State: gauge.HostServing})
		lease.Lots = append(lease.Lots, slots.Lot{Host: id, Quick: 8, Long: 8})
	}
	d.Set(hosts, 1)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, _ = d.Acquire(ctx, gauge.ClassQuick, time.Now().Add(time.Hour), nil) // refused: nothing is leased yet
	return give(d, lease)
}

// give opens a full ask and answers it.
func give(d *desk.Desk, g slots.Grant) *desk.Desk {
	done := make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		defer close(done)
		if p, err := d.Acquire(ctx, gauge.ClassQuick, time.Now().Add(time.Hour), nil); err == nil {
			d.Release(p)
		}
	}()
	synctest.Wait()
	d.Renew()
	d.Grant(g)
	<-done
	cancel()
	return d
}

func (g *rig) entry(name string, table gauge.Table) *serve.Path {
	d := newDesk(name)
	s := state()
	for _, name := range g.teams {
		s.Records[gauge.RecordID{Kind: gauge.RecordTeam, Name: name}] = gauge.Record{Kind: gauge.RecordTeam, Name: name, Team: &gauge.Team{Quota: 1}}
	}
	return serve.New(serve.Config{
		Clock: time.Now, Logs: logr.Discard(), State: func() gauge.State { return s },
		Desk: func(pool string) *desk.Desk {
			if pool != "p" {
				return nil
			}
			return d
		},
		Send:   g.worker,
		Claims: claim.New(claim.Config{Entry: name, Table: table, Objects: g.db, Clock: time.Now}),
		Meter:  meter.New(), Lives: g.lives, Current: func() bool { return g.current },
		Burn: burn.New(time.Now), Holds: holds.New(time.Now),
	})
}

func request(key string, repeatable bool) *gauge.Request {
	return &gauge.Request{
		ID: key, Team: "t", Service: "s", Class: gauge.ClassQuick, Repeatable: repeatable,
		Body: []byte("of " + key), Deadline: time.Now().Add(20 * time.Second),
	}
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }
