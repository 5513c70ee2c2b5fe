// Package peek checks the state of an idle connection without consuming data or blocking.
package peek

import (
	"errors"
	"net"
	"syscall"
)

// Seen is the state of the receiving side of a connection.
type Seen string

// The states.
const (
	Quiet  Seen = "quiet"  // open, no data received
	Bytes  Seen = "bytes"  // data received that hasn't been read
	Closed Seen = "closed" // closed by the peer, or failed
)

// Look returns the present state of a connection. A connection that gives no access to its file
// descriptor counts as Quiet.
func Look(c net.Conn) Seen {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return Quiet
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
			state = Bytes
		case errors.Is(e, syscall.EAGAIN), errors.Is(e, syscall.EINTR):
			state = Quiet
		}
		return true
	})
	if err != nil {
		return Closed
	}
	return state
}
