package budget_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sapphiregauge/internal/budget"
	"sapphiregauge/internal/fill"
)

// connBytes is what a connection takes by default.
const connBytes = 32 << 10

// crowd makes clients join a budget and records whom it evicts.
type crowd struct {
	b       *budget.Budget
	shares  map[string]*budget.Share
	evicted []string
}

// newCrowd makes a crowd whose clients may be evicted at once, unless a least wait is given.
func newCrowd(c budget.Config) *crowd {
	fill.Zero(&c.MinWait, time.Nanosecond)
	return &crowd{b: budget.New(c), shares: make(map[string]*budget.Share)}
}

func (w *crowd) join(name string) bool {
	s := w.b.Join(func() { w.evicted = append(w.evicted, name) })
	w.shares[name] = s
	return s != nil
}

// Guards against clients that are kept out by others that stall, and against requests that are cut off
// while they are being handled.
func TestLongestWaitingClientIsEvicted(t *testing.T) {
	w := newCrowd(budget.Config{Conns: 3})
	for _, name := range []string{"handled", "stalls", "idle"} {
		assert.Assert(t, w.join(name))
	}
	assert.Assert(t, w.shares["handled"].Protect())
	w.shares["stalls"].Wait() // a request begins
	assert.Assert(t, w.join("new"))
	assert.DeepEqual(t, w.evicted, []string{"idle"})
	assert.Assert(t, w.join("newer"))
	assert.DeepEqual(t, w.evicted, []string{"idle", "stalls"})
	assert.Assert(t, !w.shares["stalls"].Protect(), "it is gone")
	assert.Assert(t, !w.shares["stalls"].Reserve(1))

	assert.Assert(t, w.shares["new"].Protect())
	assert.Assert(t, w.shares["newer"].Protect())
	assert.Assert(t, !w.join("one too many"))
	w.shares["handled"].Wait() // its request has been answered
	assert.Assert(t, w.join("newest"))
	assert.DeepEqual(t, w.evicted, []string{"idle", "stalls", "handled"})
}

// Guards against a client that stalls and takes the room of those that came after it.
func TestLongestWaitingClientTakesNoRoomOfOthers(t *testing.T) {
	const room = 100
	w := newCrowd(budget.Config{Bytes: 2*connBytes + room})
	assert.Assert(t, w.join("first"))
	assert.Assert(t, w.join("second"))
	assert.Assert(t, w.shares["first"].Reserve(room))
	assert.Assert(t, !w.shares["first"].Reserve(1), "it has waited for longest itself")
	assert.Equal(t, len(w.evicted), 0)
	assert.Assert(t, w.shares["second"].Reserve(room))
	assert.DeepEqual(t, w.evicted, []string{"first"})
	assert.Assert(t, !w.shares["second"].Reserve(3*connBytes), "more than there is")
}

// Guards against clients that evict each other before their requests can have arrived.
func TestClientHasTimeBeforeItIsEvicted(t *testing.T) {
	w := newCrowd(budget.Config{Conns: 1, MinWait: time.Hour})
	assert.Assert(t, w.join("first"))
	assert.Assert(t, !w.join("second"))
	w.b.EvictOldest()
	assert.Equal(t, len(w.evicted), 0)
	w.shares["first"].CloseWaiting()
	assert.DeepEqual(t, w.evicted, []string{"first"})
}

// Guards against room that is lost, or given back twice, so that the bound drifts.
func TestAllRoomIsGivenBack(t *testing.T) {
	const clients, room = 4, 1000
	w := newCrowd(budget.Config{Bytes: clients*connBytes + room, Conns: clients})
	for range 3 {
		names := []string{"a", "b", "c", "d"}
		for _, name := range names {
			assert.Assert(t, w.join(name))
			assert.Assert(t, w.shares[name].Protect())
		}
		assert.Assert(t, w.shares["a"].Reserve(room))
		w.shares["a"].Release(room / 2)
		w.shares["a"].ReleaseAll()
		assert.Assert(t, w.shares["b"].Reserve(room))
		assert.Assert(t, !w.shares["c"].Reserve(1))
		w.shares["d"].CloseWaiting()
		assert.Assert(t, !slices.Contains(w.evicted, "d"), "it is protected")
		for _, name := range names {
			w.shares[name].Leave()
			w.shares[name].Leave()
			w.shares[name].Release(room)
		}
	}
}

// Guards against machines on which a single request of legal size has no room, or a fleet's entries
// can't all be connected.
func TestMachineIsDivided(t *testing.T) {
	const (
		maxBody = 256 << 10
		entries = 585
	)
	m := budget.Divide(budget.MachineConfig{Memory: 160 << 20, Files: 4100, Count: func(event string) { t.Error(event) }})
	client := m.Clients.Join(func() {})
	assert.Assert(t, client.Reserve(maxBody))
	for range entries {
		assert.Assert(t, m.Peers.Join(func() { t.Error("evicted") }) != nil)
	}
	assert.Assert(t, m.Probes.Join(func() {}) != nil)
}
