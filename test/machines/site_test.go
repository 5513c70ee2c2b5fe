package machines_test

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"sapphiregauge/internal/boot"
	"sapphiregauge/internal/mesh"
	"sapphiregauge/internal/node"
	"sapphiregauge/internal/timely"
	"sapphiregauge/platform"
	"sapphiregauge/platform/fakes"
)

// site is a small deployment: entries of the product on loopback, and fakes of everything else.
type site struct {
	t        *testing.T
	table    *fakes.Table
	machines *fakes.Machines
	journal  *fakes.Journal
	entries  []*entry
	client   http.Client
	// keysRequired says that calls need a key, also for entries started from now on.
	keysRequired bool

	mu    sync.Mutex
	lines []string // logged by all entries
}

// log returns a logger that collects the lines of all entries.
func (s *site) log() logr.Logger {
	return funcr.New(func(_, args string) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.lines = append(s.lines, args)
	}, funcr.Options{})
}

// printLeaseLines prints what was logged of leases, if the test has failed.
func (s *site) printLeaseLines() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.t.Failed() {
		return
	}
	for _, line := range s.lines {
		if strings.Contains(line, `"msg"="lease`) || strings.Contains(line, `"msg"="pool l`) || strings.Contains(line, `"msg"="holder`) {
			s.t.Log(line)
		}
	}
}

// countLogged counts the log lines that contain all of some texts.
func (s *site) countLogged(texts ...string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, line := range s.lines {
		if !slices.ContainsFunc(texts, func(t string) bool { return !strings.Contains(line, t) }) {
			n++
		}
	}
	return n
}

// entry is one entry, with its own network connections.
type entry struct {
	node     *node.Node
	front    *platform.Frontend
	mesh     *mesh.Node
	addr     string
	peerAddr string // address for other entries
	kill     context.CancelFunc
	done     chan struct{}
}

const (
	queueName = "r-sheets"
	queueHost = "garage.example"
	queuePath = "/sheets/"
	poolName  = "brakes"
	spareName = "spare"
	// maxKeyDelay is how long a withdrawn key may still be accepted.
	maxKeyDelay = 5 * time.Second
	// waitTimeout bounds each wait of a test; no check depends on it.
	waitTimeout = 60 * time.Second
)

func newSite(t *testing.T, entries, hosts int) *site {
	t.Helper()
	s := &site{t: t, table: fakes.NewTable(), journal: fakes.NewJournal()}
	s.client = http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	s.machines = fakes.NewMachines(s.table, s.journal)
	t.Cleanup(s.printLeaseLines)
	t.Cleanup(s.table.Close)
	t.Cleanup(s.machines.Close)
	for i := range hosts {
		s.machines.Add(fmt.Sprintf("m-%d", i), poolName)
	}
	s.table.PutConfig(1, []fakes.Queue{{Name: queueName, Host: queueHost, Prefix: queuePath, Pool: poolName}}, spareName)
	for i := range entries {
		s.start(fmt.Sprintf("e-%d", i))
	}
	return s
}

func (s *site) listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(s.t, err)
	return l
}

func (s *site) start(name string) *entry { return s.startAt(name, s.table.Addr()) }

// startAt starts an entry that reaches the table at another address, as through a proxy.
func (s *site) startAt(name, tableAddr string) *entry { return s.startOn(name, tableAddr, host{}) }

// host describes the host that an entry runs on.
type host struct {
	capacity float64              // cores
	now      func() time.Duration // nil: the time since boot
	peers    net.Listener         // for calls of other entries; nil: at a new port
	peerAddr string               // at which other entries reach it, as through a proxy; empty: that of peers
	workers  *workerLink          // nil: it reaches all workers
}

const (
	heartbeatTimeout = 800 * time.Millisecond
	orderTimeout     = 300 * time.Millisecond
)

