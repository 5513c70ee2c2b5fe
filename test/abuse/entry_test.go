package abuse_test

import (
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"sapphiregauge/internal/apply"
	"sapphiregauge/pkg/client"
)

const (
	entryPort   = 28080
	operatorKey = "operators-key-of-the-test"
	// maxCallBody is the limit of a call's body, in bytes.
	maxCallBody = 16 << 20
	records     = `
kind: pool
schema: 2
name: brakes
promise: {hosts: 2}
---
kind: service
schema: 1
name: brakes
pool: brakes
limit: 30s
body: 16777216
`
)

// entry is "sapphiregauge local": one entry and all that it needs.
type entry struct {
	*process
	addr string
}

func startEntry(t *testing.T, on machine) *entry {
	t.Helper()
	e := &entry{addr: fmt.Sprintf("%s:%d", on.ip, entryPort)}
	env := []string{fmt.Sprintf("SAPPHIREGAUGE_MEMORY=%d", on.memoryMB), fmt.Sprintf("SAPPHIREGAUGE_FILES=%d", on.files)}
	e.process = startProcess(t, on, env, "local", "--http", e.addr, "--opkey", operatorKey, "--workers", "4")
	operator := client.New(client.Config{Addr: e.addr, Key: operatorKey})
	defer operator.Close()
	submission := apply.Submission{ID: client.NewKey(), Files: []apply.File{{Name: "records.yaml", Text: records}}}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		var result apply.Result
		if err := operator.Post(ctx, "/apply", submission, &result); err != nil {
			return poll.Continue("no records are accepted yet: %s", err)
		}
		if status := e.call([]byte("x")); status != http.StatusOK {
			return poll.Continue("no call is served yet: %d", status)
		}
		return poll.Success()
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(100*time.Millisecond))
	return e
}

// call makes a call on a connection of its own, once, and returns the status; 0: no answer.
func (e *entry) call(body []byte) int {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	c := client.New(client.Config{Addr: e.addr, Team: "garages"})
	defer c.Close()
	reply, err := c.Do(ctx, client.Call{Service: "brakes", Body: body})
	if err != nil || reply.Status != http.StatusOK {
		e.t.Logf("call: %d %.200s %v", reply.Status, reply.Body, err)
	}
	return reply.Status
}

// checkBears checks the process while a crowd is there, and that it then stops.
func (e *entry) checkBears() {
	e.t.Helper()
	e.checkWithinMachine()
	assert.Check(e.t, e.call([]byte("x")) == http.StatusOK, "an ordinary call")
	e.checkWithinMachine()
	e.checkStops()
}

func callHead(lines ...string) string {
	return "POST /v1/services/brakes HTTP/1.1\r\nHost: x\r\n" + strings.Join(lines, "")
}

// Guards against memory that an entry holds for bodies of legal size which stop just short of their
// end, and against a stop that waits for them.
func TestLargeCallsThatStopShort(t *testing.T) {
	e := startEntry(t, machine{ip: hostIP, memoryMB: 384, files: 4100})
	body := make([]byte, maxCallBody-1)
	gather(t, e.addr, 60, func(c net.Conn, client int) error {
		if err := send(c, callHead(contentLength(maxCallBody), "\r\n")); err != nil {
			return err
		}
		return sendInPieces(c, body, 1+client%8)
	})
	e.checkBears()
}

// Guards against memory that an entry takes for each header line.
func TestManyHeaderLinesOfCalls(t *testing.T) {
	e := startEntry(t, machine{ip: hostIP, memoryMB: 384, files: 4100})
	lines := strings.Repeat("a:\r\n", shortLines)
	gather(t, e.addr, 1500, func(c net.Conn, _ int) error { return send(c, callHead(lines)) })
	e.checkBears()
}

// Guards against memory that is taken for a body of legal size which is far larger once it is
// decompressed.
func TestCompressedCalls(t *testing.T) {
	const size, times = 16 << 20, 64
	small := compressed(t, 100)
	large := bytes.Repeat(compressed(t, size), times) // what is decompressed from all parts counts as one body
	assert.Assert(t, len(large) < maxCallBody)
	e := startEntry(t, machine{ip: hostIP, memoryMB: 384, files: 4100})
	assert.Equal(t, e.post("gzip", small), http.StatusOK)
	assert.Check(t, e.post("gzip", large) != http.StatusOK)
	e.checkBears()
}

// compressed returns so many zero bytes, compressed.
func compressed(t *testing.T, size int) []byte {
	t.Helper()
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, err := w.Write(make([]byte, size))
	assert.NilError(t, err)
	assert.NilError(t, w.Close())
	return b.Bytes()
}

// post makes a call with an encoded body, and returns the status; 0: no answer.
func (e *entry) post(encoding string, body []byte) int {
	req, err := http.NewRequest(http.MethodPost, "http://"+e.addr+"/v1/services/brakes", bytes.NewReader(body))
	assert.NilError(e.t, err)
	req.Header.Set("Content-Encoding", encoding)
	req.Header.Set("X-Team", "garages")
	client := http.Client{Timeout: waitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// Guards against clients that use up an entry's descriptors, so that its listener ends for good.
func TestMoreCallersThanDescriptors(t *testing.T) {
	e := startEntry(t, machine{ip: hostIP, memoryMB: 384, files: 600})
	gather(t, e.addr, 900, func(c net.Conn, _ int) error { return send(c, "GET / HT") })
	e.checkBears()
}

// Guards against limits that a single call within the documented limits meets.
func TestLargestLegalCallIsServed(t *testing.T) {
	e := startEntry(t, machine{ip: hostIP, memoryMB: 384, files: 4100})
	assert.Equal(t, e.call(make([]byte, maxCallBody)), http.StatusOK)
	e.checkBears()
}
