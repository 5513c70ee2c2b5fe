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

// tableLink is a TCP proxy between an entry and the table, whose connections a test can break.
type tableLink struct {
	tableAddr string
	listen    net.Listener

	mu       sync.Mutex
	conns    map[net.Conn]bool
	silenced map[net.Conn]bool // what is written to these is dropped silently
	cut      bool
}

func newTableLink(t *testing.T, to string) *tableLink {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := &tableLink{tableAddr: to, listen: listener, conns: make(map[net.Conn]bool), silenced: make(map[net.Conn]bool)}
	t.Cleanup(func() { _ = listener.Close() })
	t.Cleanup(func() { l.Cut(true) })
	go l.serve()
	return l
}

func (l *tableLink) serve() {
	for {
		c, err := l.listen.Accept()
		if err != nil {
			return
		}
		go l.forward(c)
	}
}

func (l *tableLink) forward(entryConn net.Conn) {
	tableConn, err := net.Dial("tcp", l.tableAddr)
	if err != nil || !l.register(entryConn, tableConn) {
		_ = entryConn.Close()
		return
	}
	go func() { _, _ = io.Copy(lossyConn{l, tableConn}, entryConn); _ = tableConn.Close() }()
	_, _ = io.Copy(lossyConn{l, entryConn}, tableConn)
	_ = entryConn.Close()
}

// lossyConn writes to one end of a connection, or drops what is written if the connection was
// silenced.
type lossyConn struct {
	link *tableLink
	net.Conn
}

func (l lossyConn) Write(b []byte) (int, error) {
	l.link.mu.Lock()
	lost := l.link.silenced[l.Conn]
	l.link.mu.Unlock()
	if lost {
		return len(b), nil
	}
	return l.Conn.Write(b)
}

// Silence makes all open connections drop what is sent on them, while new ones work. It returns
// how many there are.
func (l *tableLink) Silence() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		l.silenced[c] = true
	}
	return len(l.silenced)
}

func (l *tableLink) register(cs ...net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut {
		return false
	}
	for _, c := range cs {
		l.conns[c] = true
	}
	return true
}

// Cut breaks all connections; while cut is true new ones are refused.
func (l *tableLink) Cut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	for c := range l.conns {
		_ = c.Close()
	}
	clear(l.conns)
}

// Guards against an entry that refuses its clients although other entries could serve them. The
// entry is cut off from the table; it gets submissions, state queries and a cancel. Each entry
// reached the table only over its own connections, never through another entry.
func TestEntryCutOffFromTableServesThroughOwner(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 3)
	s.waitReady()
	s.waitFor("the first entry owns the pool", func() bool {
		return s.submit(100, twoSteps(10)) && s.jobState(100) == "completed"
	})
	link := newTableLink(t, s.table.Addr())
	cutOff := s.startAt("e-1", link.listen.Addr().String())
	s.waitReady()
	s.waitFor("the second entry has read the leases", func() bool {
		return s.countLogged("entry known", `"entry"="e-1"`, `"peer"="e-0"`) == 1
	})
	link.Cut(true)
	var jobs []int
	for n := range 6 {
		status, out, _ := s.call(cutOff, http.MethodPost, jobPath(n), twoSteps(20))
		assert.Equal(t, status, http.StatusOK, "%v", out)
		jobs = append(jobs, n)
	}
	s.waitFor("the entry that is cut off reports the job completed", func() bool {
		_, out, _ := s.call(cutOff, http.MethodGet, jobPath(5), nil)
		return out["state"] == "completed"
	})
	s.waitCompleted(jobs)
	assert.Assert(t, s.submit(200, twoSteps(60_000)))
	s.waitFor("tasks started", func() bool { return s.journal.StartCount(fmt.Sprintf("%016x.0.0.1", 200)) == 1 })
	status, _, _ := s.call(cutOff, http.MethodDelete, jobPath(200), nil)
	assert.Equal(t, status, http.StatusOK)
	status, out, _ := s.call(s.entries[0], http.MethodGet, jobPath(200), nil)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, out["state"], "cancelled")
	link.Cut(false)
	s.checkNoViolations()
}

// Guards against a pool that stops being served for seconds when its owner stops while the table
// is slow or unreachable for it: the owner couldn't write that it releases the lease, and the
// others waited until the lease expired. The handover went through the table only.
func TestOwnerCutOffFromTableHandsOverItsPool(t *testing.T) {
	t.Parallel()
	s := newSite(t, 0, 3)
	link := newTableLink(t, s.table.Addr())
	first := s.startAt("e-0", link.listen.Addr().String())
	s.waitReady()
	s.waitFor("the first entry owns both leases", func() bool { return s.countLogged("lease taken", `"e-0"`) == 2 })
	s.start("e-1")
	s.waitReady()
	s.waitFor("the second entry is known to the first", func() bool {
		return s.countLogged("entry known", `"entry"="e-0"`, `"peer"="e-1"`) == 1
	})
	assert.Assert(t, s.submit(1, twoSteps(60_000)))
	s.waitFor("tasks started", func() bool { return s.journal.StartCount(fmt.Sprintf("%016x.0.0.1", 1)) == 1 })
	link.Cut(true)
	first.node.Release(t.Context(), 0)
	s.waitFor("the second entry has the pool by the first one's offer", func() bool {
		return s.countLogged("lease taken", `"entry"="e-1"`, `"pool"="`+poolName+`"`, `"from"="e-0/1"`) == 1
	})
	s.entries = s.entries[1:]
	// Only the worker may know that the job runs, and its report arrives after the pool is taken.
	s.waitFor("the second entry knows that it runs", func() bool { return s.jobState(1) == "running" })
	assert.Equal(t, s.journal.StartCount(fmt.Sprintf("%016x.0.0.1", 1)), 1)
	s.checkNoViolations()
}

