// Package local runs a small site in one process, for trials: an embedded platform, workers that
// echo requests, and one entry. Nothing is persisted.
package local

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"github.com/sourcegraph/conc/pool"

	gauge "sapphiregauge"
	"sapphiregauge/internal/entry"
	"sapphiregauge/internal/memdb"
	"sapphiregauge/internal/roster"
	"sapphiregauge/internal/work"
)

// Config sets up a Site.
type Config struct {
	HTTP        string // ip:port for callers and operators
	Workers     int    // number of workers
	OperatorKey string // key that operators' calls must carry
	MemoryBytes int    // memory that the process may use
	MaxFiles    int    // file descriptors that the process may open
	Logs        logr.Logger
}

// Site is the embedded platform with its workers and its entry.
type Site struct {
	conf Config
}

// New makes a Site.
func New(c Config) *Site { return &Site{conf: c} }

// Sizes and times of the embedded site.
const (
	workersPerRack     = 4
	slotsPerWorker     = 8
	connsPerWorker     = 64
	coresPerWorker     = 16
	memoryPerWorkerGiB = 64
	zoneCount          = 3
	listMaxAge         = 500 * time.Millisecond
	goneAfter          = 3 * time.Second
	bootTime           = 2 * time.Second
	reportInterval     = 200 * time.Millisecond
)

// Run serves until ctx is done.
func (s *Site) Run(ctx context.Context) error {
	store := memdb.New()
	hosts := roster.New(roster.Config{MaxAge: listMaxAge, GoneAfter: goneAfter, Clock: time.Now})
	httpListener, err := net.Listen("tcp", s.conf.HTTP)
	if err != nil {
		return err
	}
	peerListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	workers, err := s.startWorkers(hosts)
	if err != nil {
		return err
	}
	group := pool.New().WithContext(ctx).WithCancelOnError().WithFirstError()
	for _, w := range workers {
		group.Go(func(context.Context) error { return w.worker.Serve(w.listener) })
	}
	e := entry.New(entry.Config{
		Self: gauge.Member{ID: "local", StartID: uuid.NewString(), Zone: zoneName(0)},
		HTTP: httpListener, Peer: peerListener, Table: store, Objects: store, Platform: hosts,
		PeerKey: []byte(uuid.NewString()), OperatorKey: s.conf.OperatorKey, MemoryBytes: s.conf.MemoryBytes, MaxFiles: s.conf.MaxFiles,
		Clock: time.Now, Logs: s.conf.Logs,
		PollInterval: time.Second / 2, HeartbeatInterval: time.Second / 2, MemberRowInterval: time.Second, LeaseDuration: time.Second,
		RoundInterval: time.Second / 4, ListInterval: time.Second / 2, DrainDelay: 0, ShutdownTimeout: time.Minute,
	})
	group.Go(func(ctx context.Context) error {
		err := e.Run(ctx)
		for _, w := range workers {
			_ = w.worker.Close()
		}
		return err
	})
	return group.Wait()
}

// runningWorker is a worker and the listener that it serves on.
type runningWorker struct {
	worker   *work.Worker
	listener net.Listener
}

func zoneName(i int) string { return fmt.Sprintf("zone-%d", i%zoneCount+1) }

// startWorkers creates the workers, workersPerRack to a rack, and opens their listeners.
func (s *Site) startWorkers(hosts *roster.Roster) ([]runningWorker, error) {
	out := make([]runningWorker, s.conf.Workers)
	for i := range out {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		rack := i / workersPerRack
		out[i] = runningWorker{listener: l, worker: work.New(work.Config{
			Self: gauge.ListedHost{
				ID: fmt.Sprintf("worker-%02d", i+1), Addr: l.Addr().String(),
				Zone: zoneName(rack), Rack: fmt.Sprintf("rack-%d", rack+1),
				Cores: coresPerWorker, Memory: memoryPerWorkerGiB, Slots: slotsPerWorker, Conns: connsPerWorker,
			},
			BootTime: bootTime, ReportInterval: reportInterval,
			Report: func(h gauge.ListedHost) (bool, error) { return hosts.Report(h), nil },
		})}
	}
	return out, nil
}
