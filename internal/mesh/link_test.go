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

// deaf is an address that takes no connections, and doesn't refuse them either, as
// that of a host without power: the queue of new connections is full.
func deaf(t *testing.T) string {
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

// Symptom: for a second after all entries have started again, jobs wait that their
// pool's owner doesn't know of.
// Sequence: an entry is up before another and connects to it; the kernel asks again
// after a second only.
// Cause: the first try to connect is waited for, though a new one would do.
func TestHostThatDoesNotAnswerIsGivenUpSoon(t *testing.T) {
	n := mesh.New(mesh.Config{Dial: time.Hour})
	defer n.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	err := n.Open(ctx, deaf(t))
	assert.Assert(t, err != nil)
	assert.NilError(t, ctx.Err(), "given up before the caller's time was over")
}
