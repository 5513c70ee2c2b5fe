// Package lag detects when a process lacks processor time or network bandwidth: calls that usually
// take milliseconds take far longer, whichever peer they go to. It also detects when an owner falls
// behind with its work, and when it has caught up.
package lag

import "time"

// Config sets up a Meter.
type Config struct {
	Window   time.Duration // calls that ended within it count
	SlowCall time.Duration // a call that takes longer is slow
	MinCalls int           // least number of calls within the window for Record to report slowness
	MinPeers int           // least number of peers with slow calls; with fewer, the peers are at fault
}

// Meter counts the slow calls of a sliding window. It is not safe for concurrent use. The counts
// are updated as calls enter and leave the window: thousands of calls end each second, and while
// they are slow there is no processor time to iterate over all of them at each.
type Meter struct {
	conf      Config
	calls     []call
	slowCalls int            // number of slow calls
	slowPeers map[string]int // number of slow calls by peer
}

type call struct {
	endedAt time.Duration
	peer    string
	slow    bool
}

// Counts holds the counts of a Meter's window.
type Counts struct {
	Calls int
	Slow  int
	Peers int // distinct peers with slow calls
}

// New makes a Meter.
func New(c Config) *Meter { return &Meter{conf: c, slowPeers: make(map[string]int)} }

// Record records a call that has ended, and reports whether most calls to several peers are slow
// now.
func (m *Meter) Record(peer string, took, now time.Duration) bool {
	m.prune(now)
	c := call{endedAt: now, peer: peer, slow: took > m.conf.SlowCall}
	m.calls = append(m.calls, c)
	if c.slow {
		m.slowCalls++
		m.slowPeers[peer]++
	}
	return len(m.calls) >= m.conf.MinCalls && len(m.slowPeers) >= m.conf.MinPeers && 2*m.slowCalls > len(m.calls)
}

// Counts returns the counts of the window that ends now.
func (m *Meter) Counts(now time.Duration) Counts {
	m.prune(now)
	return Counts{Calls: len(m.calls), Slow: m.slowCalls, Peers: len(m.slowPeers)}
}

// prune removes the calls that have left the window.
func (m *Meter) prune(now time.Duration) {
	for len(m.calls) > 0 && now-m.calls[0].endedAt > m.conf.Window {
		c := m.calls[0]
		m.calls = m.calls[1:]
		if !c.slow {
			continue
		}
		m.slowCalls--
		if m.slowPeers[c.peer]--; m.slowPeers[c.peer] == 0 {
			delete(m.slowPeers, c.peer)
		}
	}
}
