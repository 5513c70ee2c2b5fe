package whole_test

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	gauge "sapphiregauge"
	"sapphiregauge/internal/apply"
	"sapphiregauge/pkg/client"
)

const (
	operatorKey = "operators-key-of-the-test"
	waitTimeout = 60 * time.Second // only a broken system takes this long
)

// site is the system in separate processes.
type site struct {
	t         testing.TB
	platform  string
	entries   []*process
	workers   []*process
	timeFlags []string // flags that set the entries' intervals and timeouts; nil: the defaults
}

type process struct {
	cmd  *exec.Cmd
	addr string
	done chan struct{}
}

//nolint:gochecknoglobals // built once for all tests
var binDir string

// isBenchmarkRun reports whether this run has benchmarks, whose figures the race detector would
// distort.
func isBenchmarkRun() bool {
	f := flag.Lookup("test.bench")
	return f != nil && f.Value.String() != ""
}

func TestMain(m *testing.M) {
	flag.Parse()
	dir, err := os.MkdirTemp("", "whole")
	if err != nil {
		panic(err)
	}
	binDir = dir
	args := []string{"build", "-o", dir}
	if !isBenchmarkRun() {
		args = append(args, "-race") // a race in any process fails its test
	}
	build := exec.Command("go", append(args, "../../cmd/...")...)
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// startProgram runs a program and waits until it has printed the address that it listens at.
func startProgram(t testing.TB, listening func(line string) string, name string, args ...string) *process {
	t.Helper()
	p := &process{cmd: exec.Command(filepath.Join(binDir, name), args...), done: make(chan struct{})}
	r, w, err := os.Pipe()
	assert.NilError(t, err)
	p.cmd.Stdout, p.cmd.Stderr = w, w
	assert.NilError(t, p.cmd.Start())
	_ = w.Close()
	addr := make(chan string, 1)
	log, err := os.Create(filepath.Join(t.TempDir(), name+".log"))
	assert.NilError(t, err)
	go func() {
		defer close(p.done)
		for sc := bufio.NewScanner(r); sc.Scan(); {
			fmt.Fprintln(log, sc.Text())
			if a := listening(sc.Text()); a != "" {
				addr <- a
			}
		}
		_ = p.cmd.Wait()
		_ = log.Close()
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.done
		text, err := os.ReadFile(log.Name())
		assert.Check(t, err)
		if strings.Contains(string(text), "DATA RACE") {
			t.Errorf("%s has a data race", name)
		}
		if t.Failed() {
			t.Logf("%s %v:\n%s", name, args, text)
		}
	})
	select {
	case p.addr = <-addr:
	case <-p.done:
		t.Fatalf("%s ended before it listened", name)
	}
	return p
}

func standinAddr(line string) string {
	a, _ := strings.CutPrefix(line, "listening ")
	if a == line {
		return ""
	}
	return a
}

func entryAddr(line string) string {
	var l struct{ Msg, HTTP string }
	if json.Unmarshal([]byte(line), &l) != nil || l.Msg != "entry runs" {
		return ""
	}
	return l.HTTP
}

// fastTimeFlags returns the flags with which an entry notices changes and failures soon.
func fastTimeFlags() []string {
	return []string{
		"--poll", "300ms", "--beat", "300ms", "--row", "500ms", "--term", "1s", "--round", "200ms",
		"--watch", "300ms", "--drain", "300ms", "--stop", "20s",
	}
}

func newSite(t testing.TB, entries, workers int) *site {
	return newSiteWith(t, entries, workers, fastTimeFlags())
}

func newSiteWith(t testing.TB, entries, workers int, timeFlags []string) *site {
	s := &site{t: t, timeFlags: timeFlags}
	s.platform = startProgram(t, standinAddr, "standin", "platform", "--lag", "300ms", "--gone", "2s").addr
	for i := range workers {
		s.workers = append(s.workers, startProgram(t, standinAddr, "standin", "worker",
			"--platform", s.platform, "--id", fmt.Sprintf("w%02d", i), "--zone", fmt.Sprintf("z%d", i%3),
			"--rack", fmt.Sprintf("r%d", i%6), "--boot", "300ms", "--every", "100ms"))
	}
	for i := range entries {
		s.addEntry(fmt.Sprintf("e%d", i))
	}
	return s
}

func (s *site) addEntry(id string) *process {
	args := append([]string{
		"entry", "--id", id, "--zone", "z0",
		"--http", "127.0.0.1:0", "--peer", "127.0.0.1:0", "--platform", s.platform,
		"--peerkey", "peer-key-of-the-test", "--opkey", operatorKey,
	}, s.timeFlags...)
	p := startProgram(s.t, entryAddr, "sapphiregauge", args...)
	s.entries = append(s.entries, p)
	return p
}

func (p *process) operator() *client.Client {
	return client.New(client.Config{Addr: p.addr, Key: operatorKey})
}

func (p *process) caller() *client.Client {
	return client.New(client.Config{Addr: p.addr, Team: "garages"})
}

func (p *process) signal(t testing.TB, sig syscall.Signal) {
	t.Helper()
	assert.NilError(t, p.cmd.Process.Signal(sig))
}

// waitFor waits for a condition. It fails only long after a working system would have met it.
func waitFor(t testing.TB, what string, condition func(ctx context.Context) bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		if condition(ctx) {
			return poll.Success()
		}
		return poll.Continue("not yet: %s", what)
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(50*time.Millisecond))
}

func (s *site) apply(files ...apply.File) apply.Result {
	s.t.Helper()
	var res apply.Result
	waitFor(s.t, "records are accepted", func(ctx context.Context) bool {
		return s.entries[0].operator().Post(ctx, "/apply", apply.Submission{ID: client.NewKey(), Files: files}, &res) == nil
	})
	return res
}

// waitInForce waits until every entry has a revision in force.
func (s *site) waitInForce(revision int64) {
	s.t.Helper()
	for _, e := range s.entries {
		waitFor(s.t, "the revision is in force", func(ctx context.Context) bool {
			var b struct {
				Revision int64 `json:"revision"`
			}
			return e.operator().Get(ctx, "/records", &b) == nil && b.Revision >= revision
		})
	}
}

func (p *process) hosts(ctx context.Context) gauge.Hosts {
	var b struct {
		Hosts gauge.Hosts `json:"hosts"`
	}
	_ = p.operator().Get(ctx, "/hosts", &b)
	return b.Hosts
}

// waitServed waits until a request through an entry is answered.
func (p *process) waitServed(t testing.TB) {
	t.Helper()
	waitFor(t, "a request is served", func(ctx context.Context) bool {
		r, err := p.caller().Do(ctx, client.Call{Service: "brakes", Body: []byte("x")})
		return err == nil && r.Status == http.StatusOK
	})
}

// workerStatus is what a fake worker reports to have done.
type workerStatus struct {
	Running int            `json:"running"`
	Peak    int            `json:"peak"`
	Runs    map[string]int `json:"runs"`
}

func (p *process) workerStatus(t testing.TB) workerStatus {
	t.Helper()
	var c workerStatus
	resp, err := http.Get("http://" + p.addr + "/stand/status")
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&c))
	return c
}
