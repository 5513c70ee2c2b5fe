// Package lag tells when a process doesn't get the processor time or the network
// that it needs: calls that take milliseconds take far longer, to whomever they
// go.
package lag

import "time"

// Config sets up a Meter.
type Config struct {
	Window time.Duration // of calls that are looked at
	Slow   time.Duration // a call that takes longer is slow
	Calls  int           // so few calls within the window say nothing
	Peers  int           // slow calls must go to so many different ends, else these are at fault
}

// Meter watches calls. It is not safe for concurrent use.
type Meter struct {
	conf  Config
	calls []call
}

type call struct {
	at   time.Duration
	peer string
	slow bool
}

// New makes a Meter.
func New(c Config) *Meter { return &Meter{conf: c} }

// Note takes in a call that has ended; true: most calls are slow now.
func (m *Meter) Note(peer string, took, now time.Duration) bool {
	for len(m.calls) > 0 && now-m.calls[0].at > m.conf.Window {
		m.calls = m.calls[1:]
	}
	m.calls = append(m.calls, call{at: now, peer: peer, slow: took > m.conf.Slow})
	slow, peers := 0, make(map[string]bool)
	for _, c := range m.calls {
		if c.slow {
			slow++
			peers[c.peer] = true
		}
	}
	return len(m.calls) >= m.conf.Calls && len(peers) >= m.conf.Peers && 2*slow > len(m.calls)
}
