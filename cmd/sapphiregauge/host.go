package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	gauge "sapphiregauge"
	"sapphiregauge/internal/boot"
	"sapphiregauge/internal/conf"
	"sapphiregauge/internal/logs"
	"sapphiregauge/internal/mesh"
	"sapphiregauge/internal/meter"
	"sapphiregauge/internal/node"
	"sapphiregauge/platform"
)

const usageHost = `Run an entry on the users' machines.

Its settings come from the file that the platform places there; see platform/.
All entries are equal: each takes jobs from callers, and owns some of the pools
for as long as it renews their leases.

SIGTERM stops it gracefully: it isn't ready any more and gives up its pools at
once, or as soon as the table is quick, goes on answering callers until shortly
before the platform would kill it, and exits.

--without switches ways of deciding off, at this entry alone: to see what they are
worth on a site, or to go on without one that does harm. None of them guards a
promise. They are logged at the start. What each of them does:

  pack: tasks go to the fullest worker with room
  gather: lasting tasks of different steps go to the same workers
  scatter: lasting tasks of one step go to different workers
  deadline: jobs with the earliest objective start first
  timely: jobs that can meet their objective start before those that can't
  rest: a worker that fails what it starts gets none for a while
  finish: work is left to end on machines that are to move
  rate: pools are sized by arrivals, beside what is in sight
  standby: machines that no pool wants go to standby
  redirect: a machine on its way to standby goes to a pool instead
  overdue: late work gets machines that are left over
  early: more machines of a wave are emptied than may be down
  spared: waves leave pools alone that have too few machines
  chains: waves begin with machines that have lasting tasks, also in pools with too few
  soon: lasting tasks keep off workers that a wave is to empty
  rise: a rise in arrivals is told from a few of them
  ahead: pools are sized for the rate of arrivals when a machine has come
  balance: leases move to hosts that carry fewer
  suspect: a lease that isn't renewed is taken sooner if its holder doesn't answer
  calm: an entry that stops keeps its pools while the table is slow
  lag: an owner whose orders take long hands its pool over
  relay: jobs are stored by the owner of their pool
  backoff: callers come back the later the longer the table is away`

type hostSettings struct {
	metrics int
	without string
}

func newHost() *command {
	s := &hostSettings{metrics: 9464}
	return &command{
		sub: sub("host", usageHost),
		settings: conf.List{
			{Flag: "metrics", Help: "port of /metrics; 0: none", Dest: &s.metrics},
			{Flag: "without", Help: "ways of deciding to switch off, joined by commas; an unknown name lists all", Dest: &s.without},
		},
		run: func(ctx context.Context) error { return runHost(ctx, s) },
	}
}

const (
	// readTimeout bounds a read of the table. It takes 4 ms, in a slow spell 60 to 90
	// times as long, and more where much is read.
	readTimeout = 900 * time.Millisecond
	// tableTimeout bounds a transaction. One over two parts takes 10 ms, in a slow
	// spell 60 to 90 times as long, and more behind others.
	tableTimeout = 1500 * time.Millisecond
	// lateAnswer: a transaction without an answer for so long is looked into. It takes
	// some 10 ms; a quota of processor time that is used up delays it by 100 ms.
	lateAnswer = 300 * time.Millisecond
	// fastRead and awayRead: a read takes 4 ms, in a slow spell 60 to 90 times as
	// long; in between the answer of a transaction takes less than lateAnswer.
	fastRead = 100 * time.Millisecond
	awayRead = 500 * time.Millisecond
	// holdTimeout bounds a hold, its wait aside: a worker that doesn't answer gets
	// no extension, so it isn't taken for silent lightly.
	holdTimeout = 800 * time.Millisecond
	// orderTimeout bounds an order. A worker answers within some ms, and an order
	// without an answer is settled by another.
	orderTimeout = 300 * time.Millisecond
	// machineTimeout bounds a call to the machine service.
	machineTimeout = 1500 * time.Millisecond
	// adviceTimeout bounds a question to the advice service, which may have up to
	// thirty-two others before it.
	adviceTimeout = 3 * time.Second
	// stopMargin is kept between the end of serving and the platform's kill.
	stopMargin = 1500 * time.Millisecond
	// closeWait bounds the wait for calls in flight at the very end.
	closeWait = 800 * time.Millisecond
	// answerMargin is kept for the last answers on their way.
	answerMargin = 200 * time.Millisecond
	// releaseWait bounds giving up the leases.
	releaseWait = time.Second
	// releaseMargin is kept for it, and for the successors to begin, before the end.
	releaseMargin = 500 * time.Millisecond
)

