// Package soak_test runs the real programs as separate processes and disturbs them from outside:
// signals, network links that are slow, broken or silent, a platform that misbehaves or is paused,
// and configuration changes and a maintenance wave meanwhile. Each seed gives one schedule. The
// guarantees are checked from what callers and workers see; no check depends on how long anything
// takes, except that a stop has to end within its grace period.
//
//	SOAK_SEEDS=1,2,3 SOAK_ENTRIES=8 SOAK_SECONDS=60 SOAK_CHANGES=1 SOAK_CRASHES=1 SOAK_ACCOUNTS=1 SOAK_STRAGGLERS=1 SOAK_OVERLOAD=1 SOAK_LONG_RUNNING=4 SOAK_STEADY_POWER=1 SOAK_MACHINES=1 SOAK_CUTS=1 go test -run Soak -timeout 2h ./test/soak
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
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// runConfig is a seed and the size of its run.
type runConfig struct {
	seed    uint64
	entries int
	seconds int
	changes bool // entries are also cut off from the table for seconds while the configuration changes
	crashes bool // some jobs crash their workers, and the capacity of workers changes
	// accounts: calls need keys, which are replaced, and the limit of an account rises and falls.
	accounts bool
	// stragglers: some steps are speculative, and runs and workers stall or are slow at times.
	stragglers bool
	// overload: with accounts, bursts of several times what the workers can do, at the end of calm
	// periods in which an owner lasts long enough to refuse jobs.
	overload bool
	// longRunning is the number of long-running jobs; 0: one.
	longRunning int
	steadyPower bool // with crashes, but workers don't lose power together
	// machines: workers are cut off, one wave of maintenance follows the other, and orders to the
	// machine service fail or come late.
	machines bool
	// cuts: entries and workers are in three zones, of which one, or a part of it, is cut off for
	// seconds.
	cuts bool
}

// runConfigs returns the runs that SOAK_SEEDS names, or the default ones. A seed that ever failed
// stays in the default list.
func runConfigs(t *testing.T) []runConfig {
	t.Helper()
	seeds := os.Getenv("SOAK_SEEDS")
	if seeds == "" {
		return []runConfig{
			{seed: 1, entries: defaultEntries, seconds: defaultSeconds},
			{seed: 2, entries: defaultEntries, seconds: defaultSeconds},
			// An entry still ran long after its grace period: a caller's connection didn't close,
			// and the server of the readiness check kept running.
			{seed: 17, entries: 8, seconds: 30},
			// A refused job ran: an entry that had just started sent it to the table itself and
			// couldn't notify the pool's owner, which refused the next attempt.
			{seed: 55, entries: defaultEntries, seconds: defaultSeconds},
			// An entry answered that a queue is missing more than two seconds after it was added.
			{seed: 201, entries: defaultEntries, seconds: defaultSeconds, changes: true},
			{seed: 301, entries: defaultEntries, seconds: defaultSeconds, crashes: true},
			// A healthy long-running job was failed: its workers lost power together while their
			// owner was paused, and another entry took the pool.
			{seed: 501, entries: defaultEntries, seconds: defaultSeconds, crashes: true},
			// A task continued to crash workers: several owners in a row couldn't write to the
			// table, or stopped before they knew of a crash.
			{seed: 525, entries: defaultEntries, seconds: defaultSeconds, crashes: true},
			{seed: 528, entries: defaultEntries, seconds: defaultSeconds, crashes: true},
			// A start that reached the next incarnation of a worker, and was stopped there, was
			// not counted.
			{seed: 531, entries: defaultEntries, seconds: defaultSeconds, crashes: true},
			{seed: 701, entries: defaultEntries, seconds: defaultSeconds, changes: true, accounts: true},
			{seed: 805, entries: defaultEntries, seconds: 20, stragglers: true},
			// The two bursts need 44 s.
			{seed: 903, entries: defaultEntries, seconds: 44, stragglers: true, accounts: true, overload: true},
		}
	}
	var list []runConfig
	for _, text := range strings.Split(seeds, ",") {
		seed, err := strconv.ParseUint(text, 10, 64)
		assert.NilError(t, err)
		list = append(list, runConfig{
			seed: seed, entries: envInt("SOAK_ENTRIES", defaultEntries), seconds: envInt("SOAK_SECONDS", defaultSeconds),
			changes: envInt("SOAK_CHANGES", 0) > 0, crashes: envInt("SOAK_CRASHES", 0) > 0,
			accounts: envInt("SOAK_ACCOUNTS", 0) > 0, stragglers: envInt("SOAK_STRAGGLERS", 0) > 0,
			overload: envInt("SOAK_OVERLOAD", 0) > 0, longRunning: envInt("SOAK_LONG_RUNNING", 0),
			steadyPower: envInt("SOAK_STEADY_POWER", 0) > 0, machines: envInt("SOAK_MACHINES", 0) > 0,
			cuts: envInt("SOAK_CUTS", 0) > 0,
		})
	}
	return list
}

