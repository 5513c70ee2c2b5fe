// Package soak_test runs the real programs as separate processes and disturbs them from
// outside: signals, paths that are slow, cut or silent, a platform that misbehaves or is
// paused, configurations and a wave meanwhile. One seed gives one schedule. The promises
// are checked from what callers and workers see; nothing is decided by how long anything
// takes but a stop, which has its grace.
//
//	SOAK_SEEDS=1,2,3 SOAK_ENTRIES=8 SOAK_SECONDS=60 SOAK_CHANGES=1 SOAK_CRASHES=1 go test -run Soak -timeout 2h ./test/soak
package soak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
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
	"gotest.tools/v3/poll"
)

// plan is a seed and the size of its run.
type plan struct {
	seed    uint64
	entries int
	seconds int
	changes bool // entries are also cut off from the table for seconds while the configuration changes
	crashes bool // some jobs crash their workers, and the room of workers changes
}

// plans are played where SOAK_SEEDS names no seeds. A seed that ever failed stays here.
func plans(t *testing.T) []plan {
	t.Helper()
	seeds := os.Getenv("SOAK_SEEDS")
	if seeds == "" {
		return []plan{
			{seed: 1, entries: defaultEntries, seconds: defaultSeconds},
			{seed: 2, entries: defaultEntries, seconds: defaultSeconds},
			// An entry was still there long after its grace: a caller's connection didn't
			// close, and the server of the readiness check went on.
			{seed: 17, entries: 8, seconds: 30},
			// A refused job ran: an entry that had just started sent it to the table itself
			// and couldn't tell the pool's owner, which refused the next try.
			{seed: 55, entries: defaultEntries, seconds: defaultSeconds},
			// An entry said of a queue that it is missing, more than two seconds after it was added.
			{seed: 201, entries: defaultEntries, seconds: defaultSeconds, changes: true},
			{seed: 301, entries: defaultEntries, seconds: defaultSeconds, crashes: true},
			// A sound lasting job was given up: its workers lost power together while their owner
			// was paused, and another took the pool.
			{seed: 501, entries: defaultEntries, seconds: defaultSeconds, crashes: true},
			// A task went on ending workers: owners in a row couldn't write, or left before they
			// knew of a crash.
			{seed: 525, entries: defaultEntries, seconds: defaultSeconds, crashes: true},
			{seed: 528, entries: defaultEntries, seconds: defaultSeconds, crashes: true},
			// A start that reached a worker's next life, and was stopped there, was not counted.
			{seed: 531, entries: defaultEntries, seconds: defaultSeconds, crashes: true},
		}
	}
	var list []plan
	for _, text := range strings.Split(seeds, ",") {
		seed, err := strconv.ParseUint(text, 10, 64)
		assert.NilError(t, err)
		list = append(list, plan{
			seed: seed, entries: setting("SOAK_ENTRIES", defaultEntries), seconds: setting("SOAK_SECONDS", defaultSeconds),
			changes: setting("SOAK_CHANGES", 0) > 0, crashes: setting("SOAK_CRASHES", 0) > 0,
		})
	}
	return list
}

const (
	defaultEntries = 4
	defaultSeconds = 14
	clients        = 4
	lastingID      = "feed000000000001"
	// mayBeGivenUp is after how many crashes of workers under it a task may be given up: users' figure.
	mayBeGivenUp = 2
	// patience bounds each wait; nothing is decided by it.
	patience = 2 * time.Minute
	// stopWait is the grace that the settings tell, and what a busy machine takes to see
	// that a process has ended.
	stopWait = (graceS + 4) * time.Second
)

func setting(name string, missing int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return missing
}

func TestSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "sapphiregauge")
	out, err := exec.Command("go", "build", "-o", program, "sapphiregauge/cmd/sapphiregauge").CombinedOutput()
	assert.NilError(t, err, "%s", out)
	for _, p := range plans(t) {
		t.Run(fmt.Sprintf("seed=%d", p.seed), func(t *testing.T) { newSoak(t, program, p).run() })
	}
}

