package mesh

import (
	"context"
	"net"
	"sync"
	"time"

	gauge "sapphiregauge"
	"sapphiregauge/internal/frame"
)

// link is the connection to one peer for the calls made there.
type link struct {
	node *Node
	addr string

	opening chan struct{} // room for one: who connects
	writing sync.Mutex

	mu      sync.Mutex
	conn    net.Conn
	err     error
	last    uint64
	waiting map[uint64]chan frame.Frame
	heard   time.Time // when the last frame came in
}

func newLink(n *Node, addr string) *link {
	return &link{node: n, addr: addr, opening: make(chan struct{}, 1), waiting: make(map[uint64]chan frame.Frame)}
}

func (k *link) dead() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.err != nil
}

// open connects once; callers that come meanwhile wait for it, no longer than they
// have time: a host without power doesn't even refuse a connection.
func (k *link) open(ctx context.Context) error {
	select {
	case k.opening <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-k.opening }()
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
	k.node.group.Go(k.read)
	return nil
}

func (k *link) read() {
	for {
		f, err := frame.Read(k.conn, k.node.conf.Limit)
		if err != nil {
			k.close(err)
			return
		}
		k.mu.Lock()
		k.heard = time.Now()
		ch := k.waiting[f.ID]
		delete(k.waiting, f.ID)
		k.mu.Unlock()
		if ch != nil {
			ch <- f // room for one: never waits
		}
	}
}

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
	for _, ch := range k.waiting {
		close(ch)
	}
	k.waiting = nil
	if k.conn != nil && k.node.conf.Closed != nil {
		go k.node.conf.Closed(k.addr)
	}
}

func (k *link) call(ctx context.Context, method string, body []byte) (frame.Frame, error) {
	ch := make(chan frame.Frame, 1)
	k.mu.Lock()
	if k.err != nil {
		err := k.err
		k.mu.Unlock()
		return frame.Frame{}, gauge.Fail(gauge.KindOutage, "mesh.Call: %s", k.addr).Because(err)
	}
	k.last++
	id := k.last
	k.waiting[id] = ch
	k.mu.Unlock()

	began := time.Now()
	k.writing.Lock()
	k.node.write(k.conn, frame.Frame{ID: id, Method: method, Body: body})
	k.writing.Unlock()

	quiet := time.NewTimer(k.node.conf.Quiet)
	defer quiet.Stop()
	select {
	case f, ok := <-ch:
		if !ok {
			return f, gauge.Fail(gauge.KindUnknown, "mesh.Call: connection to %s ended", k.addr)
		}
		return f, nil
	case <-quiet.C:
		k.closeIfSilent(began)
	case <-ctx.Done():
	}
	k.mu.Lock()
	delete(k.waiting, id)
	k.mu.Unlock()
	return frame.Frame{}, gauge.Fail(gauge.KindUnknown, "mesh.Call: no answer to %s from %s", method, k.addr)
}

// closeIfSilent ends a connection on which nothing has come since a call went
// out. A firewall between the two ends may have forgotten it: it would stay
// silent for good while a new one works, and calls on it would all time out.
func (k *link) closeIfSilent(since time.Time) {
	k.mu.Lock()
	silent := k.heard.Before(since)
	k.mu.Unlock()
	if silent {
		k.close(gauge.Fail(gauge.KindOutage, "connection to %s went silent", k.addr))
	}
}
