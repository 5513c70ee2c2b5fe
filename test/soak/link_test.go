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
	// bytes of both directions are dropped silently, also on connections that were open before
	modeSilent mode = "silent"
)

// slowDelay is the delay of each chunk of bytes.
const slowDelay = 60 * time.Millisecond

// link is a TCP proxy between an entry and the table, which the test disturbs.
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
	k := &link{tableAddr: to, listen: l, mode: modeOpen, conns: make(map[net.Conn]bool), lost: make(map[net.Conn]bool)}
	t.Cleanup(func() { _ = l.Close(); k.setMode(modeReset) })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.forward(c)
		}
	}()
	return k
}

func (k *link) addr() string { return k.listen.Addr().String() }

// setMode changes the mode. Connections that were open while the mode was silent stay silent.
func (k *link) setMode(m mode) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.mode = m
	for c := range k.conns {
		switch m {
		case modeReset:
			_ = c.Close()
		case modeSilent:
			k.lost[c] = true
		}
	}
}

func (k *link) forward(entryConn net.Conn) {
	tableConn, err := net.Dial("tcp", k.tableAddr)
	k.mu.Lock()
	refused := err != nil || k.mode == modeReset
	if !refused {
		k.conns[entryConn], k.conns[tableConn] = true, true
		k.lost[entryConn], k.lost[tableConn] = k.mode == modeSilent, k.mode == modeSilent
	}
	k.mu.Unlock()
	if refused {
		_ = entryConn.Close()
		return
	}
	go k.copy(tableConn, entryConn, false)
	k.copy(entryConn, tableConn, true)
}

// copy forwards bytes until either end closes.
func (k *link) copy(to, from net.Conn, answers bool) {
	defer func() {
		_, _ = to.Close(), from.Close()
		k.mu.Lock()
		defer k.mu.Unlock()
		delete(k.conns, to)
		delete(k.lost, to)
	}()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		k.mu.Lock()
		m, lost := k.mode, k.lost[to]
		k.mu.Unlock()
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
