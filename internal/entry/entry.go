// Package entry builds one entry process from its components and runs them as a group: if one
// fails, all stop.
package entry

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/gofiber/fiber/v3"
	"github.com/sourcegraph/conc/pool"

	gauge "sapphiregauge"
	"sapphiregauge/internal/apply"
	"sapphiregauge/internal/broker"
	"sapphiregauge/internal/burn"
	"sapphiregauge/internal/claim"
	"sapphiregauge/internal/ctrl"
	"sapphiregauge/internal/follow"
	"sapphiregauge/internal/holds"
	"sapphiregauge/internal/lease"
	"sapphiregauge/internal/member"
	"sapphiregauge/internal/mesh"
	"sapphiregauge/internal/meter"
	"sapphiregauge/internal/orphan"
	"sapphiregauge/internal/place"
	"sapphiregauge/internal/plan"
	"sapphiregauge/internal/revlog"
	"sapphiregauge/internal/schema"
	"sapphiregauge/internal/send"
	"sapphiregauge/internal/serve"
	"sapphiregauge/internal/ticks"
)

// Config sets up an Entry.
type Config struct {
	Self        gauge.Member // addresses are taken from the listeners
	HTTP        net.Listener // for callers and operators
	Peer        net.Listener // for other entries
	Seeds       []string
	Table       gauge.Table
	Objects     gauge.Objects
	Platform    gauge.Platform
	PeerKey     []byte
	OperatorKey string
	Clock       gauge.Clock
	Logs        logr.Logger

	Poll  time.Duration // interval between reads of the table's head row
	Beat  time.Duration // interval between heartbeats
	Row   time.Duration // interval between writes of the member row
	Term  time.Duration // of a slot lease
	Round time.Duration // interval between renewals of slot leases, and between controller rounds
	Watch time.Duration // interval between reads of the platform's host list
	Drain time.Duration // within which the load balancer notices that this entry is not ready
	Stop  time.Duration // longest wait for requests in flight at shutdown
}

// Entry is one entry process.
type Entry struct {
	conf   Config
	mesh   *mesh.Node
	member *member.Keeper
	follow *follow.Follower
	broker *broker.Broker
	claims *claim.Claims
	sender *send.Sender
	server *serve.Server
	apply  *apply.Applier
	orphan *orphan.Finder
	ctrl   *ctrl.Controller
	meter  *meter.Meter
	burn   *burn.Book
	holds  *holds.Book
	log    *revlog.Log
	app    *fiber.App

	filled   map[string]bool // pools that once had the promised hosts; used only by watchHosts
	draining atomic.Bool
	hostList atomic.Pointer[hostList]
}

// hostList is the platform's host list and when the call that read it was made.
type hostList struct {
	list gauge.Sightings
	at   time.Time
}

// maxFrame bounds a message between entries.
const maxFrame = 16 << 20 // bytes

