// Package abuse_test starts the product's processes on loopback and sends them crowds of clients that
// don't behave. It checks what doesn't depend on the machine's speed: that the process lives, that it
// stays within the memory and the descriptors of its machine, that an ordinary request is answered
// afterwards, and that the process then stops when it is asked to.
package abuse_test

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

//nolint:gochecknoglobals // built once for all tests
var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "abuse")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "sapphiregauge")
	build := exec.Command("go", "build", "-o", program, "sapphiregauge/cmd/sapphiregauge")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// machine is what a process may use.
type machine struct {
	ip       string
	memoryMB int
	files    int // file descriptors
}

// filesKept is how many of the descriptors are for files, by the platform's pages.
const filesKept = 200

// sampleInterval is the time between two looks at what a process uses.
const sampleInterval = 20 * time.Millisecond

// process is a process of the product, and the most that it was seen to use.
type process struct {
	t     *testing.T
	on    machine
	cmd   *exec.Cmd
	log   string
	ended chan struct{}
	stop  chan struct{} // closed to stop sampling

	mu       sync.Mutex
	resident int // peak of the resident memory, bytes
	total    int // peak of the resident memory and the unread bytes together
	files    int // peak of the open descriptors
}

// startProcess starts a process that can't open more descriptors than its machine has.
func startProcess(t *testing.T, on machine, env []string, args ...string) *process {
	t.Helper()
	p := &process{t: t, on: on, log: filepath.Join(t.TempDir(), "log"), ended: make(chan struct{}), stop: make(chan struct{})}
	log, err := os.Create(p.log)
	assert.NilError(t, err)
	limited := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, on.files)
	p.cmd = exec.Command("sh", append([]string{"-c", limited, program}, args...)...)
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	assert.NilError(t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		_ = log.Close()
		close(p.ended)
	}()
	go p.sample()
	t.Cleanup(func() {
		close(p.stop)
		_ = p.cmd.Process.Kill()
		<-p.ended
		if t.Failed() {
			text, _ := os.ReadFile(p.log)
			t.Logf("log of the process, its end:\n%s", text[max(0, len(text)-maxLogBytes):])
		}
	})
	return p
}

// maxLogBytes bounds what is printed of a log.
const maxLogBytes = 4000

func (p *process) sample() {
	for {
		select {
		case <-p.stop:
			return
		case <-p.ended:
			return
		case <-time.After(sampleInterval):
		}
		resident, peak := p.residentBytes()
		files, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
		total := resident + unreadBytes(p.on.ip)
		p.mu.Lock()
		p.resident, p.total, p.files = max(p.resident, peak), max(p.total, total), max(p.files, len(files))
		p.mu.Unlock()
	}
}

// residentBytes returns the resident memory of the process, and its peak.
func (p *process) residentBytes() (now, peak int) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0, 0
	}
	for line := range strings.Lines(string(text)) {
		name, value, _ := strings.Cut(line, ":")
		kib, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
		switch name {
		case "VmRSS":
			now = kib << 10
		case "VmHWM":
			peak = kib << 10
		}
	}
	return now, peak
}

// unreadBytes returns how many bytes the kernel has received for an address that its process has not
// read yet.
func unreadBytes(ip string) int {
	var b [4]int
	_, _ = fmt.Sscanf(ip, "%d.%d.%d.%d", &b[0], &b[1], &b[2], &b[3])
	local := fmt.Sprintf("%02X%02X%02X%02X:", b[3], b[2], b[1], b[0])
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer file.Close()
	sum := 0
	for lines := bufio.NewScanner(file); lines.Scan(); {
		// Columns: number, local address, remote address, state, sent:received, ...
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || !strings.HasPrefix(fields[1], local) || fields[3] == stateListen {
			continue
		}
		_, received, _ := strings.Cut(fields[4], ":")
		n, _ := strconv.ParseInt(received, 16, 64)
		sum += int(n)
	}
	return sum
}

// stateListen is the state of a listening socket in /proc/net/tcp, whose queue counts connections.
const stateListen = "0A"

// settleSamples is for how many samples a process that has taken in all that it will doesn't change.
const settleSamples = 25

// settle waits until the process has taken in what it was sent, as far as it will.
func (p *process) settle() {
	var last [2]int
	for same, left := 0, int(waitTimeout/sampleInterval); same < settleSamples && left > 0; left-- {
		files, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
		now := [2]int{len(files), unreadBytes(p.on.ip)}
		same++
		if now != last {
			same, last = 0, now
		}
		time.Sleep(sampleInterval)
	}
}

// checkWithinMachine checks that the process lives, and that it stayed within its machine.
func (p *process) checkWithinMachine() {
	p.t.Helper()
	p.settle()
	select {
	case <-p.ended:
		p.t.Fatalf("the process has ended: %s", p.cmd.ProcessState)
	default:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.t.Logf("peaks: %d MB resident, %d MB with unread bytes, of %d MB; %d descriptors of %d",
		p.resident>>20, p.total>>20, p.on.memoryMB, p.files, p.on.files)
	assert.Check(p.t, max(p.resident, p.total) <= p.on.memoryMB<<20, "%d MB of memory, the machine has %d", max(p.resident, p.total)>>20, p.on.memoryMB)
	assert.Check(p.t, p.files <= p.on.files-filesKept, "%d descriptors, the machine has %d for connections", p.files, p.on.files-filesKept)
}

// checkStops asks the process to stop and checks that it does.
func (p *process) checkStops() {
	p.t.Helper()
	assert.NilError(p.t, p.cmd.Process.Signal(syscall.SIGTERM))
	select {
	case <-p.ended:
		assert.Equal(p.t, p.cmd.ProcessState.ExitCode(), 0)
	case <-time.After(waitTimeout):
		p.t.Fatal("the process still runs")
	}
}