// parts are the connected pieces of a running entry.
type parts struct {
	settings platform.Settings
	log      logr.Logger
	node     *node.Node
	front    *platform.Front
	mesh     *mesh.Node
	meter    *meter.Meter
	table    *platform.Table
	workers  *platform.Workers
	machines *platform.Machines
}

func runHost(ctx context.Context, s *hostSettings) error {
	without, err := gauge.ParseWithout(s.without)
	if err != nil {
		return err
	}
	settings, err := platform.ReadSettings()
	if err != nil {
		return eris.Wrap(err, "host")
	}
	out := logs.NewBounded(os.Stdout)
	log := logs.New(out, false).WithValues("entry", settings.Name)
	started := boot.Now()
	log.Info("start", "zone", settings.Zone, "version", version, "without", without)
	p := assemble(settings, without, log)
	p.meter.Dropped(out.Dropped)
	err = p.serve(ctx, s)
	log.Info("stop", "ran", boot.Now()-started, "dropped", out.Dropped())
	out.Close()
	return err
}

func (p *parts) serve(ctx context.Context, s *hostSettings) error {
	front, err := net.Listen("tcp", p.settings.Front)
	if err != nil {
		return eris.Wrap(err, "host: address for clients")
	}
	ready, err := net.Listen("tcp", p.settings.Ready)
	if err != nil {
		return eris.Wrap(err, "host: address for the readiness check")
	}
	peer, err := net.Listen("tcp", p.peerAddr())
	if err != nil {
		return eris.Wrap(err, "host: address for other entries")
	}
	run, stop := context.WithCancel(context.Background())
	defer stop()
	var group conc.WaitGroup
	group.Go(func() { p.logEnd("clients", p.front.Serve(front)) })
	group.Go(func() { p.logEnd("readiness", p.front.ServeReady(ready)) })
	group.Go(func() { p.logEnd("entries", p.mesh.Serve(run, peer)) })
	group.Go(func() { p.node.Run(run) })
	p.serveMetrics(s)
	p.reloadUntil(ctx)
	p.wind()
	stop()
	p.mesh.Close()
	group.Wait()
	return nil
}

// reloadUntil reads the settings again at each SIGHUP, until ctx ends. Without
// it the signal would end the process. What a running entry was started with
// stays: addresses and bounds that have changed are logged and hold from its next
// start.
func (p *parts) reloadUntil(ctx context.Context) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		}
		fresh, err := platform.ReadSettings()
		if err != nil {
			p.log.Error(err, "settings not read, the old ones hold")
			continue
		}
		p.log.Info("reload", "changed", fresh != p.settings)
	}
}

func (p *parts) peerAddr() string {
	return net.JoinHostPort(p.settings.IP, strconv.Itoa(p.settings.PeerPorts[0]))
}

// wind stops an entry so that no caller's request is cut off: other entries take
// its pools at once, callers are asked to go elsewhere, and it serves on until
// the platform has had time to look away.
func (p *parts) wind() {
	began := boot.Now()
	left := p.settings.Grace - stopMargin
	p.front.Wind(left + closeWait - answerMargin)
	p.release(max(0, left-releaseWait-releaseMargin))
	if left -= boot.Now() - began; left > 0 {
		time.Sleep(left)
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeWait)
	defer cancel()
	p.logEnd("clients", p.front.Close(ctx))
}

// release gives the pools to other entries, at once or, while the table is slow, once
// it is quick again or patience is over.
func (p *parts) release(patience time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), patience+releaseWait)
	defer cancel()
	p.node.Release(ctx, patience)
}

func (p *parts) serveMetrics(s *hostSettings) {
	if s.metrics == 0 {
		return
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(p.meter.Registry, promhttp.HandlerOpts{}))
	server := &http.Server{
		Addr: net.JoinHostPort(p.settings.IP, strconv.Itoa(s.metrics)), Handler: mux, ReadHeaderTimeout: time.Second,
	}
	go func() { p.logEnd("metrics", server.ListenAndServe()) }()
}

// logEnd tells that a server has ended, and why if that was no stop.
func (p *parts) logEnd(server string, err error) {
	if err != nil {
		p.log.Error(err, "server ended", "server", server)
	}
}

// newStart names one start of a process.
func newStart() string { return uuid.NewString()[:8] }
