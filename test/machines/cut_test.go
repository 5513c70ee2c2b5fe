package machines_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// path is one entry's way to the table, which a test can cut.
type path struct {
	to     string
	listen net.Listener

	mu    sync.Mutex
	conns map[net.Conn]bool
	cut   bool
}

func newPath(t *testing.T, to string) *path {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := &path{to: to, listen: l, conns: make(map[net.Conn]bool)}
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
	go func() { _, _ = io.Copy(far, near); _ = far.Close() }()
	_, _ = io.Copy(near, far)
	_ = near.Close()
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
	first.node.Release(t.Context())
	s.waitFor("the second entry has the pool by the first one's offer", func() bool {
		return s.logged("lease taken", `"entry"="e-1"`, `"pool"="`+poolName+`"`, `"from"="e-0/1"`) == 1
	})
	s.entries = s.entries[1:]
	assert.Equal(t, s.state(1), "running")
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