// Guards against an outage of all pools from half a second after the start of a table outage
// until its end. An owner that couldn't write asked another entry to take its pool, and that one
// had received an answer from the table just before. An answer from before the owner's first
// failure was taken as proof that the other entry could still reach the table.
func TestOwnersKeepPoolsDuringTableOutage(t *testing.T) {
	t.Parallel()
	s := newSite(t, 0, 3)
	link := newTableLink(t, s.table.Addr())
	for _, name := range []string{"e-0", "e-1"} {
		s.startAt(name, link.listen.Addr().String())
	}
	s.waitReady()
	s.waitFor("the entries know each other", func() bool {
		return s.countLogged("entry known", `"entry"="e-0"`, `"peer"="e-1"`) == 1 && s.countLogged("entry known", `"entry"="e-1"`, `"peer"="e-0"`) == 1
	})
	assert.Assert(t, s.submit(1, twoSteps(20)))
	s.waitCompleted([]int{1})
	link.Cut(true)
	s.waitFor("the owner has failed to write for some time", func() bool { return s.countLogged("write failed") >= 8 })
	assert.Equal(t, s.countLogged("pool left"), 0)
	assert.Equal(t, s.countLogged("lease offered"), 0)
	link.Cut(false)
	s.waitFor("jobs are accepted again", func() bool { return s.submit(2, twoSteps(20)) })
	s.waitCompleted([]int{2})
	s.checkNoViolations()
}

// Guards against a pool that is not served for two seconds after its owner's process was killed.
// The connections of the process are closed, but the others waited until its lease expired, as a
// process that has ended was treated like one that is cut off.
func TestPoolOfKilledOwnerIsClaimedWhenItsConnectionsClose(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 3)
	s.waitReady()
	first := s.entries[0]
	s.waitFor("the first entry owns both leases", func() bool { return s.countLogged("lease taken", `"e-0"`) == 2 })
	s.start("e-1")
	s.waitReady()
	assert.Assert(t, s.submit(1, twoSteps(20)))
	s.waitCompleted([]int{1})
	first.kill()
	<-first.done
	first.mesh.Close()
	s.waitFor("the second entry knows that the first has ended", func() bool { return s.countLogged("holder gone", `"entry"="e-1"`, `"holder"="e-0/1"`) == 1 })
	s.entries = s.entries[1:]
	s.waitFor("the second entry has the pool", func() bool {
		return s.countLogged("lease taken", `"entry"="e-1"`, `"pool"="`+poolName+`"`, `"before"="e-0/1"`) == 1
	})
	assert.Assert(t, s.submit(2, twoSteps(20)))
	s.waitCompleted([]int{1, 2})
	s.checkNoViolations()
}

// Guards against an entry that stops working although it and the table are healthy. A firewall
// between the two drops the state of all open connections: what is sent on them is lost without a
// reset, while new connections work. The entry waited for an answer without a timeout, or sent the
// next call on another connection of the same age.
func TestConnectionsThatGoSilentAreReplaced(t *testing.T) {
	t.Parallel()
	s := newSite(t, 0, 3)
	link := newTableLink(t, s.table.Addr())
	s.startAt("e-0", link.listen.Addr().String())
	s.waitReady()
	assert.Assert(t, s.submit(1, twoSteps(20)))
	s.waitCompleted([]int{1})
	for n := range 3 {
		assert.Assert(t, link.Silence() > 0)
		s.waitFor("jobs are accepted again", func() bool { return s.submit(10+n, twoSteps(20)) })
		s.waitCompleted([]int{10 + n})
	}
	s.checkNoViolations()
}

// acceptsLeases asks an entry whether it would take over a lease.
func (s *site) acceptsLeases(e *entry) bool {
	caller := mesh.New(mesh.Config{})
	defer caller.Close()
	answer := make(map[string]any)
	err := caller.Call(s.t.Context(), e.peerAddr, "lease.probe", map[string]any{"f": 0}, &answer)
	return err == nil && answer["r"] == true
}

// Guards against an entry, cut off from the table, that answers all submissions with 504 after a
// pool has changed hands: it kept asking the last owner that it had learned of, as it learned the
// owners from the table only.
func TestEntryCutOffFromTableFindsNewOwner(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 3)
	s.waitReady()
	s.waitFor("the first entry owns both leases", func() bool { return s.countLogged("lease taken", `"e-0"`) == 2 })
	link := newTableLink(t, s.table.Addr())
	cutOff := s.startAt("e-1", link.listen.Addr().String())
	s.waitReady()
	assert.Assert(t, s.submit(1, twoSteps(20)))
	s.waitCompleted([]int{1})
	link.Cut(true)
	s.start("e-2")
	s.waitReady()
	s.waitFor("the third entry is known to the first", func() bool {
		return s.countLogged("entry known", `"entry"="e-0"`, `"peer"="e-2"`) == 1
	})
	s.waitFor("the entry that is cut off takes no pools", func() bool { return !s.acceptsLeases(cutOff) })
	s.entries[0].node.Release(t.Context(), 0)
	s.waitFor("the third entry has the pool", func() bool {
		return s.countLogged("pool loaded", `"entry"="e-2"`, `"pool"="`+poolName+`"`) == 1
	})
	status, out, _ := s.call(cutOff, http.MethodPost, jobPath(2), twoSteps(20))
	assert.Equal(t, status, http.StatusOK, "%v", out)
	s.entries = s.entries[2:]
	s.waitCompleted([]int{2})
	s.checkNoViolations()
}
