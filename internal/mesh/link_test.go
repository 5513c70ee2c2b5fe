package mesh_test

import (
	"context"
	"net"
	"strconv"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sapphiregauge/internal/mesh"
)

// unresponsiveAddr returns an address that neither accepts nor refuses connections, like that of a
// host without power: the listener's backlog is full.
func unresponsiveAddr(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = syscall.Close(fd) })
	assert.NilError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	assert.NilError(t, syscall.Listen(fd, 0))
	name, err := syscall.Getsockname(fd)
	assert.NilError(t, err)
	addr := net.JoinHostPort("127.0.0.1", strconv.Itoa(name.(*syscall.SockaddrInet4).Port))
	for {
		c, err := net.DialTimeout("tcp", addr, 50*time.Millisecond)
		if err != nil {
			return addr
		}
		t.Cleanup(func() { _ = c.Close() })
	}
}

// Guards against jobs that their pool's owner learns of only a second after all entries have been
// restarted: an entry connects to another that isn't up yet, and the kernel retransmits the
// connection request only after a second, while a new attempt would succeed sooner.
func TestConnectToUnresponsiveHostTimesOutSoon(t *testing.T) {
	n := mesh.New(mesh.Config{Dial: time.Hour})
	defer n.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	err := n.Connect(ctx, unresponsiveAddr(t))
	assert.Assert(t, err != nil)
	assert.NilError(t, ctx.Err(), "the attempt must time out before the caller's context")
}
