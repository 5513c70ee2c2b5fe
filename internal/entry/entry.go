// Package entry puts one entry process together from its parts and runs them as
// one group that stops together.
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

	Poll  time.Duration // between two reads of the table's head
	Beat  time.Duration // between two heartbeats
	Row   time.Duration // between two writes of the member row
	Term  time.Duration // of a slot lease
	Round time.Duration // between two renewals of slot leases
	Watch time.Duration // between two reads of the platform's host list
	Drain time.Duration // how long the balancer needs to see that this entry is not ready
	Stop  time.Duration // longest wait for requests in flight
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
	path   *serve.Server
	apply  *apply.Applier
	orphan *orphan.Finder
	ctrl   *ctrl.Controller
	meter  *meter.Meter
	burn   *burn.Book
	holds  *holds.Book
	log    *revlog.Log
	app    *fiber.App

	filled   map[string]bool // pools that have had what they were promised; of watch alone
	draining atomic.Bool
	sighted  atomic.Pointer[sighted]
}

// sighted is the platform's list and when it was read.
type sighted struct {
	list gauge.Sightings
	at   time.Time
}

const frameLimit = 16 << 20

// New puts an Entry together; nothing runs yet.
func New(c Config) *Entry {
	c.Self.HTTP = c.HTTP.Addr().String()
	c.Self.Peer = c.Peer.Addr().String()
	e := &Entry{
		conf: c, meter: meter.New(), log: revlog.New(c.Table),
		burn: burn.New(c.Clock), holds: holds.New(c.Clock), filled: make(map[string]bool),
	}
	e.sighted.Store(&sighted{})
	e.mesh = mesh.New(mesh.Config{Key: c.PeerKey, Limit: frameLimit})
	e.follow = follow.New(follow.Config{
		Log: e.log, Every: c.Poll, Clock: c.Clock, Logs: c.Logs.WithName("follow"),
		Ask: e.askPeers, Adopted: e.adopted,
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
	e.sender = send.New(send.Config{MaxAnswer: answerLimit, Clock: c.Clock})
	e.path = serve.New(serve.Config{
		Clock: c.Clock, Logs: c.Logs.WithName("serve"), State: e.follow.State, IsStateCurrent: e.follow.Current, Desk: e.broker.Desk,
		Send: e.sender, Claims: e.claims, Meter: e.meter, Burn: e.burn, Holds: e.holds, MayBeAlive: e.lives,
	})
	e.apply = apply.New(apply.Config{Log: e.log, State: e.follow.State, Decoder: schema.New(), Notices: place.New().Unplaceable})
	e.orphan = orphan.New(orphan.Config{
		Logs: c.Logs.WithName("orphan"), Every: c.Row, Mine: func() bool { return e.mine("orphans") },
		Entries: e.claims.Entries, Lives: e.lives, Takeover: e.path.Takeover, Sweep: e.sweep,
	})
	e.ctrl = ctrl.New(ctrl.Config{
		Log: e.log, Platform: c.Platform, Planner: plan.New(plan.Config{}), State: e.follow.State,
		Leases:    lease.New(lease.Config{Entry: e.name(), Table: c.Table, Lives: e.lives}),
		Sighted:   func() (gauge.Sightings, time.Time) { s := e.sighted.Load(); return s.list, s.at },
		Confirmed: e.member.Confirmed, Mine: e.mine, Wake: e.follow.Wake, Moved: e.meter.Moved,
		Clock: c.Clock, Logs: c.Logs.WithName("ctrl"), Every: c.Round,
	})
	e.mesh.Handle(member.Method, e.member.Handle)
	e.mesh.Handle(broker.MethodAsk, e.broker.HandleAsk)
	e.mesh.Handle(broker.MethodGrant, e.broker.HandleGrant)
	e.mesh.Handle(stateMethod, e.handState)
	e.mesh.Handle(reportMethod, e.handReport)
	e.routes()
	return e
}

const answerLimit = 16 << 20

func (e *Entry) name() string { return e.conf.Self.ID + "/" + e.conf.Self.Run }

func (e *Entry) revision() int64 { return e.follow.State().Revision }

// forceLimit is within how long a change is to be in force everywhere.
const forceLimit = 5 * time.Second

// adopted is called with each new state in force, in order.
func (e *Entry) adopted(s gauge.State, behind time.Duration) {
	e.broker.Adopt(s)
	for _, n := range place.New().Unplaceable(s) {
		e.conf.Logs.V(1).Info(n)
	}
	e.meter.Set("", "revision", float64(s.Revision))
	evidence := fmt.Sprintf("revision %d in force here at most %s after its acceptance", s.Revision, behind.Round(time.Millisecond))
	e.holds.Note(holds.InForce, behind <= forceLimit, evidence)
	e.holds.Note(holds.Leaving, behind <= forceLimit, evidence)
	// The word goes on from each entry that adopts, so that it also reaches
	// those that the accepting entry has no link to.
	go e.member.Tell(context.Background())
}

// Run serves until ctx ends, then finishes what is in flight and returns.
func (e *Entry) Run(ctx context.Context) error {
	inner, cancel := context.WithCancel(context.Background())
	defer cancel()
	group := pool.New().WithContext(inner).WithCancelOnError().WithFirstError()
	group.Go(func(ctx context.Context) error { return e.mesh.Serve(ctx, e.conf.Peer) })
	e.member.Join(inner)
	group.Go(runs(e.member.Run))
	group.Go(runs(e.follow.Run))
	group.Go(runs(e.broker.Run))
	group.Go(runs(e.orphan.Run))
	group.Go(runs(e.ctrl.Run))
	group.Go(runs(e.watch))
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

func runs(f func(context.Context)) func(context.Context) error {
	return func(ctx context.Context) error {
		f(ctx)
		return nil
	}
}

// shutdown lets the balancer look away first, while requests are still taken;
// then refuses new ones, waits for those in flight and leaves.
func (e *Entry) shutdown() {
	e.conf.Logs.Info("entry is draining")
	e.draining.Store(true)
	time.Sleep(e.conf.Drain)
	ctx, cancel := context.WithTimeout(context.Background(), e.conf.Stop)
	defer cancel()
	err := e.path.Drain(ctx)
	e.holds.Note(holds.Graceful, err == nil, "shutdown")
	if err != nil {
		e.conf.Logs.Error(err, "stopped before all requests were done")
	}
	if err := e.app.ShutdownWithContext(ctx); err != nil {
		e.conf.Logs.Info("HTTP server did not close in time", "reason", err.Error())
	}
	leave, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	if err := e.member.Leave(leave); err != nil {
		e.conf.Logs.Info("member row not dropped", "reason", err.Error())
	}
	e.mesh.Close()
	e.sender.Close()
	e.conf.Logs.Info("entry stopped")
}

// watch reads the platform's host list again and again.
func (e *Entry) watch(ctx context.Context) { ticks.Every(ctx, e.conf.Watch, e.readList) }

func (e *Entry) readList(ctx context.Context) {
	asked := e.conf.Clock()
	if list, err := e.conf.Platform.List(ctx); err == nil {
		e.sighted.Store(&sighted{list: list, at: asked})
		e.broker.Seen(list)
	}
	e.measure()
}

// measure sets the metrics that tell a state.
func (e *Entry) measure() {
	for _, c := range e.broker.Counts() {
		e.meter.Set(c.Pool, "slots_held", float64(c.Held))
		e.meter.Set(c.Pool, "slots_used", float64(c.Used))
		e.meter.Set(c.Pool, "waiting_quick", float64(c.Quick))
		e.meter.Set(c.Pool, "waiting_long", float64(c.Long))
		e.meter.Set(c.Pool, "hosts_serving", float64(c.Hosts))
		e.meter.Set(c.Pool, "hosts_ejected", float64(c.Ejected))
	}
	e.look()
	for _, w := range e.waves() {
		e.meter.Set(w.Pool, "wave_due", float64(w.Hosts-w.Done))
	}
	for _, l := range e.holds.Lines() {
		if l.Checks > 0 { // a promise that is not looked at here has no zero to show
			e.meter.Set("", "breaches_"+string(l.Promise), float64(l.Breaches))
		}
	}
	e.meter.Set("", "peer_bytes", float64(e.mesh.Bytes()))
	commits, writes := e.claims.Counts()
	e.meter.Set("", "claim_commits", float64(commits))
	e.meter.Set("", "claim_writes", float64(writes))
}

// lives tells whether an entry (id/run) is known still.
func (e *Entry) lives(name string) bool {
	for _, m := range e.member.View().Live {
		if m.ID+"/"+m.Run == name {
			return true
		}
	}
	return false
}
