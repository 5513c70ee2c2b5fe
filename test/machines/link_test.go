package machines_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"sapphiregauge/internal/mesh"
)

// path is one entry's way to the table, which a test can cut.
type path struct {
	to     string
	listen net.Listener

	mu    sync.Mutex
	conns map[net.Conn]bool
	mute  map[net.Conn]bool // bytes on these are lost without a word
	cut   bool
}

func newPath(t *testing.T, to string) *path {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := &path{to: to, listen: l, conns: make(map[net.Conn]bool), mute: make(map[net.Conn]bool)}
	t.Cleanup(func() { _ = l.Close() })
	t.Cleanup(func() { p.Cut(true) })
	go p.serve()
	return p
}

func (p *path) serve() {
	for {
		c, err := p.listen.Accept()
		if err != nil {
			return
		}
		go p.join(c)
	}
}

func (p *path) join(near net.Conn) {
	far, err := net.Dial("tcp", p.to)
	if err != nil || !p.keep(near, far) {
		_ = near.Close()
		return
	}
	go func() { _, _ = io.Copy(lossy{p, far}, near); _ = far.Close() }()
	_, _ = io.Copy(lossy{p, near}, far)
	_ = near.Close()
}

// lossy writes to one end of a connection, or loses what is written.
type lossy struct {
	path *path
	net.Conn
}

func (l lossy) Write(b []byte) (int, error) {
	l.path.mu.Lock()
	lost := l.path.mute[l.Conn]
	l.path.mu.Unlock()
	if lost {
		return len(b), nil
	}
	return l.Conn.Write(b)
}

// Silence has all open connections lose what is sent on them, while new ones work.
func (p *path) Silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		p.mute[c] = true
	}
	return len(p.mute)
}

func (p *path) keep(cs ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut {
		return false
	}
	for _, c := range cs {
		p.conns[c] = true
	}
	return true
}

// Cut breaks all connections and takes no new ones, until it is healed.
func (p *path) Cut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	for c := range p.conns {
		_ = c.Close()
	}
	clear(p.conns)
}

// Symptom: callers of one entry are refused, though the other entries could serve
// them.
// Sequence: the way of one entry to the table is cut; it is handed jobs, asked for
// them, and has one cancelled.
// Cause: each entry had only its own way to the table.
func TestEntryWithoutTheTableServesThroughTheOwner(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 3)
	s.ready()
	s.waitFor("the first entry owns the pool", func() bool {
		return s.submit(100, twoSteps(10)) && s.state(100) == "completed"
	})
	way := newPath(t, s.table.Addr())
	cutOff := s.startVia("e-1", way.listen.Addr().String())
	s.ready()
	s.waitFor("it has read the leases", func() bool {
		return s.logged("entry known", `"entry"="e-1"`, `"peer"="e-0"`) == 1
	})
	way.Cut(true)
	var jobs []int
	for n := range 6 {
		status, out, _ := s.call(cutOff, http.MethodPost, jobPath(n), twoSteps(20))
		assert.Equal(t, status, http.StatusOK, "%v", out)
		jobs = append(jobs, n)
	}
	s.waitFor("told by the entry that is cut off", func() bool {
		_, out, _ := s.call(cutOff, http.MethodGet, jobPath(5), nil)
		return out["state"] == "completed"
	})
	s.completed(jobs)
	assert.Assert(t, s.submit(200, twoSteps(60_000)))
	s.waitFor("tasks started", func() bool { return s.journal.Starts(fmt.Sprintf("%016x.0.0.1", 200)) == 1 })
	status, _, _ := s.call(cutOff, http.MethodDelete, jobPath(200), nil)
	assert.Equal(t, status, http.StatusOK)
	status, out, _ := s.call(s.entries[0], http.MethodGet, jobPath(200), nil)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, out["state"], "cancelled")
	way.Cut(false)
	s.clean()
}

// Symptom: a pool stands still for seconds when its owner stops while the table is
// slow or denied to it.
// Sequence: the owner is told to stop; it can't write that it gives the lease up;
// the others wait for the lease's term.
// Cause: the handover went through the table.
func TestOwnerThatCannotReachTheTableHandsItsPoolOver(t *testing.T) {
	t.Parallel()
	s := newSite(t, 0, 3)
	way := newPath(t, s.table.Addr())
	first := s.startVia("e-0", way.listen.Addr().String())
	s.ready()
	s.waitFor("the first entry owns both leases", func() bool { return s.logged("lease taken", `"e-0"`) == 2 })
	s.start("e-1")
	s.ready()
	s.waitFor("the second entry is known to the first", func() bool {
		return s.logged("entry known", `"entry"="e-0"`, `"peer"="e-1"`) == 1
	})
	assert.Assert(t, s.submit(1, twoSteps(60_000)))
	s.waitFor("tasks started", func() bool { return s.journal.Starts(fmt.Sprintf("%016x.0.0.1", 1)) == 1 })
	way.Cut(true)
	first.node.Release(t.Context(), 0)
	s.waitFor("the second entry has the pool by the first one's offer", func() bool {
		return s.logged("lease taken", `"entry"="e-1"`, `"pool"="`+poolName+`"`, `"from"="e-0/1"`) == 1
	})
	s.entries = s.entries[1:]
	// That it runs may be known to the worker only, which is heard after the pool is taken.
	s.waitFor("the second entry knows that it runs", func() bool { return s.state(1) == "running" })
	assert.Equal(t, s.journal.Starts(fmt.Sprintf("%016x.0.0.1", 1)), 1)
	s.clean()
}

