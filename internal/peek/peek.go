// Package peek looks at a connection without reading from it or waiting.
package peek

import (
	"errors"
	"net"
	"syscall"
)

// Seen is what is on a connection.
type Seen string

// What there may be.
const (
	Quiet  Seen = "quiet"  // nothing
	Bytes  Seen = "bytes"  // something to read
	Closed Seen = "closed" // the other end is gone
)

// Look tells what is on a connection now. What arrives later is not seen; a
// kind of connection that can't be looked at counts as quiet.
func Look(c net.Conn) Seen {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return Quiet
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return Closed
	}
	seen := Closed
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		n, _, e := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case n > 0:
			seen = Bytes
		case errors.Is(e, syscall.EAGAIN), errors.Is(e, syscall.EINTR):
			seen = Quiet
		}
		return true
	})
	if err != nil {
		return Closed
	}
	return seen
}
