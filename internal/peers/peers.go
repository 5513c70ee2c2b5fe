// Package peers decides which entries are alive and how far they agree on it.
// It is a state machine: it is told what the table's rows and the peers'
// heartbeats say and when, and does no input or output.
//
// Which entry hands out a pool's slots follows from the set of live entries.
// Two entries that see different sets may both think it is they. So each may
// hand out only the share that Share gives: the entries that see the very same
// set, of all entries known. The sets of entries that agree on different views
// don't overlap, hence the shares never add up to more than one.
package peers

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	gauge "sapphiregauge"
	"sapphiregauge/internal/fill"
)

// Config sets up a Set.
type Config struct {
	Self    gauge.Member
	Silence time.Duration // without a heartbeat for so long a peer is not alive; default 3 s
	Term    time.Duration // a row unchanged for so long is forgotten; default 15 s
	Mesh    int           // up to so many entries all talk to all; default 16
}

const (
	defaultSilence = 3 * time.Second
	defaultTerm    = 15 * time.Second
	defaultMesh    = 16
	// gap is how long after a read of the rows the table still counts as
	// readable.
	gap = 10 * time.Second
)

// Beat is a heartbeat. Own lists the live entries of the sender's data centre,
// Same those of them that see the same set as the sender: so one link between
// two data centres tells of all entries at its end.
type Beat struct {
	From     gauge.Member `msgpack:"f"`
	Revision int64        `msgpack:"r"`
	View     uint64       `msgpack:"v"`
	Own      []string     `msgpack:"o,omitempty"`
	Same     []string     `msgpack:"s,omitempty"`
	Least    int64        `msgpack:"l,omitempty"` // lowest revision in force among Own
}

// Set is what this entry knows of the others.
type Set struct {
	conf     Config
	known    map[string]*peer
	read     time.Time // last read of the rows
	readable time.Time // since when reads have come without a gap
	view     uint64
}

type peer struct {
	member   gauge.Member
	changed  time.Time // when the row's counter last changed, as seen here
	heard    time.Time // last heartbeat, direct or through another
	beaten   time.Time // last direct heartbeat
	view     uint64
	revision int64
}

// New makes a Set that knows this entry alone.
func New(c Config) *Set {
	fill.Zero(&c.Silence, defaultSilence)
	fill.Zero(&c.Term, defaultTerm)
	fill.Zero(&c.Mesh, defaultMesh)
	s := &Set{conf: c, known: make(map[string]*peer)}
	s.view = s.hash(nil)
	return s
}

// Rows takes in the member rows that were just read and returns those that are
// to be dropped: unchanged for the whole term, while the table could be read
// all that time. After an outage nobody has been able to write, so the term
// begins anew.
func (s *Set) Rows(now time.Time, rows []gauge.Member) (stale []gauge.Member) {
	if now.Sub(s.read) > gap {
		s.readable = now
	}
	s.read = now
	present := make(map[string]bool, len(rows))
	for _, m := range rows {
		present[m.ID] = true
		if m.ID == s.conf.Self.ID {
			continue
		}
		p := s.learn(now, m)
		if p.member.Beat != m.Beat || p.member.Run != m.Run {
			p.member = m
			p.changed = now
		}
		if s.isStale(now, p) {
			stale = append(stale, m)
		}
	}
	for id, p := range s.known {
		if !present[id] && now.Sub(p.heard) > s.conf.Silence {
			delete(s.known, id)
		}
	}
	return stale
}

func (s *Set) learn(now time.Time, m gauge.Member) *peer {
	p := s.known[m.ID]
	if p == nil {
		p = &peer{member: m, changed: now}
		s.known[m.ID] = p
	}
	return p
}

func (s *Set) isStale(now time.Time, p *peer) bool {
	if now.Sub(p.heard) <= s.conf.Silence {
		return false
	}
	from := p.changed
	if s.readable.After(from) {
		from = s.readable
	}
	return now.Sub(from) > s.conf.Term
}

// Heard takes in a heartbeat.
func (s *Set) Heard(now time.Time, b Beat) {
	if b.From.ID == s.conf.Self.ID || b.From.ID == "" {
		return
	}
	p := s.learn(now, b.From)
	row := p.member.Beat
	p.member = b.From
	p.member.Beat = row
	p.heard, p.beaten = now, now
	p.view, p.revision = b.View, b.Revision
	for _, id := range b.Own {
		s.relayed(now, id, b)
	}
}

// relayed notes what a heartbeat says of a third entry. A direct heartbeat
// tells more and goes before.
func (s *Set) relayed(now time.Time, id string, b Beat) {
	p := s.known[id]
	if p == nil || now.Sub(p.beaten) <= s.conf.Silence {
		return
	}
	p.heard = now
	p.revision = max(p.revision, b.Least)
	p.view = 0
	if slices.Contains(b.Same, id) {
		p.view = b.View
	}
}