const (
	defaultEntries = 4
	defaultSeconds = 14
	clients        = 4
	// minCrashesToFail is how many workers have to crash under a task before its job may be
	// failed; a requirement of the users.
	minCrashesToFail = 2
	// waitTimeout bounds each wait; no check depends on it.
	waitTimeout = 2 * time.Minute
	// stopTimeout is the grace period of the settings, plus the time that a busy machine takes to
	// notice that a process has ended.
	stopTimeout = (graceS + 4) * time.Second
)

func envInt(name string, defaultValue int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return defaultValue
}

func TestSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "sapphiregauge")
	out, err := exec.Command("go", "build", "-o", program, "sapphiregauge/cmd/sapphiregauge").CombinedOutput()
	assert.NilError(t, err, "%s", out)
	for _, p := range runConfigs(t) {
		t.Run(fmt.Sprintf("seed=%d", p.seed), func(t *testing.T) { newSoak(t, program, p).run() })
	}
}

// soak is one run of the test: its processes, its clients and what is done to them.
type soak struct {
	t             *testing.T
	seed          uint64
	duration      time.Duration
	random        *rand.Rand
	platform      *platform
	entries       []*entry
	callers       *callers
	stored        configurations
	changes       bool
	crashes       bool
	steadyPower   bool
	machines      bool
	cuts          bool
	routes        []*route // with cuts
	stragglers    bool
	overload      bool
	longRunning   []string // long-running jobs
	crashJobs     crashJobs
	accounts      *accounts      // nil: calls carry no keys
	queueRequests int            // requests for a queue that had to be in force
	keyRequests   int            // calls with a key that may not be accepted any more
	disturbances  sync.WaitGroup // disturbances in progress
}

func newSoak(t *testing.T, program string, p runConfig) *soak {
	zones, network := defaultZones, withoutZones
	if p.cuts {
		zones, network = cutZones, ownNetwork()
	}
	s := &soak{
		t: t, seed: p.seed, duration: time.Duration(p.seconds) * time.Second,
		random: rand.New(rand.NewPCG(p.seed, 0)), platform: startPlatform(t, network),
		stored: configurations{version: 1, storedAt: make(map[int64]time.Time)}, changes: p.changes, crashes: p.crashes,
		steadyPower: p.steadyPower, machines: p.machines, cuts: p.cuts, stragglers: p.stragglers, overload: p.overload, longRunning: longRunningIDs(max(1, p.longRunning)),
	}
	dir := t.TempDir()
	if keep := os.Getenv("SOAK_LOGS"); keep != "" {
		dir = filepath.Join(keep, fmt.Sprintf("seed-%d", p.seed))
		assert.NilError(t, os.MkdirAll(dir, 0o750))
	}
	keyDelay := time.Duration(0)
	if p.accounts {
		s.accounts, keyDelay = newAccounts(), maxKeyDelay
		s.platform.request(boundQuery(manyTasks))
		s.storeNextVersion()
	}
	for i := range p.entries {
		s.entries = append(s.entries, newEntry(t, program, dir, i, zones, s.platform, keyDelay))
	}
	if s.cuts {
		s.addRoutes()
	}
	for _, e := range s.entries {
		e.start()
	}
	s.callers = newCallers(s.entries)
	s.callers.stragglers, s.callers.comeBack = s.stragglers, s.overload
	s.callers.longTasks = s.cuts
	if s.stragglers || s.cuts {
		s.callers.interval = stragglerInterval
	}
	if s.accounts != nil {
		s.callers.keyFor = s.accounts.keyFor
	}
	return s
}

func (s *soak) run() {
	s.waitFor("all entries serve", func() bool { return s.allEntries(func(e *entry) bool { return s.status(e, prefix) == http.StatusOK }) })
	for _, id := range s.longRunning {
		s.waitFor("the long-running job is accepted", func() bool {
			status, _ := s.callers.call(s.entries[0], http.MethodPost, prefix+id, longRunningJob())
			return status == http.StatusOK
		})
	}
	defer s.checkCountedCrashes()
	ctx, cancel := context.WithTimeout(s.t.Context(), s.duration)
	defer cancel()
	var working sync.WaitGroup
	for i := range clients {
		working.Go(func() { s.callers.submitJobs(ctx, i, s.seed) })
	}
	working.Go(func() { s.requestNewQueues(ctx) })
	if s.changes {
		working.Go(func() { s.changeWhileCutOff(ctx) })
	}
	if s.accounts != nil {
		working.Go(func() { s.replaceKeys(ctx) })
		working.Go(func() { s.tryKeys(ctx) })
		working.Go(func() { s.changeLimit(ctx) })
	}
	if s.crashes {
		working.Go(func() { s.submitCrashJobs(ctx) })
		working.Go(func() { s.changeCapacity(ctx) })
	}
	if s.cuts {
		working.Go(func() { s.cutZones(ctx) })
	}
	if s.machines {
		working.Go(func() { s.disturbMachines(ctx) })
	}
	if s.stragglers {
		working.Go(func() { s.changePace(ctx, paceStream) })
		working.Go(func() { s.changePace(ctx, paceStream+1) })
	}
	began := time.Now()
	if s.overload {
		for i := range burstClients {
			working.Go(func() { s.submitBursts(ctx, began, firstBurstClient+i) })
		}
	}
	for ctx.Err() == nil {
		if !s.overload || time.Since(began)%burstCycle > calmDuration {
			s.disturb()
		}
		pause := time.Duration(100+s.random.IntN(900)) * time.Millisecond
		if s.cuts {
			pause *= cutPauseFactor
		}
		sleep(ctx, pause)
	}
	working.Wait()
	s.endDisturbances()
	s.checkOutcomes()
}

