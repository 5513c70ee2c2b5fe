package main

import (
	"context"
	"net"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	gauge "sapphiregauge"
	"sapphiregauge/internal/boot"
	"sapphiregauge/internal/conf"
	"sapphiregauge/internal/httpd"
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
  backoff: callers come back the later the longer the table is away
  shares: what client accounts submit beyond their weight starts after all else
  fair: in a full pool accounts that use less than their share of it go first
  triage: whether a job can still meet its objective is told by learnt run times
  admit: jobs that can't be served in time are refused
  copies: runs that lag behind their step get a speculative copy
  slow: workers that are slow or stand still get fewer starts`

type hostSettings struct {
	metrics  int
	disabled string
}

func newHost() *command {
	s := &hostSettings{metrics: 9464}
	return &command{
		sub: newSubcommand("host", usageHost),
		settings: conf.List{
			{Flag: "metrics", Help: "port of /metrics; 0: none", Dest: &s.metrics},
			{Flag: "without", Help: "ways of deciding to switch off, joined by commas; an unknown name lists all", Dest: &s.disabled},
		},
		run: func(ctx context.Context) error { return runHost(ctx, s) },
	}
}

const (
	// readTimeout bounds a read of the table. A read takes 4 ms, 60 to 90 times as long in a slow
	// period, and more when it returns many rows.
	readTimeout = 900 * time.Millisecond
	// commitTimeout bounds a transaction. One over two partitions takes 10 ms, 60 to 90 times as
	// long in a slow period, and more when it queues behind others.
	commitTimeout = 1500 * time.Millisecond
	// commitCheckDelay is how long a transaction may go without a response before its outcome is
	// checked. A transaction takes about 10 ms; a used-up CPU quota delays it by 100 ms.
	commitCheckDelay = 300 * time.Millisecond
	// maxFastRead is the longest read that shows that the table isn't slow; a read that takes
	// longer than probeReadTimeout shows that the table is unreachable. A read takes 4 ms, 60 to 90
	// times as long in a slow period; in between, a response to a transaction takes less than
	// commitCheckDelay.
	maxFastRead      = 100 * time.Millisecond
	probeReadTimeout = 500 * time.Millisecond
	// heartbeatTimeout bounds a heartbeat call to a worker, in addition to its long-polling wait. A
	// worker that doesn't answer gets no lease extension, so a short delay mustn't make it count as
	// silent.
	heartbeatTimeout = 800 * time.Millisecond
	// orderTimeout bounds an order to a worker. A worker answers within a few ms, and an order
	// without an answer is settled by a further order.
	orderTimeout = 300 * time.Millisecond
	// machineTimeout bounds a call to the machine service.
	machineTimeout = 1500 * time.Millisecond
	// adviceTimeout bounds a call to the advice service, where up to thirty-two other calls may be
	// queued before it.
	adviceTimeout = 3 * time.Second
	// stopMargin is the time between the end of serving and the time at which the platform kills
	// the process.
	stopMargin = 1500 * time.Millisecond
	// closeTimeout bounds the final wait for calls in flight.
	closeTimeout = 800 * time.Millisecond
	// responseMargin is reserved for sending the last responses.
	responseMargin = 200 * time.Millisecond
	// releaseTimeout bounds the release of the leases.
	releaseTimeout = time.Second
	// releaseMargin is reserved after the release, so that the successors start before serving
	// ends.
	releaseMargin = 500 * time.Millisecond
)

// components holds the connected components of a running entry.
type components struct {
	settings platform.Settings
	log      logr.Logger
	node     *node.Node
	front    *platform.Frontend
	mesh     *mesh.Node
	meter    *meter.Meter
	metrics  *httpd.Server
	table    *platform.Table
	workers  *platform.Workers
	machines *platform.Machines
}

func runHost(ctx context.Context, s *hostSettings) error {
	disabled, err := gauge.ParseDisabled(s.disabled)
	if err != nil {
		return err
	}
	settings, err := platform.ReadSettings()
	if err != nil {
		return eris.Wrap(err, "host")
	}
	out := logs.NewBoundedWriter(os.Stdout)
	log := logs.New(out, false).WithValues("entry", settings.NodeName)
	started := boot.Now()
	log.Info("start", "zone", settings.Zone, "version", version, "without", disabled)
	limitHeap(settings.MemoryBytes)
	c := assemble(settings, disabled, log)
	c.meter.RegisterDroppedLines(out.Dropped)
	err = c.serveAll(ctx, s)
	log.Info("stop", "ran", boot.Now()-started, "dropped", out.Dropped())
	out.Close()
	return err
}

func (c *components) serveAll(ctx context.Context, s *hostSettings) error {
	front, err := net.Listen("tcp", c.settings.FrontendAddr)
	if err != nil {
		return eris.Wrap(err, "host: address for clients")
	}
	ready, err := net.Listen("tcp", c.settings.ReadyAddr)
	if err != nil {
		return eris.Wrap(err, "host: address for the readiness check")
	}
	peer, err := net.Listen("tcp", c.peerAddr())
	if err != nil {
		return eris.Wrap(err, "host: address for other entries")
	}
	run, stop := context.WithCancel(context.Background())
	defer stop()
	var group conc.WaitGroup
	group.Go(func() { c.logEnd("clients", c.front.Serve(front)) })
	group.Go(func() { c.logEnd("readiness", c.front.ServeReady(ready)) })
	group.Go(func() { c.logEnd("entries", c.mesh.Serve(run, peer)) })
	group.Go(func() { c.node.Run(run) })
	group.Go(func() { c.logEnd("metrics", c.serveMetrics(s.metrics)) })
	c.reloadOnHangup(ctx)
	c.shutDown()
	stop()
	c.mesh.Close()
	group.Wait()
	return nil
}

// reloadOnHangup reads the settings again at each SIGHUP until ctx is done. Without a handler the
// signal would end the process. The running entry keeps the settings it was started with: the log
// says whether they have changed, and the new ones take effect at the next start.
func (c *components) reloadOnHangup(ctx context.Context) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		}
		reread, err := platform.ReadSettings()
		if err != nil {
			c.log.Error(err, "settings not read, keeping the previous ones")
			continue
		}
		c.log.Info("reload", "changed", reread != c.settings)
	}
}

func (c *components) peerAddr() string {
	return net.JoinHostPort(c.settings.IP, strconv.Itoa(c.settings.PeerPorts[0]))
}

// shutDown shuts an entry down without interrupting requests: its pools are released to other
// entries as soon as possible, clients are asked to use other entries, and it goes on serving until
// shortly before the grace period ends, so that the platform has had time to stop routing clients
// here.
func (c *components) shutDown() {
	began := boot.Now()
	remaining := c.settings.GracePeriod - stopMargin
	c.front.BeginShutdown(remaining + closeTimeout - responseMargin)
	c.release(max(0, remaining-releaseTimeout-releaseMargin))
	if remaining -= boot.Now() - began; remaining > 0 {
		time.Sleep(remaining)
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	c.logEnd("clients", c.front.Close(ctx))
	c.logEnd("metrics", c.metrics.Close(ctx))
}

// release gives up the leases of the pools, so that other entries take them: at once, or, while the
// table is slow, as soon as it is fast again or maxDelay has passed.
func (c *components) release(maxDelay time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), maxDelay+releaseTimeout)
	defer cancel()
	c.node.Release(ctx, maxDelay)
}

// logEnd logs the error with which a server ended; a nil error is a regular stop.
func (c *components) logEnd(server string, err error) {
	if err != nil {
		c.log.Error(err, "server ended", "server", server)
	}
}

// newStartID returns a random ID for this start of the process.
func newStartID() string { return uuid.NewString()[:8] }