// soak is one run.
type soak struct {
	t        *testing.T
	seed     uint64
	lasts    time.Duration
	random   *rand.Rand
	platform *platform
	entries  []*entry
	callers  *callers
	stored   stored
	changes  bool
	crashes  bool
	crashers crashers
	asked    int            // times for a queue that had to be there
	group    sync.WaitGroup // of events that go on
}

func newSoak(t *testing.T, program string, p plan) *soak {
	s := &soak{
		t: t, seed: p.seed, lasts: time.Duration(p.seconds) * time.Second,
		random: rand.New(rand.NewPCG(p.seed, 0)), platform: startPlatform(t),
		stored: stored{version: 1, at: make(map[int64]time.Time)}, changes: p.changes, crashes: p.crashes,
	}
	dir := t.TempDir()
	if keep := os.Getenv("SOAK_LOGS"); keep != "" {
		dir = filepath.Join(keep, fmt.Sprintf("seed-%d", p.seed))
		assert.NilError(t, os.MkdirAll(dir, 0o750))
	}
	for i := range p.entries {
		e := newEntry(t, program, dir, i, s.platform)
		s.entries = append(s.entries, e)
		e.start()
	}
	s.callers = newCallers(s.entries)
	return s
}

func (s *soak) run() {
	s.until("all serve", func() bool { return s.each(func(e *entry) bool { return s.status(e, prefix) == http.StatusOK }) })
	s.until("the lasting job is accepted", func() bool {
		status, _ := s.callers.call(s.entries[0], http.MethodPost, prefix+lastingID, lastingJob())
		return status == http.StatusOK
	})
	ctx, cancel := context.WithTimeout(s.t.Context(), s.lasts)
	defer cancel()
	var working sync.WaitGroup
	for i := range clients {
		working.Go(func() { s.callers.work(ctx, i, s.seed) })
	}
	working.Go(func() { s.askForNewQueues(ctx) })
	if s.changes {
		working.Go(func() { s.changeUnheard(ctx) })
	}
	if s.crashes {
		working.Go(func() { s.handInCrashers(ctx) })
		working.Go(func() { s.changeRoom(ctx) })
	}
	for ctx.Err() == nil {
		s.event()
		rest(ctx, time.Duration(100+s.random.IntN(900))*time.Millisecond)
	}
	working.Wait()
	s.heal()
	s.check()
}

// event begins one disturbance; several go on at a time.
func (s *soak) event() {
	e := s.entries[s.random.IntN(len(s.entries))]
	lasts := time.Duration(200+s.random.IntN(1800)) * time.Millisecond
	later := func(do func()) {
		s.group.Go(func() {
			time.Sleep(lasts) // the schedule's own time
			do()
		})
	}
	switch s.random.IntN(9) {
	case 0:
		<-e.signal(syscall.SIGKILL)
		later(e.start)
	case 1:
		e.signal(syscall.SIGSTOP)
		later(func() { e.signal(syscall.SIGCONT) })
	case 2:
		s.stop(e, later)
	case 3, 4:
		modes := []mode{modeSlow, modeReset, modeOneWay, modeSilent}
		e.way.set(modes[s.random.IntN(len(modes))])
		later(func() { e.way.set(modeOpen) })
	case 5:
		s.platform.do(fmt.Sprintf("/faults?share=%.2f&seed=%d", 0.02+0.2*s.random.Float64(), s.random.Uint64()))
		later(func() { s.platform.do("/faults?share=0") })
	case 6:
		_ = s.platform.process.Process.Signal(syscall.SIGSTOP)
		time.Sleep(lasts / 2) // nobody may ask it meanwhile
		_ = s.platform.process.Process.Signal(syscall.SIGCONT)
	case 7:
		s.configure()
	default:
		s.platform.do("/wave")
	}
}

