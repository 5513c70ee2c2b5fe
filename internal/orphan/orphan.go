// Package orphan finds the accepted requests of entries that are gone and hands
// them on, so that a killed entry loses none.
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
	Every    time.Duration // between two looks; default 5 s
	Logs     logr.Logger
	Mine     func() bool // whether this entry is the one that looks
	Entries  func(ctx context.Context) (map[string][]gauge.ClaimKey, error)
	Lives    func(entry string) bool
	Takeover func(ctx context.Context, key gauge.ClaimKey) error
	Sweep    func(ctx context.Context) error // drops claims that are no longer kept
}

const (
	defaultEvery = 5 * time.Second
	// looksPerSweep is how many looks pass between two sweeps.
	looksPerSweep = 720
)

// Finder looks for orphans.
type Finder struct {
	conf Config
	look int
}

// New makes a Finder.
func New(c Config) *Finder {
	fill.Zero(&c.Every, defaultEvery)
	return &Finder{conf: c}
}

// Run looks until ctx ends.
func (f *Finder) Run(ctx context.Context) { ticks.Every(ctx, f.conf.Every, f.Look) }

// Look looks once. Should two entries look at once, the claim's row decides
// between them.
func (f *Finder) Look(ctx context.Context) {
	if !f.conf.Mine() {
		return
	}
	entries, err := f.conf.Entries(ctx)
	if err != nil {
		f.conf.Logs.V(1).Info("accepted requests not read", "reason", err.Error())
		return
	}
	for entry, keys := range entries {
		if f.conf.Lives(entry) {
			continue
		}
		for _, k := range keys {
			if err := f.conf.Takeover(ctx, k); err != nil {
				f.conf.Logs.Info("takeover failed", "request", k.ID, "reason", err.Error())
			}
		}
	}
	f.look++
	if f.look%looksPerSweep == 1 {
		if err := f.conf.Sweep(ctx); err != nil {
			f.conf.Logs.Info("old claims not dropped", "reason", err.Error())
		}
	}
}
