package soak_test

import (
	"cmp"
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
	// bytes, and ends of connections, arrive only when the mode changes
	modeHeld mode = "held"
)

// slowDelay is the delay of each chunk of bytes.
const slowDelay = 60 * time.Millisecond

// link is a TCP proxy between an entry and the table, another entry or a worker, which the test
// disturbs.
type link struct {
	at, to string
	dialer net.Dialer
	rename func(b []byte, isAnswer bool) []byte // changes what is sent; nil: nothing does

	mu      sync.Mutex
	listen  net.Listener // nil while connections are refused
	mode    mode
	cut     mode          // while the link is cut, silent or held; it goes before mode
	changed chan struct{} // closed and replaced with each change of the mode
	conns   map[net.Conn]bool
	lost    map[net.Conn]bool // these stay silent: only new connections work
}

// newLink starts a link, of which the caller sets where it listens, where it leads and what it changes.
func newLink(t *testing.T, k *link) *link {
	l, err := net.Listen("tcp", k.at)
	assert.NilError(t, err)
	k.at, k.listen, k.mode = l.Addr().String(), l, modeOpen
	k.changed, k.conns, k.lost = make(chan struct{}), make(map[net.Conn]bool), make(map[net.Conn]bool)
	t.Cleanup(func() { k.setCut(""); k.refuse(); k.setMode(modeReset) })
	go k.serve(l)
	return k
}

func (k *link) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go k.forward(c)
	}
}

// refuse has new connections refused until accept, as nothing listens at the other end. A caller
// that is cut off doesn't see that.
func (k *link) refuse() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.listen != nil && k.cut == "" {
		_ = k.listen.Close()
		k.listen = nil
	}
}

func (k *link) accept() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.listen != nil {
		return nil
	}
	l, err := net.Listen("tcp", k.at)
	if err != nil {
		return err
	}
	k.listen = l
	go k.serve(l)
	return nil
}

// setMode changes the mode. Connections that were open while the mode was silent stay silent.
func (k *link) setMode(m mode) { k.set(&k.mode, m) }

// setCut cuts the link, by modeSilent or modeHeld; empty: it is no longer cut.
func (k *link) setCut(m mode) { k.set(&k.cut, m) }

// present returns the mode that is in force. The caller holds the lock.
func (k *link) present() mode { return cmp.Or(k.cut, k.mode) }

func (k *link) set(field *mode, m mode) {
	k.mu.Lock()
	defer k.mu.Unlock()
	*field = m
	close(k.changed)
	k.changed = make(chan struct{})
	for c := range k.conns {
		switch k.present() {
		case modeReset:
			_ = c.Close()
		case modeSilent:
			k.lost[c] = true
		}
	}
}

// await waits while bytes are held, and while the end of a connection doesn't show as the link is
// cut. It returns the mode, and whether what is sent to a connection is lost.
func (k *link) await(to net.Conn, ended bool) (mode, bool) {
	for {
		k.mu.Lock()
		m, lost, changed := k.present(), k.lost[to], k.changed
		waits := m == modeHeld || ended && k.cut != ""
		k.mu.Unlock()
		if !waits {
			return m, lost
		}
		<-changed
	}
}

func (k *link) forward(caller net.Conn) {
	target, err := k.dialer.Dial("tcp", k.to)
	k.mu.Lock()
	refused := err != nil || k.present() == modeReset
	if !refused {
		silent := k.present() == modeSilent
		k.conns[caller], k.conns[target] = true, true
		k.lost[caller], k.lost[target] = silent, silent
	}
	k.mu.Unlock()
	if refused {
		k.await(caller, true)
		_ = caller.Close()
		return
	}
	go k.copy(target, caller, false)
	k.copy(caller, target, true)
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
		m, lost := k.await(to, err != nil)
		if m == modeSlow {
			time.Sleep(slowDelay)
		}
		if n > 0 && !lost && (m != modeOneWay || !answers) {
			b := buf[:n]
			if k.rename != nil {
				b = k.rename(b, answers)
			}
			if _, werr := to.Write(b); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