// startOn starts an entry on a host.
func (s *site) startOn(name, tableAddr string, on host) *entry {
	if on.now == nil {
		on.now = boot.Now
	}
	e := &entry{done: make(chan struct{})}
	e.mesh = mesh.New(mesh.Config{Closed: func(addr string) { e.node.CheckHolder(addr) }})
	peer, front := on.peers, s.listen()
	if peer == nil {
		peer = s.listen()
	}
	e.addr, e.peerAddr = front.Addr().String(), cmp.Or(on.peerAddr, peer.Addr().String())
	table := platform.NewTable(platform.TableConfig{Addr: tableAddr, ReadTimeout: 900 * time.Millisecond, CommitTimeout: 1500 * time.Millisecond, Clock: time.Now})
	workers := platform.NewWorkers(platform.WorkersConfig{HeartbeatTimeout: heartbeatTimeout, OrderTimeout: orderTimeout, Clock: time.Now})
	e.node = node.New(node.Config{
		Store: timely.New(timely.Config{
			Store: table, CheckDelay: 300 * time.Millisecond, MaxFastRead: 100 * time.Millisecond, ReadTimeout: 500 * time.Millisecond,
			CommitTimeout: 1500 * time.Millisecond, Now: boot.Now,
		}),
		Name: name, StartID: "1", Addr: e.peerAddr, Workers: on.workers.through(workers),
		Machines: platform.NewMachines(platform.MachinesConfig{Addr: s.machines.Addr(), Timeout: time.Second, Clock: time.Now}),
		Codec:    platform.TableCodec{KeysRequired: s.keysRequired}, MaxKeyDelay: maxKeyDelay, Mesh: e.mesh, Logs: s.log().WithValues("entry", name), Now: on.now, WallClock: time.Now, CapacityCores: on.capacity,
		ObserveCall: func(string, time.Duration) {}, CountEvent: func(string) {}, MaxWorkerLease: 10 * time.Second, MinOrderInterval: time.Second, MaintenanceDuration: 200 * time.Millisecond,
	})
	e.front = platform.NewFrontend(platform.FrontendConfig{Jobs: e.node.Jobs(), Site: e.node.ServingSite, Admit: e.node.Admit, MayBeStored: e.node.MayBeStored, Ready: e.node.Ready, Logs: s.log()})
	ctx, cancel := context.WithCancel(context.Background())
	e.kill = cancel
	go func() { _ = e.front.Serve(front) }()
	go func() { _ = e.mesh.Serve(ctx, peer) }()
	go func() {
		e.node.Run(ctx)
		close(e.done)
	}()
	s.t.Cleanup(func() {
		cancel()
		e.mesh.Close()
		ctx, stop := context.WithTimeout(context.Background(), time.Second)
		defer stop()
		_ = e.front.Close(ctx)
		table.Close()
		workers.Close()
	})
	s.entries = append(s.entries, e)
	return e
}

// call sends a client request to an entry. It returns status 0 if there is no answer.
func (s *site) call(e *entry, method, path string, body any) (int, map[string]any, http.Header) {
	return s.callWithKey(e, method, path, body, "")
}

// callWithKey is call with a key of a client account; empty: none is sent.
func (s *site) callWithKey(e *entry, method, path string, body any, key string) (int, map[string]any, http.Header) {
	var b bytes.Buffer
	if body != nil {
		assert.NilError(s.t, json.NewEncoder(&b).Encode(body))
	}
	req, err := http.NewRequest(method, "http://"+e.addr+path, &b)
	assert.NilError(s.t, err)
	req.Host = queueHost
	if key != "" {
		req.Header.Set("Authorization", "Token "+key)
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return 0, nil, nil
	}
	defer func() { _ = resp.Body.Close() }()
	raw, _ := io.ReadAll(resp.Body)
	var out map[string]any
	_ = json.Unmarshal(raw, &out)
	return resp.StatusCode, out, resp.Header
}

func jobPath(n int) string { return queuePath + fmt.Sprintf("%016x", n) }

// twoSteps returns a job of two steps of two tasks each, the second after the first.
func twoSteps(millis int) map[string]any {
	spec := fakes.Work{RunMillis: millis, CPU: 500}.Payload()
	one := map[string]any{"count": 2, "cpu": 500, "memMb": 100, "estimateMs": millis}
	two := map[string]any{"count": 2, "cpu": 500, "memMb": 100, "estimateMs": millis, "after": []int{0}}
	return map[string]any{"spec": spec, "steps": []any{one, two}}
}

// submit submits a job and retries as a client does: after no answer, 502 or 504. It reports
// whether the job was accepted; false: it was refused.
func (s *site) submit(n int, body any) bool {
	for try := 0; ; try++ {
		status, out, _ := s.call(s.entries[(n+try)%len(s.entries)], http.MethodPost, jobPath(n), body)
		switch status {
		case http.StatusOK:
			return true
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			return false
		case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
		default:
			s.t.Fatalf("job %d: status %d %v", n, status, out)
		}
	}
}

func (s *site) jobState(n int) string {
	status, out, _ := s.call(s.entries[n%len(s.entries)], http.MethodGet, jobPath(n), nil)
	if status != http.StatusOK {
		return strconv.Itoa(status)
	}
	return out["state"].(string)
}

// waitFor waits until a condition holds.
func (s *site) waitFor(what string, condition func() bool) {
	s.t.Helper()
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(20*time.Millisecond))
}

func (s *site) waitReady() {
	s.t.Helper()
	s.waitFor("entries ready", func() bool {
		for _, e := range s.entries {
			if !e.node.Ready() {
				return false
			}
		}
		return true
	})
}

func (s *site) waitCompleted(jobs []int) {
	s.t.Helper()
	for _, n := range jobs {
		s.waitFor(fmt.Sprintf("job %d completed", n), func() bool { return s.jobState(n) == "completed" })
	}
}

func (s *site) checkNoViolations() {
	s.t.Helper()
	violations := s.journal.Violations()
	assert.Equal(s.t, len(violations), 0, "%v", violations)
}
