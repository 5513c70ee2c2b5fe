// Package local runs a whole small site in one process: an embedded platform,
// a few workers, one entry. It is for trying things out.
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
	Workers     int
	OperatorKey string
	Logs        logr.Logger
}

// Site is the whole.
type Site struct {
	conf Config
}

// New makes a Site.
func New(c Config) *Site { return &Site{conf: c} }

// Sizes of the embedded site.
const (
	perRack  = 4
	slots    = 8
	conns    = 64
	cores    = 16
	memory   = 64
	zones    = 3
	lag      = 500 * time.Millisecond
	gone     = 3 * time.Second
	bootTime = 2 * time.Second
	reports  = 200 * time.Millisecond
)

// Run serves until ctx ends.
func (s *Site) Run(ctx context.Context) error {
	db := memdb.New()
	hosts := roster.New(roster.Config{Lag: lag, Gone: gone, Clock: time.Now})
	httpL, err := net.Listen("tcp", s.conf.HTTP)
	if err != nil {
		return err
	}
	peerL, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	workers, err := s.workers(hosts)
	if err != nil {
		return err
	}
	group := pool.New().WithContext(ctx).WithCancelOnError().WithFirstError()
	for _, w := range workers {
		group.Go(func(context.Context) error { return w.worker.Serve(w.listener) })
	}
	e := entry.New(entry.Config{
		Self: gauge.Member{ID: "local", Run: uuid.NewString(), Zone: zoneName(0)},
		HTTP: httpL, Peer: peerL, Table: db, Objects: db, Platform: hosts,
		PeerKey: []byte(uuid.NewString()), OperatorKey: s.conf.OperatorKey,
		Clock: time.Now, Logs: s.conf.Logs,
		Poll: time.Second / 2, Beat: time.Second / 2, Row: time.Second, Term: time.Second,
		Round: time.Second / 4, Watch: time.Second / 2, Drain: 0, Stop: time.Minute,
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

type running struct {
	worker   *work.Worker
	listener net.Listener
}

func zoneName(i int) string { return fmt.Sprintf("zone-%d", i%zones+1) }

func (s *Site) workers(hosts *roster.Roster) ([]running, error) {
	out := make([]running, s.conf.Workers)
	for i := range out {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		rack := i / perRack
		out[i] = running{listener: l, worker: work.New(work.Config{
			Self: gauge.Sighting{
				ID: fmt.Sprintf("worker-%02d", i+1), Addr: l.Addr().String(),
				Zone: zoneName(rack), Rack: fmt.Sprintf("rack-%d", rack+1),
				Cores: cores, Memory: memory, Slots: slots, Conns: conns,
			},
			Boot: bootTime, Every: reports,
			Report: func(seen gauge.Sighting) (bool, error) { return hosts.Report(seen), nil },
		})}
	}
	return out, nil
}
