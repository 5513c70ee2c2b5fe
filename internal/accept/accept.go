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
	// receiveBuffer is what the kernel keeps, in bytes, of what a client has sent and the process hasn't
	// read.
	receiveBuffer = 8 << 10
	minRetryDelay = 5 * time.Millisecond
	maxRetryDelay = 200 * time.Millisecond
)

// Loop passes each connection to serve until the listener is closed. After a failure it calls failed,
// which may free file descriptors, and tries again.
func Loop(l net.Listener, serve func(net.Conn), failed func(err error)) {
	limitReceiveBuffer(l)
	delay := minRetryDelay
	for {
		c, err := l.Accept()
		switch {
		case err == nil:
			delay = minRetryDelay
			serve(c)
		case errors.Is(err, net.ErrClosed):
			return
		default:
			failed(err)
			time.Sleep(delay)
			delay = min(2*delay, maxRetryDelay)
		}
	}
}

// limitReceiveBuffer sets the receive buffer of the connections that a listener accepts. It is set
// before they are accepted, since those that wait to be have buffers, too.
func limitReceiveBuffer(l net.Listener) {
	sc, ok := l.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
	})
}
