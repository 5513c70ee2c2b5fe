package peers_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	gauge "sapphiregauge"
	"sapphiregauge/internal/fixed"
	"sapphiregauge/internal/peers"
)

func TestMain(m *testing.M) { fixed.Flags{Checks: "60", Steps: "40"}.Main(m) }

func entry(i int) gauge.Member {
	return gauge.Member{ID: fmt.Sprint("e", i), StartID: "r", Zone: fmt.Sprint("z", i%3)}
}

// cluster is a number of entries that have read each other's rows; links[a][b]
// reports whether b receives the heartbeats of a.
type cluster struct {
	now   time.Time
	sets  []*peers.Set
	links [][]bool
}

func newCluster(n, mesh int) *cluster {
	g := &cluster{now: time.Unix(1000, 0)}
	var rows []gauge.Member
	for i := range n {
		rows = append(rows, entry(i))
	}
	for i := range n {
		s := peers.New(peers.Config{Self: entry(i), Mesh: mesh})
		s.UpdateRows(g.now, rows)
		g.sets = append(g.sets, s)
		g.links = append(g.links, make([]bool, n))
		for j := range n {
			g.links[i][j] = true
		}
	}
	return g
}

func (g *cluster) readRows() {
	var rows []gauge.Member
	for i := range g.sets {
		m := entry(i)
		m.WriteCount = g.now.Unix()
		rows = append(rows, m)
	}
	for _, s := range g.sets {
		s.UpdateRows(g.now, rows)
	}
}

func (g *cluster) exchangeHeartbeats() {
	for i, s := range g.sets {
		s.Refresh(g.now)
		for _, m := range s.Neighbours(g.now) {
			var j int
			_, _ = fmt.Sscanf(m.ID, "e%d", &j)
			if g.links[i][j] {
				g.sets[j].Receive(g.now, s.NewHeartbeat(g.now, 1, m.Zone))
			}
			if g.links[i][j] && g.links[j][i] {
				s.Receive(g.now, g.sets[j].NewHeartbeat(g.now, 1, entry(i).Zone))
			}
		}
	}
}

// Guards against two entries that each grant all slots of a pool: links between entries fail, also
// in one direction only, and are repaired in any order, while each owner believes that the live
// entries in its view are all that exist.
func TestSharesOfOneKeyNeverExceedOne(t *testing.T) {
	for _, mesh := range []int{16, 2} {
		rapid.Check(t, func(t *rapid.T) {
			const n = 6
			g := newCluster(n, mesh)
			pick := func() int { return rapid.IntRange(0, n-1).Draw(t, "i") }
			t.Repeat(map[string]func(*rapid.T){
				"cut":    func(*rapid.T) { g.links[pick()][pick()] = false },
				"repair": func(*rapid.T) { g.links[pick()][pick()] = true },
				"run": func(*rapid.T) {
					for range 8 { // longer than the heartbeat timeout: every view has converged
						g.now = g.now.Add(time.Second)
						g.readRows()
						g.exchangeHeartbeats()
						g.exchangeHeartbeats()
					}
				},
				"": func(t *rapid.T) {
					total, known := 0, n
					for i, s := range g.sets {
						_, live := s.Refresh(g.now)
						if peers.Owner(live, "pool").ID == entry(i).ID {
							same, k := s.Share(g.now)
							total += same
							known = k
						}
					}
					if total > known {
						t.Fatalf("%d of %d shares are granted", total, known)
					}
				},
			})
		})
	}
}

// While all links work, every entry's view holds all entries and one owner has the whole share,
// also where entries learn of others only through a third.
func TestViewsAgreeWhileAllLinksWork(t *testing.T) {
	for _, mesh := range []int{16, 2} {
		g := newCluster(9, mesh)
		for range 6 {
			g.now = g.now.Add(time.Second)
			g.exchangeHeartbeats()
			g.exchangeHeartbeats()
		}
		for _, s := range g.sets {
			_, live := s.Refresh(g.now)
			assert.Equal(t, len(live), 9)
			same, known := s.Share(g.now)
			assert.Equal(t, same, 9)
			assert.Equal(t, known, 9)
		}
	}
}

// Guards against entries that take each other for dead after a table outage of an hour:
// rows can be neither read nor written; afterwards an entry that was cut off from its peers
// too writes its row a moment later than it is read. The time of the outage must not count
// towards the term.
func TestOutageMakesNoRowStale(t *testing.T) {
	g := newCluster(2, 16)
	s := g.sets[0]
	old := []gauge.Member{entry(0), entry(1)}
	g.now = g.now.Add(time.Hour)
	assert.Equal(t, len(s.UpdateRows(g.now, old)), 0)
	g.now = g.now.Add(10 * time.Second)
	assert.Equal(t, len(s.UpdateRows(g.now, old)), 0, "the term starts at the end of the outage")
	g.now = g.now.Add(6 * time.Second)
	assert.Equal(t, len(s.UpdateRows(g.now, old)), 1, "unchanged for a term while the table was readable: stale")
}

// An entry that can reach neither the table nor a peer grants nothing and is
// not ready.
func TestIsolatedEntryHasNoShare(t *testing.T) {
	g := newCluster(3, 16)
	g.now = g.now.Add(20 * time.Second)
	same, _ := g.sets[0].Share(g.now)
	assert.Equal(t, same, 0)
	assert.Assert(t, !g.sets[0].IsConnected(g.now))
}
