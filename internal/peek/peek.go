// Package peek checks the state of an idle connection without consuming data or blocking.
package peek

import (
	"errors"
	"net"
	"syscall"
)

// State is the state of the receiving side of a connection.
type State string

// The states.
const (
	Idle    State = "quiet"  // open, no data received
	HasData State = "bytes"  // data received that hasn't been read
	Closed  State = "closed" // closed by the peer, or failed
)

// Check returns the present state of a connection. A connection that gives no access to its file
// descriptor counts as Idle.
func Check(c net.Conn) State {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return Idle
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Closed
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		n, _, e := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case n > 0:
			state = HasData
		case errors.Is(e, syscall.EAGAIN), errors.Is(e, syscall.EINTR):
			state = Idle
		}
		return true
	})
	if err != nil {
		return Closed
	}
	return state
}
