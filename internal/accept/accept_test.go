package accept_test

import (
	"net"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"sapphiregauge/internal/accept"
)

// listener returns the errors that it has, and then those of a closed listener.
type listener struct {
	net.Listener
	errors []error
}

func (l *listener) Accept() (net.Conn, error) {
	if len(l.errors) == 0 {
		return nil, net.ErrClosed
	}
	err := l.errors[0]
	l.errors = l.errors[1:]
	return nil, err
}

// Guards against a listener that ends for good when there is no descriptor left for a moment.
func TestListenerOutlivesFailures(t *testing.T) {
	exhausted := 0
	accept.Loop(accept.Config{
		Listener:  &listener{errors: []error{syscall.EMFILE, syscall.ECONNABORTED, syscall.ENOBUFS}},
		Serve:     func(net.Conn) { t.Error("a connection") },
		Exhausted: func() { exhausted++ },
	})
	assert.Equal(t, exhausted, 2, "a client that has left frees nothing")
}
