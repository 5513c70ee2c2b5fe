// Package lag tells when a process doesn't get the processor time or the network
// that it needs: calls that take milliseconds take far longer, to whomever they
// go. It also tells when an owner is behind with its work, and has caught up.
package lag

import "time"

// Config sets up a Meter.
type Config struct {
	Window time.Duration // of calls that are looked at
	Slow   time.Duration // a call that takes longer is slow
	Calls  int           // so few calls within the window say nothing
	Peers  int           // slow calls must go to so many different ends, else these are at fault
}

// Meter watches calls. It is not safe for concurrent use. Counts are kept as calls
// come and go: thousands end each second, and when they are slow there is no
// processor time to walk them all for each.
type Meter struct {
	conf  Config
	calls []call
	slow  int            // of calls
	peers map[string]int // slow calls by the end that they went to
}

type call struct {
	at   time.Duration
	peer string
	slow bool
}

// Seen is what a Meter has seen in its window.
type Seen struct {
	Calls int
	Slow  int
	Peers int // different ends that slow calls went to
}

// New makes a Meter.
func New(c Config) *Meter { return &Meter{conf: c, peers: make(map[string]int)} }

// Note takes in a call that has ended; true: most calls are slow now.
func (m *Meter) Note(peer string, took, now time.Duration) bool {
	m.forget(now)
	c := call{at: now, peer: peer, slow: took > m.conf.Slow}
	m.calls = append(m.calls, c)
	if c.slow {
		m.slow++
		m.peers[peer]++
	}
	return len(m.calls) >= m.conf.Calls && len(m.peers) >= m.conf.Peers && 2*m.slow > len(m.calls)
}

// Seen tells what was seen in the window before now.
func (m *Meter) Seen(now time.Duration) Seen {
	m.forget(now)
	return Seen{Calls: len(m.calls), Slow: m.slow, Peers: len(m.peers)}
}

// forget drops the calls that have left the window.
func (m *Meter) forget(now time.Duration) {
	for len(m.calls) > 0 && now-m.calls[0].at > m.conf.Window {
		c := m.calls[0]
		m.calls = m.calls[1:]
		if !c.slow {
			continue
		}
		m.slow--
		if m.peers[c.peer]--; m.peers[c.peer] == 0 {
			delete(m.peers, c.peer)
		}
	}
}
