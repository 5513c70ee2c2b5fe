package intake_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/intake"
)

// refusalTime is the table's time, in milliseconds, at which the tests' site begins.
const refusalTime = 100_000

var errFull = gauge.Errorf(gauge.KindNoSlot, "no room").WithRetryAfter(7 * time.Second)

// refusalSite is a table with entries whose owner refuses jobs for lack of capacity.
type refusalSite struct {
	t     *testing.T
	store *table
	clock *clock

	mu     sync.Mutex
	now    int64 // of the table's clock
	events map[string]int
	full   bool // the owner refuses jobs
	asked  int  // how often the owner was asked to admit a job
}

func newRefusalSite(t *testing.T) *refusalSite {
	return &refusalSite{t: t, store: newTable(), clock: &clock{step: time.Millisecond}, now: refusalTime, events: make(map[string]int), full: true}
}

// entry starts an entry with an ownership of the pool.
func (s *refusalSite) entry(o intake.Ownership, r intake.Relay) *harness {
	h := newRelayHarness(s.store, s.clock, r, func(c *intake.Config) {
		c.TableClock, c.Admit = s.tableClock, s.admit
		c.CountEvent = func(event string) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.events[event]++
		}
	})
	h.ownership = o
	return h
}

func (s *refusalSite) tableClock() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now
}

func (s *refusalSite) admit(*gauge.Queue, string, *gauge.JobSpec) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked++
	if s.full {
		return errFull
	}
	return nil
}

// pass lets time pass for the table's clock, in milliseconds.
func (s *refusalSite) pass(ms int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now += ms
}

func (s *refusalSite) setFull(full bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.full = full
}

// loseAnswers has the table answer neither transactions nor reads; it executes them if executed is set.
func (s *refusalSite) loseAnswers(executed bool) {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	s.store.silent = true
	s.store.answer = func(_ int, execute func()) error {
		if executed {
			execute()
		}
		return gauge.Errorf(gauge.KindUnknown, "no answer")
	}
}

func (s *refusalSite) answerAgain() {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	s.store.silent, s.store.answer = false, nil
}

// deliver has the table receive a transaction that was sent before, the first one being 0.
func (s *refusalSite) deliver(n int) {
	s.store.mu.Lock()
	txn := s.store.txns[n]
	s.store.mu.Unlock()
	_, _, _ = s.store.Commit(s.t.Context(), txn)
}

// row returns the row of job 1, and its version; nil: there is none.
func (s *refusalSite) row() (*gauge.JobRow, int64) {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	r, ok := s.store.rows[gauge.RowKey{Table: gauge.TableJobs, Partition: "sheets", Key: id(1)}]
	if !ok {
		return nil, 0
	}
	row, err := gauge.DecodeJobRow(r.Value)
	assert.NilError(s.t, err)
	return row, r.Version
}

// putRefused stores a refusal of job 1 at a time of the table's clock.
func (s *refusalSite) putRefused(ended int64) { s.putRefusedID(id(1), ended) }

func (s *refusalSite) putRefusedID(job string, ended int64) {
	value, err := (&gauge.JobRow{State: gauge.JobRefused, Pool: "brakes", Ended: ended}).Encode()
	assert.NilError(s.t, err)
	s.store.version++
	key := gauge.RowKey{Table: gauge.TableJobs, Partition: "sheets", Key: job}
	s.store.rows[key] = gauge.PartitionRow{RowKey: key, Value: value, Version: s.store.version}
}

// checkRefused checks that job 1 is refused, and isn't a job to anyone.
func (s *refusalSite) checkRefused() {
	s.t.Helper()
	row, _ := s.row()
	assert.Assert(s.t, row != nil)
	assert.Equal(s.t, row.State, gauge.JobRefused)
	for _, name := range []string{gauge.TableSpecs, gauge.TableOpen} {
		_, stored := s.store.rows[gauge.RowKey{Table: name, Partition: "sheets", Key: id(1)}]
		assert.Assert(s.t, !stored, "%s", name)
	}
}

func (s *refusalSite) checkState(want gauge.JobState) {
	s.t.Helper()
	row, _ := s.row()
	assert.Assert(s.t, row != nil)
	assert.Equal(s.t, row.State, want)
}

func submitBegun(h *harness, began int64) error {
	return h.intake.SubmitLocally(context.Background(), &gauge.Queue{Name: "sheets", Pool: "brakes"}, id(1), &gauge.JobSpec{Steps: []gauge.Step{{Count: 1}}}, began)
}
