package soak_test

import (
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// mode is how a way treats its connections.
type mode string

const (
	modeOpen   mode = "open"
	modeSlow   mode = "slow"   // bytes come later
	modeReset  mode = "reset"  // connections break, new ones are refused
	modeOneWay mode = "oneway" // answers are lost without a word
	modeSilent mode = "silent" // all is lost without a word, also on connections that were open before
)

// slowBy is how much later bytes come.
const slowBy = 60 * time.Millisecond

// way is an entry's path to the table, which the soak disturbs.
type way struct {
	to     string
	listen net.Listener

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]bool
	lost  map[net.Conn]bool // silent for good: only new connections work
}

func newWay(t *testing.T, to string) *way {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	w := &way{to: to, listen: l, mode: modeOpen, conns: make(map[net.Conn]bool), lost: make(map[net.Conn]bool)}
	t.Cleanup(func() { _ = l.Close(); w.set(modeReset) })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go w.join(c)
		}
	}()
	return w
}

func (w *way) addr() string { return w.listen.Addr().String() }

// set changes the mode. Connections that were open while it was silent stay so.
func (w *way) set(m mode) {
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

func (w *way) join(near net.Conn) {
	far, err := net.Dial("tcp", w.to)
	w.mu.Lock()
	refused := err != nil || w.mode == modeReset
	if !refused {
		w.conns[near], w.conns[far] = true, true
		w.lost[near], w.lost[far] = w.mode == modeSilent, w.mode == modeSilent
	}
	w.mu.Unlock()
	if refused {
		_ = near.Close()
		return
	}
	go w.copy(far, near, false)
	w.copy(near, far, true)
}

// copy passes bytes on until either end closes.
func (w *way) copy(to, from net.Conn, answers bool) {
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
			time.Sleep(slowBy)
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
