package mesh

import (
	"context"
	"net"
	"sync"
	"time"

	gauge "sapphiregauge"
	"sapphiregauge/internal/frame"
)

// link is the connection to one peer, for calls from this entry to it.
type link struct {
	node *Node
	addr string

	connecting chan struct{} // semaphore: held by the goroutine that connects
	writeMu    sync.Mutex    // serialises writes to conn

	mu   sync.Mutex
	conn net.Conn
	// err is why the connection was closed; nil: it is open, or not yet connected.
	err          error
	lastID       uint64                      // ID of the last request
	pending      map[uint64]chan frame.Frame // where to pass each answer, by the request's ID
	lastReceived time.Time                   // when the last frame was received
}

func newLink(n *Node, addr string) *link {
	return &link{node: n, addr: addr, connecting: make(chan struct{}, 1), pending: make(map[uint64]chan frame.Frame)}
}

func (k *link) isClosed() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.err != nil
}

// connect connects once. Concurrent callers wait for the result until their context ends, as a host
// without power doesn't even refuse a connection.
func (k *link) connect(ctx context.Context) error {
	select {
	case k.connecting <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-k.connecting }()
	k.mu.Lock()
	conn, err := k.conn, k.err
	k.mu.Unlock()
	if conn != nil || err != nil {
		return err
	}
	d := net.Dialer{Timeout: k.node.conf.Connect}
	c, err := d.DialContext(ctx, "tcp", k.addr)
	if err != nil {
		k.close(err)
		return err
	}
	_ = c.SetDeadline(time.Now().Add(k.node.conf.Dial))
	if err := k.node.proveAsCaller(c); err != nil {
		_ = c.Close()
		k.close(err)
		return err
	}
	_ = c.SetDeadline(time.Time{})
	k.mu.Lock()
	k.conn = c
	k.mu.Unlock()
	k.node.group.Go(k.readAnswers)
	return nil
}

// readAnswers passes each answer to the call that waits for it, until the connection fails.
func (k *link) readAnswers() {
	for {
		f, err := frame.Read(k.conn, k.node.conf.Limit)
		if err != nil {
			k.close(err)
			return
		}
		k.mu.Lock()
		k.lastReceived = time.Now()
		ch := k.pending[f.ID]
		delete(k.pending, f.ID)
		k.mu.Unlock()
		if ch != nil {
			ch <- f // buffered: never blocks
		}
	}
}

// close closes the connection for good and fails all pending calls.
func (k *link) close(err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.err != nil {
		return
	}
	k.err = err
	if k.conn != nil {
		_ = k.conn.Close()
	}
	for _, ch := range k.pending {
		close(ch)
	}
	k.pending = nil
	if k.conn != nil && k.node.conf.Closed != nil {
		go k.node.conf.Closed(k.addr)
	}
}

// call sends a request and waits for its answer. KindUnknown: the peer may have executed it.
func (k *link) call(ctx context.Context, method string, body []byte) (frame.Frame, error) {
	ch := make(chan frame.Frame, 1)
	k.mu.Lock()
	if k.err != nil {
		err := k.err
		k.mu.Unlock()
		return frame.Frame{}, gauge.Errorf(gauge.KindOutage, "mesh.Call: %s", k.addr).WithCause(err)
	}
	k.lastID++
	id := k.lastID
	k.pending[id] = ch
	k.mu.Unlock()

	sentAt := time.Now()
	k.writeMu.Lock()
	k.node.write(k.conn, frame.Frame{ID: id, Method: method, Body: body})
	k.writeMu.Unlock()

	timeout := time.NewTimer(k.node.conf.Quiet)
	defer timeout.Stop()
	select {
	case f, ok := <-ch:
		if !ok {
			return f, gauge.Errorf(gauge.KindUnknown, "mesh.Call: connection to %s ended", k.addr)
		}
		return f, nil
	case <-timeout.C:
		k.closeIfSilent(sentAt)
	case <-ctx.Done():
	}
	k.mu.Lock()
	delete(k.pending, id)
	k.mu.Unlock()
	return frame.Frame{}, gauge.Errorf(gauge.KindUnknown, "mesh.Call: no answer to %s from %s", method, k.addr)
}

// closeIfSilent closes the connection if no frame has been received since a call was sent. A
// firewall between the two ends may have dropped the connection's state: all calls on it would time
// out, while a new connection would work.
func (k *link) closeIfSilent(since time.Time) {
	k.mu.Lock()
	silent := k.lastReceived.Before(since)
	k.mu.Unlock()
	if silent {
		k.close(gauge.Errorf(gauge.KindOutage, "connection to %s is silent", k.addr))
	}
}