// New returns an Entry that doesn't run yet.
func New(c Config) *Entry {
	c.Self.HTTP = c.HTTP.Addr().String()
	c.Self.Peer = c.Peer.Addr().String()
	e := &Entry{
		conf: c, meter: meter.New(), log: revlog.New(c.Table),
		burn: burn.New(c.Clock), holds: holds.New(c.Clock), filled: make(map[string]bool),
	}
	e.hostList.Store(&hostList{})
	e.mesh = mesh.New(mesh.Config{Key: c.PeerKey, Limit: maxFrame})
	e.follow = follow.New(follow.Config{
		Log: e.log, Every: c.Poll, Clock: c.Clock, Logs: c.Logs.WithName("follow"),
		Ask: e.askPeers, Adopted: e.onAdopted,
	})
	e.member = member.New(member.Config{
		Self: c.Self, Table: c.Table, Peers: e.mesh, Clock: c.Clock, Logs: c.Logs.WithName("member"),
		Beat: c.Beat, Row: c.Row, Seeds: c.Seeds,
		Revision: e.revision, Newer: func(r int64) { e.follow.Wake(r) },
	})
	e.broker = broker.New(broker.Config{
		Self: c.Self, Peers: e.mesh, View: e.member.View, Clock: c.Clock, Logs: c.Logs.WithName("broker"),
		Term: c.Term, Round: c.Round, Seed: uint64(c.Clock().UnixNano()),
	})
	e.claims = claim.New(claim.Config{Entry: e.name(), Table: c.Table, Objects: c.Objects, Clock: c.Clock})
	e.sender = send.New(send.Config{MaxAnswer: maxAnswer, Clock: c.Clock})
	e.server = serve.New(serve.Config{
		Clock: c.Clock, Logs: c.Logs.WithName("serve"), State: e.follow.State, IsStateCurrent: e.follow.Current, Desk: e.broker.Desk,
		Send: e.sender, Claims: e.claims, Meter: e.meter, Burn: e.burn, Holds: e.holds, MayBeAlive: e.mayBeAlive,
	})
	e.apply = apply.New(apply.Config{Log: e.log, State: e.follow.State, Decoder: schema.New(), Notices: place.New().Unplaceable})
	e.orphan = orphan.New(orphan.Config{
		Logs: c.Logs.WithName("orphan"), Every: c.Row, Mine: func() bool { return e.ownsDuty("orphans") },
		Entries: e.claims.Entries, Lives: e.mayBeAlive, Takeover: e.server.Takeover, Sweep: e.sweepClaims,
	})
	e.ctrl = ctrl.New(ctrl.Config{
		Log: e.log, Platform: c.Platform, Planner: plan.New(plan.Config{}), State: e.follow.State,
		Leases:    lease.New(lease.Config{Entry: e.name(), Table: c.Table, Lives: e.mayBeAlive}),
		Sighted:   func() (gauge.Sightings, time.Time) { s := e.hostList.Load(); return s.list, s.at },
		Confirmed: e.member.Confirmed, Mine: e.ownsDuty, Wake: e.follow.Wake, Moved: e.meter.Moved,
		Clock: c.Clock, Logs: c.Logs.WithName("ctrl"), Every: c.Round,
	})
	e.mesh.Handle(member.Method, e.member.Handle)
	e.mesh.Handle(broker.MethodAsk, e.broker.HandleAsk)
	e.mesh.Handle(broker.MethodGrant, e.broker.HandleGrant)
	e.mesh.Handle(stateMethod, e.handleState)
	e.mesh.Handle(reportMethod, e.handleReport)
	e.routes()
	return e
}

// maxAnswer bounds a worker's answer.
const maxAnswer = 16 << 20 // bytes

func (e *Entry) name() string { return e.conf.Self.ID + "/" + e.conf.Self.Run }

func (e *Entry) revision() int64 { return e.follow.State().Revision }

// inForceLimit is the time within which an accepted change must be in force at every entry.
const inForceLimit = 5 * time.Second

// onAdopted is called with each new state in force, in order, and with an upper bound of the time
// since it was accepted.
func (e *Entry) onAdopted(s gauge.State, delay time.Duration) {
	e.broker.Adopt(s)
	for _, n := range place.New().Unplaceable(s) {
		e.conf.Logs.V(1).Info(n)
	}
	e.meter.Set("", "revision", float64(s.Revision))
	evidence := fmt.Sprintf("revision %d in force here at most %s after its acceptance", s.Revision, delay.Round(time.Millisecond))
	e.holds.Note(holds.InForce, delay <= inForceLimit, evidence)
	e.holds.Note(holds.Leaving, delay <= inForceLimit, evidence)
	// Every entry that adopts a revision notifies its peers, so that the notification also
	// reaches those that the accepting entry can't connect to.
	go e.member.Tell(context.Background())
}