// Live returns the entries that are alive, this one among them, sorted by id.
func (s *Set) Live(now time.Time) []gauge.Member {
	live := []gauge.Member{s.conf.Self}
	for _, p := range s.known {
		if now.Sub(p.heard) <= s.conf.Silence {
			live = append(live, p.member)
		}
	}
	slices.SortFunc(live, func(a, b gauge.Member) int { return strings.Compare(a.ID, b.ID) })
	return live
}

// Look computes the view again and returns it with the live entries.
func (s *Set) Look(now time.Time) (uint64, []gauge.Member) {
	live := s.Live(now)
	s.view = s.hash(live)
	return s.view, live
}

// hash covers the runs too: a restarted entry has forgotten what it granted.
func (s *Set) hash(live []gauge.Member) uint64 {
	h := xxhash.New()
	for _, m := range live {
		_, _ = h.WriteString(m.ID)
		_, _ = h.WriteString("\x00" + m.Run + "\x00")
	}
	return h.Sum64()
}

// Share returns how many entries see the same live set as this one and how
// many entries are known. An entry that has heard of others but hears none of
// them and can't read the table either has no share at all: the others may
// have forgotten it.
func (s *Set) Share(now time.Time) (same, known int) {
	same, known = 1, 1+len(s.known)
	alone := true
	for _, p := range s.known {
		if now.Sub(p.heard) > s.conf.Silence {
			continue
		}
		alone = false
		if p.view == s.view {
			same++
		}
	}
	if alone && known > 1 && now.Sub(s.read) > gap {
		return 0, known
	}
	return same, known
}

// Linked tells whether this entry has learned anything from the table or a
// peer lately.
func (s *Set) Linked(now time.Time) bool {
	if now.Sub(s.read) <= gap {
		return true
	}
	for _, p := range s.known {
		if now.Sub(p.heard) <= s.conf.Silence {
			return true
		}
	}
	return len(s.known) == 0
}

// Beat makes this entry's heartbeat for an entry in a data centre.
func (s *Set) Beat(now time.Time, revision int64, zone string) Beat {
	b := Beat{From: s.conf.Self, Revision: revision, View: s.view}
	if len(s.known) < s.conf.Mesh || zone == s.conf.Self.Zone {
		return b // these hear each other directly: nothing to pass on
	}
	for id, p := range s.known {
		if p.member.Zone != s.conf.Self.Zone || now.Sub(p.beaten) > s.conf.Silence {
			continue
		}
		b.Own = append(b.Own, id)
		if len(b.Own) == 1 || p.revision < b.Least {
			b.Least = p.revision
		}
		if p.view == s.view {
			b.Same = append(b.Same, id)
		}
	}
	return b
}

// Neighbours returns whom to send heartbeats: everybody while there are few,
// else all of the own data centre and one of each other, chosen by hashing so
// that the links spread over its entries. A known entry that is not heard is
// tried on, so that a healed link is found.
func (s *Set) Neighbours(now time.Time) []gauge.Member {
	var to []gauge.Member
	chosen := make(map[string]gauge.Member)
	for _, p := range s.known {
		m := p.member
		if len(s.known) < s.conf.Mesh || m.Zone == s.conf.Self.Zone {
			to = append(to, m)
			continue
		}
		if now.Sub(p.heard) > s.conf.Silence && now.Sub(p.changed) > s.conf.Term {
			continue
		}
		best, ok := chosen[m.Zone]
		if !ok || s.weight(m) > s.weight(best) {
			chosen[m.Zone] = m
		}
	}
	for _, m := range chosen {
		to = append(to, m)
	}
	return to
}

func (s *Set) weight(m gauge.Member) uint64 {
	return xxhash.Sum64String(s.conf.Self.ID + "\x00" + m.ID)
}

// Revisions returns the revision that each live entry said it has in force.
func (s *Set) Revisions(now time.Time) map[string]int64 {
	out := make(map[string]int64)
	for id, p := range s.known {
		if now.Sub(p.heard) <= s.conf.Silence {
			out[id] = p.revision
		}
	}
	return out
}

// Confirmed tells whether every entry that may still be sending work has a
// revision in force: the live ones by their word, the others by being gone for
// longer than the term.
func (s *Set) Confirmed(revision int64) bool {
	for _, p := range s.known {
		if p.revision < revision {
			return false
		}
	}
	return true
}

// Owner returns which of the live entries is responsible for a key, by
// rendezvous hashing: when an entry comes or goes only its own keys move.
func Owner(live []gauge.Member, key string) gauge.Member {
	var best gauge.Member
	var most uint64
	for _, m := range live {
		w := xxhash.Sum64String(m.ID + "\x00" + key)
		if best.ID == "" || w > most {
			best, most = m, w
		}
	}
	return best
}
