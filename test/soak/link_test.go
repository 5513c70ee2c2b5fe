package soak_test

import (
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// mode is how a link treats its connections.
type mode string

const (
	modeOpen   mode = "open"
	modeSlow   mode = "slow"   // bytes are delayed
	modeReset  mode = "reset"  // connections break, new ones are refused
	modeOneWay mode = "oneway" // answers are dropped silently
	modeSilent mode = "silent" // bytes of both directions are dropped silently, also on connections that were open before
)

// slowDelay is the delay of each chunk of bytes.
const slowDelay = 60 * time.Millisecond

// link is a TCP proxy on the path from an entry to the table, which the test disturbs.
type link struct {
	tableAddr string
	listen    net.Listener

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]bool
	lost  map[net.Conn]bool // these stay silent: only new connections work
}

func newLink(t *testing.T, to string) *link {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	w := &link{tableAddr: to, listen: l, mode: modeOpen, conns: make(map[net.Conn]bool), lost: make(map[net.Conn]bool)}
	t.Cleanup(func() { _ = l.Close(); w.set(modeReset) })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go w.forward(c)
		}
	}()
	return w
}

func (w *link) addr() string { return w.listen.Addr().String() }

// set changes the mode. Connections that were open while the mode was silent stay silent.
func (w *link) set(m mode) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.mode = m
	for c := range w.conns {
		switch m {
		case modeReset:
			_ = c.Close()
		case modeSilent:
			w.lost[c] = true
		}
	}
}

func (w *link) forward(entryConn net.Conn) {
	tableConn, err := net.Dial("tcp", w.tableAddr)
	w.mu.Lock()
	refused := err != nil || w.mode == modeReset
	if !refused {
		w.conns[entryConn], w.conns[tableConn] = true, true
		w.lost[entryConn], w.lost[tableConn] = w.mode == modeSilent, w.mode == modeSilent
	}
	w.mu.Unlock()
	if refused {
		_ = entryConn.Close()
		return
	}
	go w.copy(tableConn, entryConn, false)
	w.copy(entryConn, tableConn, true)
}

// copy forwards bytes until either end closes.
func (w *link) copy(to, from net.Conn, answers bool) {
	defer func() {
		_, _ = to.Close(), from.Close()
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.conns, to)
		delete(w.lost, to)
	}()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		w.mu.Lock()
		m, lost := w.mode, w.lost[to]
		w.mu.Unlock()
		if m == modeSlow {
			time.Sleep(slowDelay)
		}
		if n > 0 && !lost && (m != modeOneWay || !answers) {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
