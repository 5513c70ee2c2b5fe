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
	"sapphiregauge/internal/budget"
	"sapphiregauge/internal/burn"
	"sapphiregauge/internal/claim"
	"sapphiregauge/internal/ctrl"
	"sapphiregauge/internal/fill"
	"sapphiregauge/internal/follow"
	"sapphiregauge/internal/holds"
	"sapphiregauge/internal/httpd"
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
	MemoryBytes int // memory that the process may use; default 1 GiB
	MaxFiles    int // file descriptors that the process may open; default 4,096

	PollInterval      time.Duration // interval between reads of the table's head row
	HeartbeatInterval time.Duration // interval between heartbeats
	MemberRowInterval time.Duration // interval between writes of the member row
	LeaseDuration     time.Duration // of a slot lease
	RoundInterval     time.Duration // interval between slot lease renewals and controller rounds
	ListInterval      time.Duration // interval between reads of the platform's host list
	// DrainDelay is how long the load balancer may take to notice that this entry is not ready.
	DrainDelay      time.Duration
	ShutdownTimeout time.Duration // longest wait for requests in flight at shutdown
}

// Entry is one entry process.
type Entry struct {
	conf     Config
	mesh     *mesh.Node
	member   *member.Keeper
	follow   *follow.Follower
	broker   *broker.Broker
	claims   *claim.Claims
	sender   *send.Sender
	server   *serve.Server
	apply    *apply.Applier
	orphan   *orphan.Finder
	ctrl     *ctrl.Controller
	meter    *meter.Meter
	burn     *burn.Recorder
	promises *holds.Recorder
	log      *revlog.Log
	app      *fiber.App
	http     *httpd.Server

	filled   map[string]bool // pools that once had the promised hosts; used only by watchHosts
	draining atomic.Bool
	hostList atomic.Pointer[hostList]
}

// hostList is the platform's host list, and the time just before the call that read it.
type hostList struct {
	list gauge.HostList
	at   time.Time
}

// maxFrame bounds a message between entries.
const maxFrame = 16 << 20 // bytes

// receiveBuffer is that of each connection, in bytes: a body of 16 MiB from far away must arrive in
// time.
const receiveBuffer = 64 << 10

// What the process may use by default.
const (
	DefaultMemoryBytes = 1 << 30
	DefaultMaxFiles    = 4096
)

// New returns an Entry that doesn't run yet.
func New(c Config) *Entry {
	fill.Zero(&c.MemoryBytes, DefaultMemoryBytes)
	fill.Zero(&c.MaxFiles, DefaultMaxFiles)
	c.Self.HTTP = c.HTTP.Addr().String()
	c.Self.Peer = c.Peer.Addr().String()
	e := &Entry{
		conf: c, meter: meter.New(), log: revlog.New(c.Table),
		burn: burn.New(c.Clock), promises: holds.New(c.Clock), filled: make(map[string]bool),
	}
	e.hostList.Store(&hostList{})
	budgets := budget.Divide(budget.MachineConfig{Memory: c.MemoryBytes, Files: c.MaxFiles, ReceiveBuffer: receiveBuffer, Count: e.meter.CountEvent})
	e.mesh = mesh.New(mesh.Config{Key: c.PeerKey, Limit: maxFrame, Budget: budgets.Peers})
	e.follow = follow.New(follow.Config{
		Log: e.log, PollInterval: c.PollInterval, Clock: c.Clock, Logs: c.Logs.WithName("follow"),
		FetchFromPeers: e.fetchFromPeers, OnAdopted: e.onAdopted,
	})
	e.member = member.New(member.Config{
		Self: c.Self, Table: c.Table, Peers: e.mesh, Clock: c.Clock, Logs: c.Logs.WithName("member"),
		Beat: c.HeartbeatInterval, Row: c.MemberRowInterval, Seeds: c.Seeds,
		Revision: e.revision, Newer: func(r int64) { e.follow.Wake(r) },
	})
	e.broker = broker.New(broker.Config{
		Self: c.Self, Peers: e.mesh, View: e.member.View, Clock: c.Clock, Logs: c.Logs.WithName("broker"),
		Term: c.LeaseDuration, Round: c.RoundInterval, Seed: uint64(c.Clock().UnixNano()),
	})
	e.claims = claim.New(claim.Config{Entry: e.name(), Table: c.Table, Objects: c.Objects, Clock: c.Clock})
	e.sender = send.New(send.Config{MaxAnswer: maxAnswer, Clock: c.Clock})
	e.server = serve.New(serve.Config{
		Clock: c.Clock, Logs: c.Logs.WithName("serve"), State: e.follow.State, IsStateCurrent: e.follow.IsCurrent, Allocator: e.broker.Allocator,
		Dispatcher: e.sender, Claims: e.claims, Meter: e.meter, Burn: e.burn, Promises: e.promises, MayBeAlive: e.mayBeAlive,
	})
	e.apply = apply.New(apply.Config{Log: e.log, State: e.follow.State, Decoder: schema.New(), Notices: place.New().Unplaceable})
	e.orphan = orphan.New(orphan.Config{
		Logs: c.Logs.WithName("orphan"), ScanInterval: c.MemberRowInterval, IsScanner: func() bool { return e.ownsDuty("orphans") },
		UnfinishedByEntry: e.claims.UnfinishedByEntry, MayBeAlive: e.mayBeAlive, Takeover: e.server.Takeover, Sweep: e.sweepClaims,
	})
	e.ctrl = ctrl.New(ctrl.Config{
		Log: e.log, Platform: c.Platform, Planner: plan.New(plan.Config{}), State: e.follow.State,
		Leases:       lease.New(lease.Config{Entry: e.name(), Table: c.Table, Lives: e.mayBeAlive}),
		LastHostList: func() (gauge.HostList, time.Time) { l := e.hostList.Load(); return l.list, l.at },
		IsConfirmed:  e.member.IsConfirmed, OwnsDuty: e.ownsDuty, CatchUpTo: e.follow.Wake, OnHostAdded: e.meter.CountMove,
		Clock: c.Clock, Logs: c.Logs.WithName("ctrl"), RoundInterval: c.RoundInterval,
	})
	e.mesh.Handle(member.Method, e.member.Handle)
	e.mesh.Handle(broker.MethodRequest, e.broker.HandleRequest)
	e.mesh.Handle(broker.MethodGrant, e.broker.HandleGrant)
	e.mesh.Handle(stateMethod, e.handleState)
	e.mesh.Handle(reportMethod, e.handleReport)
	e.routes()
	e.http = e.newHTTPServer(budgets.Clients)
	return e
}