// stop stops an entry gracefully, twice the signal now and then, and starts it again.
func (s *soak) stop(e *entry, later func(do func())) {
	ended := e.signal(syscall.SIGTERM)
	s.group.Go(func() {
		select {
		case <-ended:
		case <-time.After(stopWait):
			// A pause or a kill meanwhile changes nothing: it ends either way.
			e.signal(syscall.SIGCONT)
			select {
			case <-ended:
			case <-time.After(stopWait):
				assert.Check(s.t, false, "seed %d: %s doesn't stop within its grace", s.seed, e.name)
			}
		}
		later(e.start)
	})
}

// heal ends all disturbances.
func (s *soak) heal() {
	s.group.Wait()
	_ = s.platform.process.Process.Signal(syscall.SIGCONT)
	s.platform.do("/faults?share=0")
	for _, e := range s.entries {
		e.way.set(modeOpen)
		e.signal(syscall.SIGCONT)
		e.start()
	}
}

// check compares what callers were told with what became of it.
func (s *soak) check() {
	s.until("the newest configuration is in force at all", func() bool {
		return s.each(func(e *entry) bool {
			return s.stored.version == 1 || s.status(e, fmt.Sprintf("/v%d/", s.stored.version)) == http.StatusOK
		})
	})
	counts := make(map[outcome]int)
	for id, o := range s.callers.jobs {
		counts[o]++
		switch o {
		case accepted:
			s.until("job "+id+" completed", func() bool { return s.state(id) == "completed" || s.givenUp(id) })
		case cancelled:
			s.until("job "+id+" over", func() bool { return s.state(id) == "cancelled" || s.state(id) == "completed" })
		case refused, unknown:
		}
	}
	for _, id := range s.crashers.all() {
		s.until("job "+id+" given up", func() bool { return s.state(id) == "failed" })
	}
	s.t.Logf("seed %d: crashed their workers %d,", s.seed, len(s.crashers.all()))
	s.t.Logf("seed %d: %v, configurations %d, asked for their queues %d times", s.seed, counts, s.stored.version, s.asked)
	s.until("both lasting tasks run, and nothing else", func() bool {
		running := s.platform.verdict().Running
		for id, o := range s.callers.jobs {
			if o == unknown && s.state(id) != "completed" && s.state(id) != "410" && !s.givenUp(id) {
				return false
			}
		}
		if s.givenUp(lastingID) {
			return len(running) == 0
		}
		return len(running) == 2 && running[lastingID+".0.0.0"] == 1 && running[lastingID+".0.0.1"] == 1
	})
	v := s.platform.verdict()
	assert.Check(s.t, len(v.Faults) == 0, "seed %d: %v", s.seed, v.Faults)
	for task := range v.Starts {
		id, _, _ := strings.Cut(task, ".")
		assert.Check(s.t, s.callers.jobs[id] != refused, "seed %d: %s was refused, and %s ran: %q", s.seed, id, task, s.callers.tries[id])
	}
}

// givenUp tells whether a job failed that may have: two workers at least crashed under one of its
// tasks. That the task isn't the cause nobody can know for sure.
func (s *soak) givenUp(id string) bool {
	if !s.crashes || s.state(id) != "failed" {
		return false
	}
	for task, workers := range s.platform.verdict().Under {
		if strings.HasPrefix(task, id+".") && workers >= mayBeGivenUp {
			s.t.Logf("seed %d: given up, as %d workers crashed under it: %s", s.seed, workers, task)
			return true
		}
	}
	return false
}

func (s *soak) each(holds func(e *entry) bool) bool {
	for _, e := range s.entries {
		if !holds(e) {
			return false
		}
	}
	return true
}

func (s *soak) status(e *entry, path string) int {
	status, _ := s.callers.call(e, http.MethodGet, path, nil)
	return status
}

func (s *soak) state(id string) string {
	status, out := s.callers.call(s.entries[0], http.MethodGet, prefix+id, nil)
	if status != http.StatusOK {
		return strconv.Itoa(status)
	}
	text, _ := out["state"].(string)
	return text
}

func (s *soak) until(what string, holds func() bool) {
	s.t.Helper()
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("seed %d: %s", s.seed, what)
	}, poll.WithTimeout(patience), poll.WithDelay(20*time.Millisecond))
}
