package soak_test

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sapphiregauge/platform/fakes"
)

// entry is an entry process of the product. Its log goes to a file.
type entry struct {
	t       *testing.T
	program string
	name    string
	ip      string
	zone    string
	dir     string
	link    *link   // to the table
	inbound []*link // from other entries; none if they reach it directly

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
}

const (
	frontPort = 18624
	readyPort = 18622
	peerPort  = 17060
	graceS    = 6
	anyPort   = "127.0.0.1:0"
	// maxLogLines bounds what is printed of an entry's log.
	maxLogLines = 100
)

func newEntry(t *testing.T, program, dir string, number, zones int, p *platform, keyDelay time.Duration) *entry {
	e := &entry{t: t, program: program, name: fmt.Sprintf("e-%d", number), zone: zoneName(number, zones), dir: dir, ip: entryIP(number)}
	source := &net.TCPAddr{IP: net.ParseIP(e.ip)} // by which the table knows it
	e.link = newLink(t, &link{at: anyPort, to: p.addrs.Table, dialer: net.Dialer{LocalAddr: source}})
	settings := fakes.Host{
		Name: e.name, Zone: e.zone, IP: e.ip, FrontendPort: frontPort, ReadyPort: readyPort, FirstPeerPort: peerPort,
		TableAddr: e.link.at, MachinesAddr: p.addrs.Machines, GraceSeconds: graceS, MaxKeyDelay: keyDelay,
	}.Settings()
	assert.NilError(t, os.WriteFile(e.settingsFile(), []byte(settings), 0o600))
	t.Cleanup(e.kill)
	return e
}

func (e *entry) settingsFile() string { return filepath.Join(e.dir, e.name+".conf") }

func (e *entry) logFile() string { return filepath.Join(e.dir, e.name+".log") }

// logLines returns the newest lines of the process's log that contain text, at most maxLogLines.
func (e *entry) logLines(text string) []string {
	lines := e.allLogLines(text)
	return lines[max(0, len(lines)-maxLogLines):]
}

func (e *entry) allLogLines(text string) []string {
	raw, err := os.ReadFile(e.logFile())
	if err != nil {
		return []string{err.Error()}
	}
	var lines []string
	for line := range strings.Lines(string(raw)) {
		if strings.Contains(line, text) {
			lines = append(lines, strings.TrimSuffix(line, "\n"))
		}
	}
	return lines
}

func (e *entry) frontAddr() string { return fmt.Sprintf("%s:%d", e.ip, frontPort) }

// start starts the process unless it runs.
func (e *entry) start() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.process != nil {
		return
	}
	log, err := os.OpenFile(e.logFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.Check(e.t, err)
	p := exec.Command(e.program, "host")
	p.Env = append(os.Environ(), fakes.SettingsVariable+"="+e.settingsFile())
	p.Stdout, p.Stderr = log, log
	p.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if !assert.Check(e.t, p.Start()) {
		return
	}
	for _, l := range e.inbound {
		assert.Check(e.t, l.accept())
	}
	ended := make(chan struct{})
	e.process, e.ended = p, ended
	go func() {
		_ = p.Wait()
		_ = log.Close()
		e.mu.Lock()
		defer e.mu.Unlock()
		for _, l := range e.inbound {
			l.refuse()
		}
		e.process = nil
		close(ended)
	}()
}

// signal sends a signal to the process, if it runs, and returns a channel that is closed when the
// process has ended.
func (e *entry) signal(s syscall.Signal) <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.process == nil {
		ended := make(chan struct{})
		close(ended)
		return ended
	}
	_ = e.process.Process.Signal(s)
	return e.ended
}

func (e *entry) kill() { <-e.signal(syscall.SIGKILL) }
