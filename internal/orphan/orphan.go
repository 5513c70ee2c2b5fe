// Package orphan finds the accepted requests of dead entries and has them taken over, so that none
// is lost when an entry is killed.
package orphan

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	gauge "sapphiregauge"
	"sapphiregauge/internal/fill"
	"sapphiregauge/internal/ticks"
)

// Config sets up a Finder.
type Config struct {
	ScanInterval      time.Duration // between two scans; default 5 s
	Logs              logr.Logger
	IsScanner         func() bool // whether this entry is the one that scans
	UnfinishedByEntry func(ctx context.Context) (map[string][]gauge.ClaimKey, error)
	MayBeAlive        func(entry string) bool
	Takeover          func(ctx context.Context, key gauge.ClaimKey) error
	Sweep             func(ctx context.Context) error // deletes claims that are no longer kept
}

const (
	defaultScanInterval = 5 * time.Second
	// scansPerSweep is how many scans pass between two sweeps.
	scansPerSweep = 720
)

// Finder looks for accepted requests of dead entries.
type Finder struct {
	conf  Config
	scans int
}

// New returns a Finder.
func New(c Config) *Finder {
	fill.Zero(&c.ScanInterval, defaultScanInterval)
	return &Finder{conf: c}
}

// Run scans until ctx ends.
func (f *Finder) Run(ctx context.Context) { ticks.Every(ctx, f.conf.ScanInterval, f.Scan) }

// Scan scans once. If two entries scan at the same time, the claim's row decides which of them
// takes a request over.
func (f *Finder) Scan(ctx context.Context) {
	if !f.conf.IsScanner() {
		return
	}
	entries, err := f.conf.UnfinishedByEntry(ctx)
	if err != nil {
		f.conf.Logs.V(1).Info("accepted requests could not be read", "reason", err.Error())
		return
	}
	for entry, keys := range entries {
		if f.conf.MayBeAlive(entry) {
			continue
		}
		for _, k := range keys {
			if err := f.conf.Takeover(ctx, k); err != nil {
				f.conf.Logs.Info("takeover failed", "request", k.ID, "reason", err.Error())
			}
		}
	}
	f.scans++
	if f.scans%scansPerSweep == 1 {
		if err := f.conf.Sweep(ctx); err != nil {
			f.conf.Logs.Info("expired claims could not be deleted", "reason", err.Error())
		}
	}
}
