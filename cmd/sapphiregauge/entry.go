package main

import (
	"context"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	gauge "sapphiregauge"
	"sapphiregauge/internal/conf"
	"sapphiregauge/internal/entry"
	"sapphiregauge/internal/logs"
	"sapphiregauge/internal/plat"
)

const usageEntry = `Run an entry: the process between callers and workers.

All entries are equal. Each accepts callers and operators over HTTP, sends
requests to workers, talks to the other entries over TCP, and keeps what must
last in the platform's table and object store. Start as many as there are hosts,
with the same platform and the same keys, each with an id and its data centre.

SIGTERM stops it gracefully: it fails /readyz for as long as --drain says, still
serving, so that the balancer looks away; then it refuses new requests, finishes
those in flight and exits. A second signal ends it at once.`

// entrySettings holds the flags of the entry command.
type entrySettings struct {
	id, zone, httpAddr, peerAddr, platformAddr                                                     string
	platformKey, peerKey, operatorKey, logLevel                                                    string
	seeds                                                                                          []string
	pollInterval, heartbeatInterval, memberRowInterval, leaseDuration, roundInterval, listInterval time.Duration
	drainDelay, shutdownTimeout                                                                    time.Duration
	resources                                                                                      *resources
}

func defaultEntry() *entrySettings {
	return &entrySettings{
		httpAddr: "127.0.0.1:8080", peerAddr: "127.0.0.1:8081", platformAddr: "127.0.0.1:8090", logLevel: "info",
		pollInterval: time.Second, heartbeatInterval: time.Second, memberRowInterval: 5 * time.Second,
		leaseDuration: 3 * time.Second, roundInterval: time.Second, listInterval: 2 * time.Second,
		drainDelay: 5 * time.Second, shutdownTimeout: 2 * time.Minute, resources: defaultResources(),
	}
}

func (s *entrySettings) settings() conf.List {
	l := conf.List{
		{Flag: "id", Help: "name of this entry, the same after a restart", Dest: &s.id, Check: conf.Required(&s.id)},
		{Flag: "zone", Help: "data centre that this entry runs in", Dest: &s.zone, Check: conf.Required(&s.zone)},
		{Flag: "http", Help: "ip:port for callers and operators", Dest: &s.httpAddr, Check: conf.Addr(&s.httpAddr)},
		{Flag: "peer", Help: "ip:port for other entries", Dest: &s.peerAddr, Check: conf.Addr(&s.peerAddr)},
		{Flag: "seeds", Help: "ip:port of other entries, comma between, for a start while the table is out", Dest: &s.seeds, Check: conf.Addrs(&s.seeds)},
		{Flag: "platform", Help: "ip:port of the platform's service", Dest: &s.platformAddr, Check: conf.Addr(&s.platformAddr)},
		{Flag: "platkey", Help: "key for the platform", Dest: &s.platformKey},
		{Flag: "peerkey", Help: "key that all entries share", Dest: &s.peerKey, Check: conf.SecretKey(&s.peerKey)},
		{Flag: "opkey", Help: "key that operators' commands must carry", Dest: &s.operatorKey, Check: conf.SecretKey(&s.operatorKey)},
		{Flag: "level", Help: "log level, info or debug", Dest: &s.logLevel, Check: conf.OneOf(&s.logLevel, "info", "debug")},
	}
	return append(append(l, s.timeSettings()...), s.resources.settings()...)
}

func (s *entrySettings) timeSettings() conf.List {
	return conf.List{
		{Flag: "poll", Help: "time between two reads of the newest revision", Dest: &s.pollInterval, Check: conf.GreaterThan(&s.pollInterval, 0)},
		{Flag: "beat", Help: "time between two heartbeats", Dest: &s.heartbeatInterval, Check: conf.GreaterThan(&s.heartbeatInterval, 0)},
		{Flag: "row", Help: "time between two writes of the member row", Dest: &s.memberRowInterval, Check: conf.GreaterThan(&s.memberRowInterval, 0)},
		{Flag: "term", Help: "length of a slot lease; more than twice --round", Dest: &s.leaseDuration, Check: s.checkLeaseDuration},
		{Flag: "round", Help: "time between two renewals of slot leases", Dest: &s.roundInterval, Check: conf.GreaterThan(&s.roundInterval, 0)},
		{Flag: "watch", Help: "time between two reads of the host list", Dest: &s.listInterval, Check: conf.GreaterThan(&s.listInterval, 0)},
		{Flag: "drain", Help: "time to go on serving after SIGTERM while not ready", Dest: &s.drainDelay, Check: conf.GreaterThan(&s.drainDelay, -1)},
		{Flag: "stop", Help: "longest wait for requests in flight after --drain", Dest: &s.shutdownTimeout, Check: conf.GreaterThan(&s.shutdownTimeout, 0)},
	}
}

func (s *entrySettings) checkLeaseDuration(fs *gauge.Faults, field string) {
	if s.leaseDuration <= 2*s.roundInterval {
		fs.Add(field, "is %s, must be above twice --round (%s), or one lost message ends the lease", s.leaseDuration, s.roundInterval)
	}
}

func newEntry() *command {
	s := defaultEntry()
	return &command{
		sub: newSubcommand("entry", usageEntry), settings: s.settings(),
		run: func(ctx context.Context) error { return runEntry(ctx, s) },
	}
}

func runEntry(ctx context.Context, s *entrySettings) error {
	httpListener, err := net.Listen("tcp", s.httpAddr)
	if err != nil {
		return eris.Wrap(err, "entry: --http")
	}
	peerListener, err := net.Listen("tcp", s.peerAddr)
	if err != nil {
		return eris.Wrap(err, "entry: --peer")
	}
	platform := plat.New(plat.Config{Addr: s.platformAddr, Key: s.platformKey, Clock: time.Now})
	defer platform.Close()
	exitOnSecondSignal(ctx)
	limitHeap(s.resources.memoryBytes())
	return entry.New(entry.Config{
		Self: gauge.Member{ID: s.id, StartID: uuid.NewString(), Zone: s.zone},
		HTTP: httpListener, Peer: peerListener, Seeds: s.seeds,
		Table: platform, Objects: platform, Platform: platform,
		PeerKey: []byte(s.peerKey), OperatorKey: s.operatorKey,
		Clock: time.Now, Logs: logs.New(os.Stderr, s.logLevel == "debug").WithValues("entry", s.id),
		PollInterval: s.pollInterval, HeartbeatInterval: s.heartbeatInterval, MemberRowInterval: s.memberRowInterval, LeaseDuration: s.leaseDuration, RoundInterval: s.roundInterval,
		ListInterval: s.listInterval, DrainDelay: s.drainDelay, ShutdownTimeout: s.shutdownTimeout,
		MemoryBytes: s.resources.memoryBytes(), MaxFiles: s.resources.files,
	}).Run(ctx)
}

// exitOnSecondSignal exits the process at once on a second SIGTERM or SIGINT.
func exitOnSecondSignal(ctx context.Context) {
	go func() {
		<-ctx.Done()
		second := make(chan os.Signal, 1)
		signal.Notify(second, syscall.SIGTERM, syscall.SIGINT)
		<-second
		os.Exit(exitFailed)
	}()
}
