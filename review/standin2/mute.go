//go:build review

package main

import (
	"net"
	"sync/atomic"
	"time"
)

// mutedBefore is a time in Unix nanoseconds: connections from before it have gone silent for good.
var mutedBefore atomic.Int64

// mutableListener accepts connections that can go silent without a reset.
type mutableListener struct{ net.Listener }

func (l mutableListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &mutableConn{Conn: c, since: time.Now().UnixNano()}, nil
}

type mutableConn struct {
	net.Conn
	since int64
}

func (c *mutableConn) muted() bool { return c.since < mutedBefore.Load() }

// Read reads what has come. What comes on a silent connection is never seen.
func (c *mutableConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.muted() {
			return n, err
		}
	}
}

// Write sends an answer, which is lost on a silent connection.
func (c *mutableConn) Write(b []byte) (int, error) {
	if c.muted() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}