// maxAnswer bounds a worker's answer.
const maxAnswer = 16 << 20 // bytes

func (e *Entry) name() string { return e.conf.Self.ID + "/" + e.conf.Self.StartID }

func (e *Entry) revision() int64 { return e.follow.State().Revision }

// inForceLimit is the time within which an accepted change must be in force at every entry.
const inForceLimit = 5 * time.Second

// onAdopted is called with each new state in force, in order, and with an upper bound of the time
// since it was accepted.
func (e *Entry) onAdopted(s gauge.State, delay time.Duration) {
	e.broker.ApplyState(s)
	for _, n := range place.New().Unplaceable(s) {
		e.conf.Logs.V(1).Info(n)
	}
	e.meter.SetState("", "revision", float64(s.Revision))
	evidence := fmt.Sprintf("revision %d in force here at most %s after its acceptance", s.Revision, delay.Round(time.Millisecond))
	e.promises.RecordCheck(holds.PromptConfig, delay <= inForceLimit, evidence)
	e.promises.RecordCheck(holds.NoWorkWhenLeaving, delay <= inForceLimit, evidence)
	// Every entry that adopts a revision notifies its peers, so that the notification also
	// reaches those that the accepting entry can't connect to.
	go e.member.SendHeartbeats(context.Background())
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
	group.Go(func(context.Context) error { return e.http.Serve(e.conf.HTTP) })
	group.Go(func(inner context.Context) error {
		select {
		case <-ctx.Done():
		case <-inner.Done():
		}
		e.shutdown()
		cancel()
		return nil
	})
	e.conf.Logs.Info("entry runs", "entry", e.conf.Self.ID, "run", e.conf.Self.StartID,
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
	time.Sleep(e.conf.DrainDelay)
	ctx, cancel := context.WithTimeout(context.Background(), e.conf.ShutdownTimeout)
	defer cancel()
	err := e.server.Drain(ctx)
	e.promises.RecordCheck(holds.GracefulShutdown, err == nil, "shutdown")
	if err != nil {
		e.conf.Logs.Error(err, "stopped before all requests were done")
	}
	if err := e.http.Close(ctx); err != nil {
		e.conf.Logs.Info("HTTP server did not close in time", "reason", err.Error())
	}
	leaveCtx, cancelLeave := context.WithTimeout(context.Background(), time.Second)
	defer cancelLeave()
	if err := e.member.Leave(leaveCtx); err != nil {
		e.conf.Logs.Info("member row not dropped", "reason", err.Error())
	}
	e.mesh.Close()
	e.sender.Close()
	e.conf.Logs.Info("entry stopped")
}

// watchHosts reads the platform's host list periodically.
func (e *Entry) watchHosts(ctx context.Context) { ticks.Every(ctx, e.conf.ListInterval, e.readHosts) }

func (e *Entry) readHosts(ctx context.Context) {
	requestedAt := e.conf.Clock()
	if list, err := e.conf.Platform.List(ctx); err == nil {
		e.hostList.Store(&hostList{list: list, at: requestedAt})
		e.broker.ObserveHosts(list)
	}
	e.updateGauges()
}

// updateGauges sets the metrics that show a current state.
func (e *Entry) updateGauges() {
	for _, c := range e.broker.Counts() {
		e.meter.SetState(c.Pool, "slots_held", float64(c.Held))
		e.meter.SetState(c.Pool, "slots_used", float64(c.Used))
		e.meter.SetState(c.Pool, "waiting_quick", float64(c.Quick))
		e.meter.SetState(c.Pool, "waiting_long", float64(c.Long))
		e.meter.SetState(c.Pool, "hosts_serving", float64(c.Hosts))
		e.meter.SetState(c.Pool, "hosts_ejected", float64(c.Ejected))
	}
	e.checkPromises()
	for _, w := range e.waves() {
		e.meter.SetState(w.Pool, "wave_due", float64(w.Hosts-w.Done))
	}
	for _, r := range e.promises.Results() {
		if r.Checks > 0 { // an entry that doesn't check a promise must not report zero breaches
			e.meter.SetState("", "breaches_"+string(r.Promise), float64(r.Breaches))
		}
	}
	e.meter.SetState("", "peer_bytes", float64(e.mesh.BytesWritten()))
	commits, writes := e.claims.CommitCounts()
	e.meter.SetState("", "claim_commits", float64(commits))
	e.meter.SetState("", "claim_writes", float64(writes))
}

// mayBeAlive reports whether an entry (ID/start ID) is still among the live members.
func (e *Entry) mayBeAlive(name string) bool {
	for _, m := range e.member.View().Live {
		if m.ID+"/"+m.StartID == name {
			return true
		}
	}
	return false
}
