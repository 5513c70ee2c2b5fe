package abuse_test

import (
	"errors"
	"net"
	"os"
	"sync"
	"testing"
	"time"
)

const (
	// waitTimeout bounds each wait for the product; no check depends on it.
	waitTimeout = 20 * time.Second
	// sendTimeout bounds how long a client of a crowd waits for its bytes to be taken.
	sendTimeout = 3 * time.Second
	// crowdTries is how often a client of a crowd comes back after its connection was closed.
	crowdTries = 3
)

// crowd is a number of clients that send something and keep their connections open.
type crowd struct {
	mu    sync.Mutex
	conns []net.Conn
}

// gather has clients connect to an address and talk, all at once, and returns when all have sent what
// they have to send or were turned away. A client is told its number.
func gather(t *testing.T, addr string, clients int, talk func(c net.Conn, client int) error) *crowd {
	t.Helper()
	w := &crowd{}
	t.Cleanup(w.leave)
	var group sync.WaitGroup
	for i := range clients {
		group.Go(func() {
			for range crowdTries {
				c, err := net.DialTimeout("tcp", addr, sendTimeout)
				if err != nil {
					continue
				}
				w.mu.Lock()
				w.conns = append(w.conns, c)
				w.mu.Unlock()
				_ = c.SetDeadline(time.Now().Add(sendTimeout))
				if err = talk(c, i); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
					return // stays, without reading
				}
				_ = c.Close()
			}
		})
	}
	group.Wait()
	return w
}

func (w *crowd) leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.conns {
		_ = c.Close()
	}
}

// sendInPieces sends text in a number of pieces.
func sendInPieces(c net.Conn, text []byte, pieces int) error {
	size := max(1, len(text)/pieces)
	for len(text) > 0 {
		n := min(size, len(text))
		if _, err := c.Write(text[:n]); err != nil {
			return err
		}
		text = text[n:]
	}
	return nil
}
