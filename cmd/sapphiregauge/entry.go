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

// entrySettings are the settings of an entry.
type entrySettings struct {
	id, zone, http, peer, platform      string
	platkey, peerkey, opkey, level      string
	seeds                               []string
	poll, beat, row, term, round, watch time.Duration
	drain, stop                         time.Duration
}

func defaultEntry() *entrySettings {
	return &entrySettings{
		http: "127.0.0.1:8080", peer: "127.0.0.1:8081", platform: "127.0.0.1:8090", level: "info",
		poll: time.Second, beat: time.Second, row: 5 * time.Second,
		term: 3 * time.Second, round: time.Second, watch: 2 * time.Second,
		drain: 5 * time.Second, stop: 2 * time.Minute,
	}
}

func (s *entrySettings) list() conf.List {
	l := conf.List{
		{Flag: "id", Help: "name of this entry, the same after a restart", Dest: &s.id, Check: conf.Given(&s.id)},
		{Flag: "zone", Help: "data centre that this entry runs in", Dest: &s.zone, Check: conf.Given(&s.zone)},
		{Flag: "http", Help: "ip:port for callers and operators", Dest: &s.http, Check: conf.Addr(&s.http)},
		{Flag: "peer", Help: "ip:port for other entries", Dest: &s.peer, Check: conf.Addr(&s.peer)},
		{Flag: "seeds", Help: "ip:port of other entries, comma between, for a start while the table is out", Dest: &s.seeds, Check: conf.Addrs(&s.seeds)},
		{Flag: "platform", Help: "ip:port of the platform's service", Dest: &s.platform, Check: conf.Addr(&s.platform)},
		{Flag: "platkey", Help: "key for the platform", Dest: &s.platkey},
		{Flag: "peerkey", Help: "key that all entries share", Dest: &s.peerkey, Check: conf.Secret(&s.peerkey)},
		{Flag: "opkey", Help: "key that operators' commands must carry", Dest: &s.opkey, Check: conf.Secret(&s.opkey)},
		{Flag: "level", Help: "log level, info or debug", Dest: &s.level, Check: conf.OneOf(&s.level, "info", "debug")},
	}
	return append(l, s.times()...)
}

func (s *entrySettings) times() conf.List {
	return conf.List{
		{Flag: "poll", Help: "time between two reads of the newest revision", Dest: &s.poll, Check: conf.Above(&s.poll, 0)},
		{Flag: "beat", Help: "time between two heartbeats", Dest: &s.beat, Check: conf.Above(&s.beat, 0)},
		{Flag: "row", Help: "time between two writes of the member row", Dest: &s.row, Check: conf.Above(&s.row, 0)},
		{Flag: "term", Help: "length of a slot lease; more than twice --round", Dest: &s.term, Check: s.checkTerm},
		{Flag: "round", Help: "time between two renewals of slot leases", Dest: &s.round, Check: conf.Above(&s.round, 0)},
		{Flag: "watch", Help: "time between two reads of the host list", Dest: &s.watch, Check: conf.Above(&s.watch, 0)},
		{Flag: "drain", Help: "time to go on serving after SIGTERM while not ready", Dest: &s.drain, Check: conf.Above(&s.drain, -1)},
		{Flag: "stop", Help: "longest wait for requests in flight after --drain", Dest: &s.stop, Check: conf.Above(&s.stop, 0)},
	}
}

func (s *entrySettings) checkTerm(fs *gauge.Faults, field string) {
	if s.term <= 2*s.round {
		fs.Add(field, "is %s, must be above twice --round (%s), or one lost message ends the lease", s.term, s.round)
	}
}

func newEntry() *command {
	s := defaultEntry()
	return &command{
		sub: sub("entry", usageEntry), settings: s.list(),
		run: func(ctx context.Context) error { return runEntry(ctx, s) },
	}
}

func runEntry(ctx context.Context, s *entrySettings) error {
	httpL, err := net.Listen("tcp", s.http)
	if err != nil {
		return eris.Wrap(err, "entry: --http")
	}
	peerL, err := net.Listen("tcp", s.peer)
	if err != nil {
		return eris.Wrap(err, "entry: --peer")
	}
	platform := plat.New(plat.Config{Addr: s.platform, Key: s.platkey, Clock: time.Now})
	defer platform.Close()
	endOnSecond(ctx)
	return entry.New(entry.Config{
		Self: gauge.Member{ID: s.id, Run: uuid.NewString(), Zone: s.zone},
		HTTP: httpL, Peer: peerL, Seeds: s.seeds,
		Table: platform, Objects: platform, Platform: platform,
		PeerKey: []byte(s.peerkey), OperatorKey: s.opkey,
		Clock: time.Now, Logs: logs.New(os.Stderr, s.level == "debug").WithValues("entry", s.id),
		Poll: s.poll, Beat: s.beat, Row: s.row, Term: s.term, Round: s.round,
		Watch: s.watch, Drain: s.drain, Stop: s.stop,
	}).Run(ctx)
}

// endOnSecond lets a second signal end the process at once.
func endOnSecond(ctx context.Context) {
	go func() {
		<-ctx.Done()
		second := make(chan os.Signal, 1)
		signal.Notify(second, syscall.SIGTERM, syscall.SIGINT)
		<-second
		os.Exit(exitFailed)
	}()
}
