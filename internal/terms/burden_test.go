package terms_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/terms"
)

const (
	strong = 0.8 // cores that a host of the stronger kind has
	weak   = 0.1
)

// others are entries on other hosts, by address.
type others map[string]float64

func newBoardOn(self string, capacity float64, known others) *terms.Board {
	b := terms.New(terms.Config{
		Self: self, Addr: "10.0.0.9:1", Capacity: capacity, Term: term, Spread: spread, Held: held, Regain: regain,
	})
	for addr, c := range known {
		b.Entry("at "+addr, gauge.EntryRow{Addr: addr, Capacity: c})
	}
	b.Read()
	return b
}

// waits is how long after it is seen free an entry claims a pool, with some leases.
func waits(b *terms.Board, leases int) time.Duration {
	now := time.Duration(0)
	for len(b.Due([]string{"p"}, leases, now)) == 0 {
		now += time.Millisecond
	}
	return now
}

// Symptom: a pool falls behind, is handed over, falls behind again, and on the way
// its waiting jobs aren't counted and its lasting tasks don't run.
// Sequence: a pool is free; a host with an eighth of the processor of others claims
// it first.
// Cause: all hosts waited alike before they claimed.
func TestHostsThatCarryMoreClaimFirst(t *testing.T) {
	const most = 500 * time.Millisecond
	for _, tt := range []struct {
		name     string
		capacity float64
		known    others
		leases   int
		want     time.Duration // beyond the delay that differs by entry
	}{
		{"strong among weak", strong, others{"a": weak, "b": weak}, 0, 0},
		{"strong with two leases", strong, others{"a": weak}, 2, 2 * held},
		{"equal", weak, others{"a": weak}, 0, 0},
		{"equal with a lease", weak, others{"a": weak}, 1, held},
		{"half as strong", strong / 2, others{"a": strong}, 0, held},
		{"half as strong with a lease", strong / 2, others{"a": strong, "b": weak}, 1, 3 * held},
		{"weak beside strong", weak, others{"a": strong}, 0, most},
		{"weak beside strong, with a lease", weak, others{"a": strong}, 1, held + most},
		{"weak, nobody known: there may be strong ones", weak, nil, 0, most},
		{"strong, nobody known", strong, nil, 0, 0},
		{"nothing said of this host", 0, nil, 1, held},
	} {
		t.Run(tt.name, func(t *testing.T) {
			least := waits(newBoardOn("me", strong, others{"a": strong}), 0)
			got := waits(newBoardOn("me", tt.capacity, tt.known), tt.leases)
			assert.Equal(t, got-least, tt.want)
		})
	}
}

// An entry's own row, of an earlier start as well, says nothing about others.
func TestAnEntryDoesNotCompareItselfToItself(t *testing.T) {
	b := newBoardOn("me", weak, nil)
	b.Entry("me", gauge.EntryRow{Addr: "10.0.0.9:1", Capacity: weak})
	assert.Assert(t, waits(b, 0) >= 500*time.Millisecond)
	assert.Equal(t, len(b.Peers("p")), 0)
}

func addrs(peers []terms.Peer) []string {
	var a []string
	for _, p := range peers {
		a = append(a, p.Addr)
	}
	return a
}

// holds has an address named by so many leases.
func holds(b *terms.Board, addr string, pools ...string) {
	for _, pool := range pools {
		b.Tell(pool, gauge.LeaseRow{Holder: addr + "/1", Addr: addr}, 5, 0, 0)
	}
}

func TestSuccessorsAreAskedByWhatTheyCanCarry(t *testing.T) {
	b := newBoardOn("me", weak, others{"weak": weak, "strong": strong, "middle": strong / 2})
	assert.DeepEqual(t, addrs(b.Peers("p")), []string{"strong", "middle", "weak"})
	holds(b, "strong", "q", "r")
	assert.DeepEqual(t, addrs(b.Peers("p")), []string{"middle", "strong", "weak"})
	holds(b, "middle", "s", "t", "u", "v")
	holds(b, "weak", "w")
	assert.DeepEqual(t, addrs(b.Peers("p")), []string{"strong", "middle", "weak"})

	same := newBoardOn("me", weak, others{"a": weak, "b": weak, "c": weak})
	holds(same, "a", "q")
	assert.Equal(t, addrs(same.Peers("p"))[2], "a", "of equal hosts the one with more leases is last")
}

// An address that only a lease row names is that of a host of which nothing is known.
func TestHoldersWithoutARowOfTheirOwnAreAskedToo(t *testing.T) {
	b := newBoardOn("me", weak, others{"a": weak})
	holds(b, "b", "q")
	assert.DeepEqual(t, addrs(b.Peers("p")), []string{"a", "b"})
}

// Symptom: a pool stays for good on a host that is too weak for it.
// Sequence: strong hosts start later than weak ones, or were down for a while.
// Cause: a lease moved only when its holder failed.
func TestWhenALeaseMovesToAHostThatIsLessBurdened(t *testing.T) {
	for _, tt := range []struct {
		name  string
		own   float64
		held  int
		there float64
		other int
		want  bool
	}{
		{"equal hosts, two against none", weak, 2, weak, 0, false},
		{"equal hosts, three against none", weak, 3, weak, 0, true},
		{"equal hosts, four against one", strong, 4, strong, 1, false},
		{"equal hosts, five against one", strong, 5, strong, 1, true},
		{"weak with one, strong with none", weak, 1, strong, 0, true},
		{"weak with one, strong with two", weak, 1, strong, 2, true},
		{"weak with one, strong with three", weak, 1, strong, 3, false},
		{"strong with many, weak with none", strong, 8, weak, 0, false},
		{"half as strong, one against none", strong / 2, 1, strong, 0, false},
		{"half as strong, two against none", strong / 2, 2, strong, 0, true},
		{"nothing held", weak, 0, strong, 0, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			here, there := terms.Burden{Held: tt.held, Capacity: tt.own}, terms.Burden{Held: tt.other, Capacity: tt.there}
			assert.Equal(t, here.Moves(there), tt.want)
			if tt.want {
				here.Held--
				there.Held++
				assert.Assert(t, !there.Moves(here), "it would come back")
			}
		})
	}
}
