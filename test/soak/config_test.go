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
	// maxApplyDelay is the time within which a change of the configuration has to be in force: the
	// default of entries whose settings name none.
	maxApplyDelay = 2 * time.Second
	// cutOffDuration is how long an entry is cut off from the table while the configuration
	// changes.
	cutOffDuration  = maxApplyDelay + 2*time.Second
	requestInterval = 10 * time.Millisecond
	// requestStream and changeStream select random streams of their own, so that the schedule of
	// disturbances is the same as without them.
	requestStream = 1 << 32
	changeStream  = 2 << 32
)

// configurations holds the newest version of the configuration, and when the storing of each
// version was acknowledged to the operator.
type configurations struct {
	mu       sync.Mutex
	version  int64
	storedAt map[int64]time.Time
}

// storeNextVersion stores the next version of the configuration, which adds a queue.
func (s *soak) storeNextVersion() {
	s.stored.mu.Lock()
	defer s.stored.mu.Unlock()
	s.stored.version++
	query := fmt.Sprintf("/configure?version=%d", s.stored.version)
	if s.accounts != nil {
		query += s.accounts.query()
	}
	s.platform.request(query)
	s.stored.storedAt[s.stored.version] = time.Now()
}

// dueVersion returns the newest version that has to be in force at all entries by now; 0: none.
func (s *configurations) dueVersion() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := int64(0)
	for version, at := range s.storedAt {
		if time.Since(at) > maxApplyDelay {
			newest = max(newest, version)
		}
	}
	return newest
}

// requestNewQueues asks randomly chosen entries, also disturbed ones, for the newest queue that
// has to be in force by now. An entry that doesn't know may refuse or not answer, but must not say
// that the queue is missing. This holds however slow the machine is: an entry counts the time
// since its last answer from the table.
func (s *soak) requestNewQueues(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.seed, requestStream))
	for ctx.Err() == nil {
		if version := s.stored.dueVersion(); version > 0 {
			e := s.entries[random.IntN(len(s.entries))]
			status := s.status(e, fmt.Sprintf("/v%d/", version))
			s.queueRequests++
			assert.Check(s.t, status != http.StatusNotFound, "seed %d: %s answers that the queue of version %d is missing", s.seed, e.name, version)
		}
		sleep(ctx, requestInterval)
	}
}

// changeWhileCutOff cuts entries off from the table, one at a time, and changes the configuration
// meanwhile.
func (s *soak) changeWhileCutOff(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.seed, changeStream))
	modes := []mode{modeReset, modeOneWay, modeSilent}
	for ctx.Err() == nil {
		e := s.entries[random.IntN(len(s.entries))]
		e.link.setMode(modes[random.IntN(len(modes))])
		s.storeNextVersion()
		sleep(ctx, cutOffDuration)
		e.link.setMode(modeOpen)
		sleep(ctx, time.Duration(random.IntN(1000))*time.Millisecond)
	}
}
