// Package peers decides which entries are alive and how many of them agree on it.
// It is a state machine: it receives the table's member rows and the peers'
// heartbeats, each with the time, and does no input or output.
//
// The set of live entries, the view, determines which entry grants a pool's slots. Two entries with
// different views may each believe that they are that entry. So each may grant only the share that
// Share returns: the entries with the same view out of all known entries. An entry has one view
// only, so the sets of entries that agree on different views don't overlap, and the shares never
// add up to more than one.
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
	Silence time.Duration // a peer without a heartbeat for longer is not alive; default 3 s
	Term    time.Duration // a member row that is unchanged for longer is stale; default 15 s
	Mesh    int           // up to this many entries form a full mesh; default 16
}

const (
	defaultHeartbeatTimeout = 3 * time.Second
	defaultTerm             = 15 * time.Second
	defaultFullMeshLimit    = 16
	// maxReadGap is the longest time between two reads of the rows for which the table counts as
	// readable.
	maxReadGap = 10 * time.Second
)

// Heartbeat is the message that an entry sends to its neighbours. Between data centres it also lists
// the live entries of the sender's data centre, so that one link between two data centres shows
// either end all entries of the other.
type Heartbeat struct {
	From         gauge.Member `msgpack:"f"`
	Revision     int64        `msgpack:"r"`           // configuration revision in force at the sender
	View         uint64       `msgpack:"v"`           // hash of the sender's live entries
	ZoneLive     []string     `msgpack:"o,omitempty"` // live entries of the sender's data centre
	ZoneSameView []string     `msgpack:"s,omitempty"` // those of ZoneLive with the sender's view
	MinRevision  int64        `msgpack:"l,omitempty"` // lowest revision in force among ZoneLive
}

// Set holds what this entry knows of the others.
type Set struct {
	conf          Config
	known         map[string]*peer
	lastRead      time.Time // last read of the rows
	readableSince time.Time // start of the current series of reads without a gap
	view          uint64    // hash of the live entries at the last Refresh
}

type peer struct {
	member        gauge.Member
	rowChanged    time.Time // when the row's counter last changed, by this entry's clock
	lastHeartbeat time.Time // last heartbeat, received directly or relayed by another entry
	lastDirect    time.Time // last direct heartbeat
	view          uint64    // 0: unknown, or different from that of the relaying entry
	revision      int64     // configuration revision in force there, as last reported
}

// New makes a Set that knows only this entry.
func New(c Config) *Set {
	fill.Zero(&c.Silence, defaultHeartbeatTimeout)
	fill.Zero(&c.Term, defaultTerm)
	fill.Zero(&c.Mesh, defaultFullMeshLimit)
	s := &Set{conf: c, known: make(map[string]*peer)}
	s.view = s.hash(nil)
	return s
}

// UpdateRows records the member rows that were just read and returns the stale ones,
// which are to be deleted: they haven't changed for the whole term, and the table
// could be read all that time. During an outage nobody can write its row, so the
// term starts again after it.
func (s *Set) UpdateRows(now time.Time, rows []gauge.Member) (stale []gauge.Member) {
	if now.Sub(s.lastRead) > maxReadGap {
		s.readableSince = now
	}
	s.lastRead = now
	present := make(map[string]bool, len(rows))
	for _, m := range rows {
		present[m.ID] = true
		if m.ID == s.conf.Self.ID {
			continue
		}
		p := s.peerOf(now, m)
		if p.member.WriteCount != m.WriteCount || p.member.StartID != m.StartID {
			p.member = m
			p.rowChanged = now
		}
		if s.isStale(now, p) {
			stale = append(stale, m)
		}
	}
	for id, p := range s.known {
		if !present[id] && now.Sub(p.lastHeartbeat) > s.conf.Silence {
			delete(s.known, id)
		}
	}
	return stale
}

// peerOf returns the peer of a member, and adds it if it is new.
func (s *Set) peerOf(now time.Time, m gauge.Member) *peer {
	p := s.known[m.ID]
	if p == nil {
		p = &peer{member: m, rowChanged: now}
		s.known[m.ID] = p
	}
	return p
}

func (s *Set) isStale(now time.Time, p *peer) bool {
	if now.Sub(p.lastHeartbeat) <= s.conf.Silence {
		return false
	}
	since := p.rowChanged
	if s.readableSince.After(since) {
		since = s.readableSince
	}
	return now.Sub(since) > s.conf.Term
}

// Receive records a heartbeat.
func (s *Set) Receive(now time.Time, h Heartbeat) {
	if h.From.ID == s.conf.Self.ID || h.From.ID == "" {
		return
	}
	p := s.peerOf(now, h.From)
	writeCount := p.member.WriteCount
	p.member = h.From
	p.member.WriteCount = writeCount
	p.lastHeartbeat, p.lastDirect = now, now
	p.view, p.revision = h.View, h.Revision
	for _, id := range h.ZoneLive {
		s.recordRelayed(now, id, h)
	}
}

// recordRelayed records what a heartbeat says of a third entry. A recent direct heartbeat of that
// entry has more information, and takes precedence.
func (s *Set) recordRelayed(now time.Time, id string, h Heartbeat) {
	p := s.known[id]
	if p == nil || now.Sub(p.lastDirect) <= s.conf.Silence {
		return
	}
	p.lastHeartbeat = now
	p.revision = max(p.revision, h.MinRevision)
	p.view = 0
	if slices.Contains(h.ZoneSameView, id) {
		p.view = h.View
	}
}