// disturb begins one disturbance; several may be in progress at a time.
func (s *soak) disturb() {
	e := s.entries[s.random.IntN(len(s.entries))]
	duration := time.Duration(200+s.random.IntN(1800)) * time.Millisecond
	afterwards := func(do func()) {
		s.disturbances.Go(func() {
			time.Sleep(duration) // the duration that the schedule gives the disturbance
			do()
		})
	}
	switch s.random.IntN(9) {
	case 0:
		<-e.signal(syscall.SIGKILL)
		afterwards(e.start)
	case 1:
		e.signal(syscall.SIGSTOP)
		afterwards(func() { e.signal(syscall.SIGCONT) })
	case 2:
		s.stop(e, afterwards)
	case 3, 4:
		modes := []mode{modeSlow, modeReset, modeOneWay, modeSilent}
		e.link.setMode(modes[s.random.IntN(len(modes))])
		afterwards(func() { e.link.setMode(modeOpen) })
	case 5:
		s.platform.request(fmt.Sprintf("/faults?share=%.2f&seed=%d", 0.02+0.2*s.random.Float64(), s.random.Uint64()) + s.faultScope())
		afterwards(func() { s.platform.request("/faults?share=0" + s.faultScope()) })
	case 6:
		_ = s.platform.process.Process.Signal(syscall.SIGSTOP)
		time.Sleep(duration / 2) // blocks, as nothing may call the platform meanwhile
		_ = s.platform.process.Process.Signal(syscall.SIGCONT)
	case 7:
		s.storeNextVersion()
	default:
		s.platform.request("/wave")
	}
}

// stop stops an entry gracefully and starts it again later.
func (s *soak) stop(e *entry, afterwards func(do func())) {
	ended := e.signal(syscall.SIGTERM)
	s.disturbances.Go(func() {
		select {
		case <-ended:
		case <-time.After(stopTimeout):
			// The entry may have been paused or killed meanwhile; it has to end either way.
			e.signal(syscall.SIGCONT)
			select {
			case <-ended:
			case <-time.After(stopTimeout):
				assert.Check(s.t, false, "seed %d: %s doesn't stop within its grace period", s.seed, e.name)
			}
		}
		afterwards(e.start)
	})
}

// endDisturbances ends all disturbances.
func (s *soak) endDisturbances() {
	s.disturbances.Wait()
	_ = s.platform.process.Process.Signal(syscall.SIGCONT)
	s.platform.request("/faults?share=0" + s.faultScope())
	for _, e := range s.entries {
		e.link.setMode(modeOpen)
		e.signal(syscall.SIGCONT)
		e.start()
	}
}

func (s *soak) allEntries(condition func(e *entry) bool) bool {
	for _, e := range s.entries {
		if !condition(e) {
			return false
		}
	}
	return true
}

func (s *soak) status(e *entry, path string) int {
	status, _ := s.callers.call(e, http.MethodGet, path, nil)
	return status
}

func (s *soak) jobState(id string) string {
	status, out := s.callers.call(s.entries[0], http.MethodGet, prefix+id, nil)
	if status != http.StatusOK {
		return strconv.Itoa(status)
	}
	text, _ := out["state"].(string)
	return text
}

// waitForJob waits until a job's state is one that it may end in, and otherwise fails with the
// state, the crashes under its tasks and what the entries logged of it.
func (s *soak) waitForJob(id string, isFinal func(state string) bool) {
	s.t.Helper()
	var isOver atomic.Bool // a poll may still be under way after the timeout
	defer func() {
		if !isOver.Load() {
			s.logJob(id)
		}
	}()
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		state := s.jobState(id)
		if isFinal(state) {
			isOver.Store(true)
			return poll.Success()
		}
		return poll.Continue("seed %d: job %s of outcome %q ends as %q", s.seed, id, s.callers.outcomes[id], state)
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(20*time.Millisecond))
}

// logJob prints what the caller, the fakes and the logs of the entries tell of a job.
func (s *soak) logJob(id string) {
	s.t.Logf("seed %d: answers: %q", s.seed, s.callers.answers[id])
	for task, workers := range s.platform.verdict().CrashedWorkers {
		if strings.HasPrefix(task, id+".") {
			s.t.Logf("seed %d: %d workers crashed under %s", s.seed, workers, task)
		}
	}
	for _, e := range s.entries {
		for _, line := range e.logLines(id) {
			s.t.Logf("%s: %s", e.name, line)
		}
	}
}

func (s *soak) waitFor(what string, condition func() bool) {
	s.t.Helper()
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("seed %d: %s", s.seed, what)
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(20*time.Millisecond))
}
