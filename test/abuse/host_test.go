package abuse_test

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"sapphiregauge/platform/fakes"
)

const (
	frontPort   = 28624
	readyPort   = 28622
	peerPort    = 27060
	metricsPort = 29464
	graceS      = 3
	hostName    = "garage.example"
	prefix      = "/sheets/"
	// maxBody is the configured limit of a request body, in bytes.
	maxBody = 256 << 10
	hostIP  = "127.76.0.1"
)

// smallest returns a machine as the smallest ones that the product runs on.
func smallest() machine { return machine{ip: hostIP, memoryMB: 160, files: 4100} }

// host is "sapphiregauge host" with fakes of everything else.
type host struct {
	*process
	jobs int // submitted
}

func startHost(t *testing.T, on machine) *host {
	t.Helper()
	table, journal := fakes.NewTable(), fakes.NewJournal()
	machines := fakes.NewMachines(table, journal)
	t.Cleanup(table.Close)
	t.Cleanup(machines.Close)
	for i := range 2 {
		machines.Add(fmt.Sprintf("m-%d", i), "brakes")
	}
	table.PutConfig(1, []fakes.Queue{{Name: "r-sheets", Host: hostName, Prefix: prefix, Pool: "brakes"}}, "spare")
	settings := fakes.Host{
		Name: "e-0", Zone: "z-0", IP: on.ip, FrontendPort: frontPort, ReadyPort: readyPort, FirstPeerPort: peerPort,
		TableAddr: table.Addr(), MachinesAddr: machines.Addr(), GraceSeconds: graceS, MemoryMB: on.memoryMB, MaxFiles: on.files,
	}.Settings()
	file := filepath.Join(t.TempDir(), "boot.conf")
	assert.NilError(t, os.WriteFile(file, []byte(settings), 0o600))
	h := &host{process: startProcess(t, on, []string{fakes.SettingsVariable + "=" + file}, "host", fmt.Sprintf("--metrics=%d", metricsPort))}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if h.submit() == http.StatusOK {
			return poll.Success()
		}
		return poll.Continue("no job is accepted yet")
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(100*time.Millisecond))
	return h
}

func (h *host) front() string   { return fmt.Sprintf("%s:%d", h.on.ip, frontPort) }
func (h *host) ready() string   { return fmt.Sprintf("%s:%d", h.on.ip, readyPort) }
func (h *host) metrics() string { return fmt.Sprintf("%s:%d", h.on.ip, metricsPort) }
func (h *host) peers() string   { return fmt.Sprintf("%s:%d", h.on.ip, peerPort) }

const smallJob = `{"spec":"x","steps":[{"count":1,"cpu":10,"memMb":1}]}`

// submit submits a job on a connection of its own, once, and returns the status; 0: no answer.
func (h *host) submit() int {
	h.jobs++
	return h.submitAs(fmt.Sprintf("%016x", h.jobs), []byte(smallJob), nil)
}

func (h *host) submitAs(id string, body []byte, header http.Header) int {
	req, err := http.NewRequest(http.MethodPost, "http://"+h.front()+prefix+id, bytes.NewReader(body))
	assert.NilError(h.t, err)
	req.Host = hostName
	for name, values := range header {
		req.Header[name] = values
	}
	client := http.Client{Timeout: waitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		h.t.Logf("job %s: %s", id, err)
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// get returns the status of a GET; 0: no answer.
func (h *host) get(addr, path string) int {
	client := http.Client{Timeout: waitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + addr + path)
	if err != nil {
		h.t.Logf("%s: %s", path, err)
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// checkBears checks the process while a crowd is there, and that it then stops.
func (h *host) checkBears() {
	h.t.Helper()
	h.checkWithinMachine()
	assert.Check(h.t, h.submit() == http.StatusOK, "an ordinary request")
	assert.Check(h.t, h.get(h.ready(), "/sapphiregauge/ready") == http.StatusOK, "readiness")
	h.checkWithinMachine()
	h.checkStops()
}

// head returns the head of a submission with more header lines.
func head(client int, lines ...string) string {
	return fmt.Sprintf("POST %s%016x HTTP/1.1\r\nHost: %s\r\n", prefix, 1<<32+client, hostName) + strings.Join(lines, "")
}

func contentLength(n int) string { return fmt.Sprintf("Content-Length: %d\r\n", n) }

const chunked = "Transfer-Encoding: chunked\r\n"

// validBody returns a job whose encoding has so many bytes.
func validBody(size int) []byte {
	return append([]byte(smallJob), bytes.Repeat([]byte(" "), size-len(smallJob))...)
}

func send(c net.Conn, text string) error {
	_, err := c.Write([]byte(text))
	return err
}
