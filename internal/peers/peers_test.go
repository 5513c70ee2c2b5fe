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
	c := &cluster{now: time.Unix(1000, 0)}
	var rows []gauge.Member
	for i := range n {
		rows = append(rows, entry(i))
	}
	for i := range n {
		s := peers.New(peers.Config{Self: entry(i), Mesh: mesh})
		s.UpdateRows(c.now, rows)
		c.sets = append(c.sets, s)
		c.links = append(c.links, make([]bool, n))
		for j := range n {
			c.links[i][j] = true
		}
	}
	return c
}

func (c *cluster) readRows() {
	var rows []gauge.Member
	for i := range c.sets {
		m := entry(i)
		m.WriteCount = c.now.Unix()
		rows = append(rows, m)
	}
	for _, s := range c.sets {
		s.UpdateRows(c.now, rows)
	}
}

func (c *cluster) exchangeHeartbeats() {
	for i, s := range c.sets {
		s.Refresh(c.now)
		for _, m := range s.Neighbours(c.now) {
			var j int
			_, _ = fmt.Sscanf(m.ID, "e%d", &j)
			if c.links[i][j] {
				c.sets[j].Receive(c.now, s.NewHeartbeat(c.now, 1, m.Zone))
			}
			if c.links[i][j] && c.links[j][i] {
				s.Receive(c.now, c.sets[j].NewHeartbeat(c.now, 1, entry(i).Zone))
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
			c := newCluster(n, mesh)
			pick := func() int { return rapid.IntRange(0, n-1).Draw(t, "i") }
			t.Repeat(map[string]func(*rapid.T){
				"cut":    func(*rapid.T) { c.links[pick()][pick()] = false },
				"repair": func(*rapid.T) { c.links[pick()][pick()] = true },
				"run": func(*rapid.T) {
					for range 8 { // longer than the heartbeat timeout: every view has converged
						c.now = c.now.Add(time.Second)
						c.readRows()
						c.exchangeHeartbeats()
						c.exchangeHeartbeats()
					}
				},
				"": func(t *rapid.T) {
					total, known := 0, n
					for i, s := range c.sets {
						_, live := s.Refresh(c.now)
						if peers.Owner(live, "pool").ID == entry(i).ID {
							same, k := s.Share(c.now)
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
		c := newCluster(9, mesh)
		for range 6 {
			c.now = c.now.Add(time.Second)
			c.exchangeHeartbeats()
			c.exchangeHeartbeats()
		}
		for _, s := range c.sets {
			_, live := s.Refresh(c.now)
			assert.Equal(t, len(live), 9)
			same, known := s.Share(c.now)
			assert.Equal(t, same, 9)
			assert.Equal(t, known, 9)
		}
	}
}

// Guards against entries that consider each other dead after a table outage of an hour:
// rows can be neither read nor written; afterwards an entry that was cut off from its peers
// too writes its row a moment later than it is read. The time of the outage must not count
// towards the term.
func TestOutageMakesNoRowStale(t *testing.T) {
	c := newCluster(2, 16)
	s := c.sets[0]
	old := []gauge.Member{entry(0), entry(1)}
	c.now = c.now.Add(time.Hour)
	assert.Equal(t, len(s.UpdateRows(c.now, old)), 0)
	c.now = c.now.Add(10 * time.Second)
	assert.Equal(t, len(s.UpdateRows(c.now, old)), 0, "the term starts at the end of the outage")
	c.now = c.now.Add(6 * time.Second)
	assert.Equal(t, len(s.UpdateRows(c.now, old)), 1, "unchanged for a term while the table was readable: stale")
}

// An entry that can reach neither the table nor a peer grants nothing and is
// not ready.
func TestIsolatedEntryHasNoShare(t *testing.T) {
	c := newCluster(3, 16)
	c.now = c.now.Add(20 * time.Second)
	same, _ := c.sets[0].Share(c.now)
	assert.Equal(t, same, 0)
	assert.Assert(t, !c.sets[0].IsConnected(c.now))
}
