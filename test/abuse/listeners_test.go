package abuse_test

import (
	"encoding/binary"
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against clients that use up the descriptors, so that a listener ends for good.
func TestMoreConnectionsThanDescriptors(t *testing.T) {
	for _, tt := range []struct {
		name string
		addr func(*host) string
	}{
		{"clients", (*host).front},
		{"readiness", (*host).ready},
		{"metrics", (*host).metrics},
		{"entries", (*host).peers},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := startHost(t, machine{ip: hostIP, memoryMB: 160, files: 600})
			gather(t, tt.addr(h), 900, func(c net.Conn, client int) error {
				if client%2 == 0 {
					return nil // sends nothing
				}
				return send(c, "GET / HT")
			})
			h.checkBears()
		})
	}
}

// Guards against memory that the readiness check's listener takes for bodies, which no check has.
func TestLargeBodiesToTheReadinessCheck(t *testing.T) {
	h := startHost(t, smallest())
	const size = 4 << 20 // what the HTTP library takes
	body := strings.Repeat("x", size-1)
	gather(t, h.ready(), 100, func(c net.Conn, client int) error {
		return send(c, "POST /sapphiregauge/ready HTTP/1.1\r\nHost: x\r\n"+contentLength(size)+"\r\n"+body)
	})
	h.checkBears()
}

// Guards against memory that the readiness check's listener takes for heads of many lines.
func TestManyHeaderLinesToTheReadinessCheck(t *testing.T) {
	h := startHost(t, smallest())
	text := "GET /sapphiregauge/ready HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("a:\r\n", 900)
	gather(t, h.ready(), 2000, func(c net.Conn, _ int) error { return send(c, text) })
	h.checkBears()
}

// Guards against memory that the metrics' listener takes for heads of any size.
func TestLargeHeadsToTheMetrics(t *testing.T) {
	h := startHost(t, smallest())
	lines := strings.Builder{}
	for i := range 100_000 {
		fmt.Fprintf(&lines, "x%x:\r\n", i)
	}
	gather(t, h.metrics(), 100, func(c net.Conn, _ int) error {
		return send(c, "GET /metrics HTTP/1.1\r\nHost: x\r\n"+lines.String())
	})
	assert.Equal(t, h.get(h.metrics(), "/metrics"), http.StatusOK)
	h.checkBears()
}

// Guards against memory that clients hold who ask for the metrics and don't read them.
func TestMetricsThatNobodyReads(t *testing.T) {
	h := startHost(t, smallest())
	text := strings.Repeat("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n", 50)
	gather(t, h.metrics(), 1500, func(c net.Conn, _ int) error { return send(c, text) })
	h.checkBears()
}

// Guards against budgets that are too much for the machine together.
func TestCrowdsOnAllListeners(t *testing.T) {
	h := startHost(t, smallest())
	body := validBody(maxBody - 1)
	gather(t, h.front(), 800, func(c net.Conn, client int) error {
		if err := send(c, head(client, contentLength(maxBody), "\r\n")); err != nil {
			return err
		}
		return sendInPieces(c, body, 1+client%8)
	})
	lines := strings.Repeat("a:\r\n", shortLines)
	gather(t, h.front(), 800, func(c net.Conn, client int) error { return send(c, head(client, lines)) })
	message := binary.BigEndian.AppendUint32(nil, 1<<20)
	gather(t, h.peers(), 300, func(c net.Conn, _ int) error {
		if err := proveKey(c); err != nil {
			return err
		}
		return send(c, string(message)+strings.Repeat("x", 1<<20-1))
	})
	for _, addr := range []string{h.ready(), h.metrics()} {
		gather(t, addr, 300, func(c net.Conn, _ int) error { return send(c, "GET /metrics HTTP/1.1\r\nHost: x\r\n"+lines) })
	}
	h.checkBears()
}

// Guards against bytes that the kernel keeps for a process while that is suspended. They count as its
// memory.
func TestCrowdOfASuspendedProcess(t *testing.T) {
	h := startHost(t, smallest())
	assert.NilError(t, h.cmd.Process.Signal(syscall.SIGSTOP))
	body := validBody(maxBody - 1)
	gather(t, h.front(), 1500, func(c net.Conn, client int) error {
		if err := send(c, head(client, contentLength(maxBody), "\r\n")); err != nil {
			return err
		}
		return sendInPieces(c, body, 1+client%8)
	})
	h.checkWithinMachine()
	assert.NilError(t, h.cmd.Process.Signal(syscall.SIGCONT))
	h.checkBears()
}