// Run serves until ctx ends or a component fails, then completes the requests in flight, within
// a bound, and returns the first error.
func (e *Entry) Run(ctx context.Context) error {
	inner, cancel := context.WithCancel(context.Background())
	defer cancel()
	group := pool.New().WithContext(inner).WithCancelOnError().WithFirstError()
	group.Go(func(ctx context.Context) error { return e.mesh.Serve(ctx, e.conf.Peer) })
	e.member.Join(inner)
	group.Go(asTask(e.member.Run))
	group.Go(asTask(e.follow.Run))
	group.Go(asTask(e.broker.Run))
	group.Go(asTask(e.orphan.Run))
	group.Go(asTask(e.ctrl.Run))
	group.Go(asTask(e.watchHosts))
	group.Go(func(context.Context) error {
		return e.app.Listener(e.conf.HTTP, fiber.ListenConfig{DisableStartupMessage: true})
	})
	group.Go(func(inner context.Context) error {
		select {
		case <-ctx.Done():
		case <-inner.Done():
		}
		e.shutdown()
		cancel()
		return nil
	})
	e.conf.Logs.Info("entry runs", "entry", e.conf.Self.ID, "run", e.conf.Self.Run,
		"http", e.conf.Self.HTTP, "peer", e.conf.Self.Peer, "zone", e.conf.Self.Zone)
	return group.Wait()
}

// asTask adapts a function that returns no error to the group.
func asTask(f func(context.Context)) func(context.Context) error {
	return func(ctx context.Context) error {
		f(ctx)
		return nil
	}
}

// shutdown first waits until the load balancer sends no more requests, and still accepts them
// meanwhile; then it refuses new ones, waits for those in flight and leaves the members.
func (e *Entry) shutdown() {
	e.conf.Logs.Info("entry is draining")
	e.draining.Store(true)
	time.Sleep(e.conf.Drain)
	ctx, cancel := context.WithTimeout(context.Background(), e.conf.Stop)
	defer cancel()
	err := e.server.Drain(ctx)
	e.holds.Note(holds.Graceful, err == nil, "shutdown")
	if err != nil {
		e.conf.Logs.Error(err, "stopped before all requests were done")
	}
	if err := e.app.ShutdownWithContext(ctx); err != nil {
		e.conf.Logs.Info("HTTP server did not close in time", "reason", err.Error())
	}
	leaveCtx, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	if err := e.member.Leave(leaveCtx); err != nil {
		e.conf.Logs.Info("member row not dropped", "reason", err.Error())
	}
	e.mesh.Close()
	e.sender.Close()
	e.conf.Logs.Info("entry stopped")
}

// watchHosts reads the platform's host list periodically.
func (e *Entry) watchHosts(ctx context.Context) { ticks.Every(ctx, e.conf.Watch, e.readHosts) }

func (e *Entry) readHosts(ctx context.Context) {
	requestedAt := e.conf.Clock()
	if list, err := e.conf.Platform.List(ctx); err == nil {
		e.hostList.Store(&hostList{list: list, at: requestedAt})
		e.broker.Seen(list)
	}
	e.updateGauges()
}

// updateGauges sets the metrics that show a current state.
func (e *Entry) updateGauges() {
	for _, c := range e.broker.Counts() {
		e.meter.Set(c.Pool, "slots_held", float64(c.Held))
		e.meter.Set(c.Pool, "slots_used", float64(c.Used))
		e.meter.Set(c.Pool, "waiting_quick", float64(c.Quick))
		e.meter.Set(c.Pool, "waiting_long", float64(c.Long))
		e.meter.Set(c.Pool, "hosts_serving", float64(c.Hosts))
		e.meter.Set(c.Pool, "hosts_ejected", float64(c.Ejected))
	}
	e.checkPromises()
	for _, w := range e.waves() {
		e.meter.Set(w.Pool, "wave_due", float64(w.Hosts-w.Done))
	}
	for _, l := range e.holds.Lines() {
		if l.Checks > 0 { // an entry that doesn't check a promise must not report zero breaches
			e.meter.Set("", "breaches_"+string(l.Promise), float64(l.Breaches))
		}
	}
	e.meter.Set("", "peer_bytes", float64(e.mesh.Bytes()))
	commits, writes := e.claims.Counts()
	e.meter.Set("", "claim_commits", float64(commits))
	e.meter.Set("", "claim_writes", float64(writes))
}

// mayBeAlive reports whether an entry (id/run) is still among the live members.
func (e *Entry) mayBeAlive(name string) bool {
	for _, m := range e.member.View().Live {
		if m.ID+"/"+m.Run == name {
			return true
		}
	}
	return false
}
