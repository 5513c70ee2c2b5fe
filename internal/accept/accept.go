// Package accept accepts connections for as long as a listener is open. A process that has no file
// descriptor left for a moment must not stop listening for good.
package accept

import (
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	minRetryDelay = 5 * time.Millisecond
	maxRetryDelay = 200 * time.Millisecond
)

// Config sets up a Loop.
type Config struct {
	Listener net.Listener
	// ReceiveBuffer is what the kernel is to keep, in bytes, of what a client has sent and the process
	// hasn't read; 0: what it keeps by default.
	ReceiveBuffer int
	Serve         func(net.Conn) // must not block
	// Exhausted is called if there is no file descriptor, or no memory, for a connection. It may free
	// some.
	Exhausted func()
}

// Loop passes each connection to Serve until the listener is closed. It tries again after a failure.
func Loop(c Config) {
	limitReceiveBuffer(c.Listener, c.ReceiveBuffer)
	delay := minRetryDelay
	for {
		conn, err := c.Listener.Accept()
		if err == nil {
			delay = minRetryDelay
			c.Serve(conn)
			continue
		}
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if isExhausted(err) {
			c.Exhausted()
		}
		time.Sleep(delay)
		delay = min(2*delay, maxRetryDelay)
	}
}

func isExhausted(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM)
}

// limitReceiveBuffer sets the receive buffer of the connections that a listener accepts. It is set
// before they are accepted, since those that wait to be have buffers, too.
func limitReceiveBuffer(l net.Listener, bytes int) {
	sc, ok := l.(syscall.Conn)
	if !ok || bytes == 0 {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bytes)
	})
}
