//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	memoryMB = 284 // limits.memoryMb of the hosts
	// scheduleAsked is how many of the accepted jobs are asked for.
	scheduleAsked = 40
	// restartDelay is how long a process that was killed for its memory is away.
	restartDelay  = 500 * time.Millisecond
	scheduleTasks = 12
	scheduleEvery = time.Second
	// scheduleCount is every second of a day; the hosts accept up to 100,000 repetitions.
	scheduleCount = 86_400
	scheduleWatch = 25 * time.Second
)

// submitSchedule hands in a job that runs every second, and reports whether it was accepted.
func (s *site) submitSchedule(id string, start time.Time, count int) bool {
	spec, _ := json.Marshal(work{RunMillis: smallMillis, CPU: smallCPU})
	body := map[string]any{
		"spec": string(spec), "steps": []step{{Count: scheduleTasks, CPU: smallCPU, MemMB: 64, EstimateMS: smallMillis}},
		"repetitions": count, "startAtMs": start.UnixMilli(), "intervalMs": scheduleEvery.Milliseconds(),
	}
	for range clientTries {
		h := s.hosts[rand.IntN(len(s.hosts))]
		status, answer := s.call(http.MethodPost, h, id, body)
		s.rec.say("POST %s to %s: %d repetitions from %s on, every %s: %d %.100s", id, h.name, count, start.Format(time.RFC3339), scheduleEvery, status, answer)
		if status >= 200 && status < 300 {
			return true
		}
		if status != 0 && status != 429 && status < 500 {
			return false
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// memory returns the resident memory of a host's process in MB.
func (h *host) memory() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == nil {
		return 0
	}
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.process.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if v, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(v)[0])
			return kb >> 10
		}
	}
	return 0
}

// enforceMemory kills a process that has more memory than its machine, as the platform does, and
// starts it again, until stop is closed. It returns how often it did so, by host.
func (s *site) enforceMemory(stop chan struct{}) map[string]int {
	kills, most := make(map[string]int), make(map[string]int)
	for {
		select {
		case <-stop:
			s.rec.say("most memory by host, MB: %v", most)
			return kills
		case <-time.After(20 * time.Millisecond):
		}
		for _, h := range s.hosts {
			mb := h.memory()
			most[h.name] = max(most[h.name], mb)
			if mb <= memoryMB {
				continue
			}
			kills[h.name]++
			s.rec.say("%s has %d MB, its machine has %d: it is killed", h.name, mb, memoryMB)
			h.signal(syscall.SIGKILL)
			time.AfterFunc(restartDelay, func() { _ = h.start() })
		}
	}
}

// playSchedule has a client hand in a job that runs every second of a day, a day late.
func playSchedule(s *site, trouble bool) ([]string, error) {
	for i := range 3 {
		if err := s.fleet.add(fmt.Sprintf("m-%d", i+1), poolName, workerCPU, workerMemMB); err != nil {
			return nil, err
		}
	}
	s.configure(1)
	if err := s.startHosts(4); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var kills map[string]int
	var group sync.WaitGroup
	group.Go(func() { kills = s.enforceMemory(stop) })
	small := newTraffic(s)
	small.run(3 * time.Second)
	start := time.Now()
	if trouble {
		start = start.Add(-scheduleCount * scheduleEvery)
	}
	id := newJobID()
	accepted := s.submitSchedule(id, start, scheduleCount)
	small.run(scheduleWatch)
	s.rec.say("the traffic ends")
	time.Sleep(finishS)
	jobs := small.accepted()
	s.rec.say("%d small jobs were accepted; the last %d are asked for", len(jobs), min(scheduleAsked, len(jobs)))
	broken := s.judgeUnfinished(jobs[max(0, len(jobs)-scheduleAsked):])
	close(stop)
	group.Wait()
	s.rec.say("accepted: %t, state %q, killed for memory: %v", accepted, s.state(id), kills)
	several := 0
	for _, n := range kills {
		if n >= 3 {
			several++
		}
	}
	if several >= 2 {
		broken = append(broken, fmt.Sprintf("Fault: processes of %d machines are killed three times for their memory: %v", several, kills))
	}
	return broken, nil
}