// Symptom: all pools stand still from half a second after the table went away until
// it is back.
// Sequence: the table is away for all entries; an owner can't write, and asks
// another entry to take its pool; that one had an answer from the table just before.
// Cause: what was true before the owner's first failure was taken for better.
func TestOwnersGoOnWhileTheTableIsAwayForAll(t *testing.T) {
	t.Parallel()
	s := newSite(t, 0, 3)
	way := newPath(t, s.table.Addr())
	for _, name := range []string{"e-0", "e-1"} {
		s.startVia(name, way.listen.Addr().String())
	}
	s.ready()
	s.waitFor("the entries know each other", func() bool {
		return s.logged("entry known", `"entry"="e-0"`, `"peer"="e-1"`) == 1 && s.logged("entry known", `"entry"="e-1"`, `"peer"="e-0"`) == 1
	})
	assert.Assert(t, s.submit(1, twoSteps(20)))
	s.completed([]int{1})
	way.Cut(true)
	s.waitFor("the owner was stuck for some time", func() bool { return s.logged("write failed") >= 8 })
	assert.Equal(t, s.logged("pool left"), 0)
	assert.Equal(t, s.logged("lease offered"), 0)
	way.Cut(false)
	s.waitFor("jobs are taken again", func() bool { return s.submit(2, twoSteps(20)) })
	s.completed([]int{2})
	s.clean()
}

// Symptom: a pool stands still for two seconds after its owner's process was killed.
// Sequence: the process ends; its connections are closed; the others wait for the
// end of its lease all the same.
// Cause: a process that has ended was treated like one that is cut off.
func TestPoolOfAKilledOwnerIsClaimedWhenItsConnectionsEnd(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 3)
	s.ready()
	first := s.entries[0]
	s.waitFor("the first entry owns both leases", func() bool { return s.logged("lease taken", `"e-0"`) == 2 })
	s.start("e-1")
	s.ready()
	assert.Assert(t, s.submit(1, twoSteps(20)))
	s.completed([]int{1})
	first.kill()
	<-first.done
	first.mesh.Close()
	s.waitFor("the second entry knows of the end", func() bool { return s.logged("holder gone", `"entry"="e-1"`, `"holder"="e-0/1"`) == 1 })
	s.entries = s.entries[1:]
	s.waitFor("the second entry has the pool", func() bool {
		return s.logged("lease taken", `"entry"="e-1"`, `"pool"="`+poolName+`"`, `"before"="e-0/1"`) == 1
	})
	assert.Assert(t, s.submit(2, twoSteps(20)))
	s.completed([]int{1, 2})
	s.clean()
}

// Symptom: an entry does nothing any more, though it and the table are well.
// Sequence: something between the two forgets all open connections: what is sent on
// them is lost without a reset, while new connections work.
// Cause: an answer is waited for without a bound, or the next call goes out on
// another connection of the same age.
func TestConnectionsThatGoSilentAreReplaced(t *testing.T) {
	t.Parallel()
	s := newSite(t, 0, 3)
	way := newPath(t, s.table.Addr())
	s.startVia("e-0", way.listen.Addr().String())
	s.ready()
	assert.Assert(t, s.submit(1, twoSteps(20)))
	s.completed([]int{1})
	for n := range 3 {
		assert.Assert(t, way.Silence() > 0)
		s.waitFor("jobs are taken again", func() bool { return s.submit(10+n, twoSteps(20)) })
		s.completed([]int{10 + n})
	}
	s.clean()
}

// takes asks an entry whether it would take a lease over.
func (s *site) takes(e *entry) bool {
	caller := mesh.New(mesh.Config{})
	defer caller.Close()
	answer := make(map[string]any)
	err := caller.Call(s.t.Context(), e.peer, "lease.probe", map[string]any{"f": 0}, &answer)
	return err == nil && answer["r"] == true
}

// Symptom: an entry that the table turns away answers all hand-ins with 504 after a
// pool has changed hands.
// Sequence: an entry is cut off from the table; the pool's owner hands it over; the
// first entry goes on asking the owner that it saw last.
// Cause: where an owner is was told by the table only.
func TestEntryWithoutTheTableFindsTheOwnerThatHasMoved(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 3)
	s.ready()
	s.waitFor("the first entry owns both leases", func() bool { return s.logged("lease taken", `"e-0"`) == 2 })
	way := newPath(t, s.table.Addr())
	cutOff := s.startVia("e-1", way.listen.Addr().String())
	s.ready()
	assert.Assert(t, s.submit(1, twoSteps(20)))
	s.completed([]int{1})
	way.Cut(true)
	s.start("e-2")
	s.ready()
	s.waitFor("the third entry is known to the first", func() bool {
		return s.logged("entry known", `"entry"="e-0"`, `"peer"="e-2"`) == 1
	})
	s.waitFor("the entry that is cut off takes no pools", func() bool { return !s.takes(cutOff) })
	s.entries[0].node.Release(t.Context(), 0)
	s.waitFor("the third entry has the pool", func() bool {
		return s.logged("pool loaded", `"entry"="e-2"`, `"pool"="`+poolName+`"`) == 1
	})
	status, out, _ := s.call(cutOff, http.MethodPost, jobPath(2), twoSteps(20))
	assert.Equal(t, status, http.StatusOK, "%v", out)
	s.entries = s.entries[2:]
	s.completed([]int{2})
	s.clean()
}
