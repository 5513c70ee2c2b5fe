package soak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// applyWithin is the time in which a change of the configuration has to be in force: that
	// of entries whose settings tell none.
	applyWithin = 2 * time.Second
	// unheard is how long an entry is cut off while the configuration changes.
	unheard = applyWithin + 2*time.Second
	askPace = 10 * time.Millisecond
	// askSeed and changeSeed set these apart from the schedule, which stays as it is without.
	askSeed    = 1 << 32
	changeSeed = 2 << 32
)

// stored is the newest version of the configuration, and when the operator was told of
// versions that they are stored.
type stored struct {
	mu      sync.Mutex
	version int64
	at      map[int64]time.Time
}

// configure stores one version more, which adds a queue.
func (s *soak) configure() {
	s.stored.mu.Lock()
	defer s.stored.mu.Unlock()
	s.stored.version++
	s.platform.do(fmt.Sprintf("/configure?version=%d", s.stored.version))
	s.stored.at[s.stored.version] = time.Now()
}

// due is the newest version that has to be in force at all entries by now; 0: there is none.
func (s *stored) due() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := int64(0)
	for version, at := range s.at {
		if time.Since(at) > applyWithin {
			newest = max(newest, version)
		}
	}
	return newest
}

// askForNewQueues asks entries, whatever is done to them, for the newest queue that has to be
// there by now. An entry that can't know may refuse or not answer, but not say that there is
// none. This holds however slow the machine is: an entry counts from when it was told last.
func (s *soak) askForNewQueues(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.seed, askSeed))
	for ctx.Err() == nil {
		if version := s.stored.due(); version > 0 {
			e := s.entries[random.IntN(len(s.entries))]
			status := s.status(e, fmt.Sprintf("/v%d/", version))
			s.asked++
			assert.Check(s.t, status != http.StatusNotFound, "seed %d: %s says that the queue of version %d is missing", s.seed, e.name, version)
		}
		rest(ctx, askPace)
	}
}

// changeUnheard cuts one entry after the other off from the table and changes the
// configuration meanwhile.
func (s *soak) changeUnheard(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.seed, changeSeed))
	modes := []mode{modeReset, modeOneWay, modeSilent}
	for ctx.Err() == nil {
		e := s.entries[random.IntN(len(s.entries))]
		e.way.set(modes[random.IntN(len(modes))])
		s.configure()
		rest(ctx, unheard)
		e.way.set(modeOpen)
		rest(ctx, time.Duration(random.IntN(1000))*time.Millisecond)
	}
}