// Live returns the entries that are alive, this one among them, sorted by ID.
func (s *Set) Live(now time.Time) []gauge.Member {
	live := []gauge.Member{s.conf.Self}
	for _, p := range s.known {
		if now.Sub(p.lastHeartbeat) <= s.conf.Silence {
			live = append(live, p.member)
		}
	}
	slices.SortFunc(live, func(a, b gauge.Member) int { return strings.Compare(a.ID, b.ID) })
	return live
}

// Refresh recomputes the view and returns it with the live entries.
func (s *Set) Refresh(now time.Time) (uint64, []gauge.Member) {
	live := s.Live(now)
	s.view = s.hash(live)
	return s.view, live
}

// hash returns the hash of a set of live entries. It covers their incarnations too, as a
// restarted entry has lost its record of what it granted.
func (s *Set) hash(live []gauge.Member) uint64 {
	h := xxhash.New()
	for _, m := range live {
		_, _ = h.WriteString(m.ID)
		_, _ = h.WriteString("\x00" + m.StartID + "\x00")
	}
	return h.Sum64()
}

// Share returns how many entries have the same view as this one, itself included, and how many
// entries are known. An entry that knows others but receives no heartbeat of them, and can't read
// the table either, has no share at all, as the others may have deleted its row and no longer know
// it.
func (s *Set) Share(now time.Time) (same, known int) {
	same, known = 1, 1+len(s.known)
	isolated := true
	for _, p := range s.known {
		if now.Sub(p.lastHeartbeat) > s.conf.Silence {
			continue
		}
		isolated = false
		if p.view == s.view {
			same++
		}
	}
	if isolated && known > 1 && now.Sub(s.lastRead) > maxReadGap {
		return 0, known
	}
	return same, known
}

// IsConnected reports whether this entry has read the table or received a heartbeat
// lately, or knows no other entry.
func (s *Set) IsConnected(now time.Time) bool {
	if now.Sub(s.lastRead) <= maxReadGap {
		return true
	}
	for _, p := range s.known {
		if now.Sub(p.lastHeartbeat) <= s.conf.Silence {
			return true
		}
	}
	return len(s.known) == 0
}

// NewHeartbeat returns this entry's heartbeat to an entry in the data centre zone; revision is the
// configuration revision that is in force here.
func (s *Set) NewHeartbeat(now time.Time, revision int64, zone string) Heartbeat {
	h := Heartbeat{From: s.conf.Self, Revision: revision, View: s.view}
	if len(s.known) < s.conf.Mesh || zone == s.conf.Self.Zone {
		return h // these entries exchange heartbeats directly: nothing to relay
	}
	for id, p := range s.known {
		if p.member.Zone != s.conf.Self.Zone || now.Sub(p.lastDirect) > s.conf.Silence {
			continue
		}
		h.ZoneLive = append(h.ZoneLive, id)
		if len(h.ZoneLive) == 1 || p.revision < h.MinRevision {
			h.MinRevision = p.revision
		}
		if p.view == s.view {
			h.ZoneSameView = append(h.ZoneSameView, id)
		}
	}
	return h
}

// Neighbours returns the entries to send heartbeats to: all while there are few, otherwise all
// entries of its own data centre and one entry of each other data centre, chosen by hashing so that
// the links spread over the entries there. Entries that don't answer stay included until their row
// expires, so that a repaired link is noticed.
func (s *Set) Neighbours(now time.Time) []gauge.Member {
	var neighbours []gauge.Member
	byZone := make(map[string]gauge.Member)
	for _, p := range s.known {
		m := p.member
		if len(s.known) < s.conf.Mesh || m.Zone == s.conf.Self.Zone {
			neighbours = append(neighbours, m)
			continue
		}
		if now.Sub(p.lastHeartbeat) > s.conf.Silence && now.Sub(p.rowChanged) > s.conf.Term {
			continue
		}
		best, ok := byZone[m.Zone]
		if !ok || s.neighbourWeight(m) > s.neighbourWeight(best) {
			byZone[m.Zone] = m
		}
	}
	for _, m := range byZone {
		neighbours = append(neighbours, m)
	}
	return neighbours
}

func (s *Set) neighbourWeight(m gauge.Member) uint64 {
	return xxhash.Sum64String(s.conf.Self.ID + "\x00" + m.ID)
}

// Revisions returns the configuration revision that each live entry reported as in force, by
// entry ID.
func (s *Set) Revisions(now time.Time) map[string]int64 {
	out := make(map[string]int64)
	for id, p := range s.known {
		if now.Sub(p.lastHeartbeat) <= s.conf.Silence {
			out[id] = p.revision
		}
	}
	return out
}

// IsConfirmed reports whether every entry that may still be sending work has a revision, or a later
// one, in force: a live entry by its own report; an entry that has been dead for longer than the
// term is no longer known.
func (s *Set) IsConfirmed(revision int64) bool {
	for _, p := range s.known {
		if p.revision < revision {
			return false
		}
	}
	return true
}

// Owner returns which of the live entries is responsible for a key, by rendezvous hashing: when an
// entry joins or leaves, only the keys of that entry move.
func Owner(live []gauge.Member, key string) gauge.Member {
	var best gauge.Member
	var bestWeight uint64
	for _, m := range live {
		w := xxhash.Sum64String(m.ID + "\x00" + key)
		if best.ID == "" || w > bestWeight {
			best, bestWeight = m, w
		}
	}
	return best
}
