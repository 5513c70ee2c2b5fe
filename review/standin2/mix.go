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

const mixTime = 50 * time.Second

// playMix plays jobs of all shapes, with the disruptions of a seed (SEED). It is no case of the review
// but a search: with GANG all jobs are gangs, and workers and hosts fail together; with HARD all hosts
// are killed at once, too; with SILENT open connections go silent, and
// hosts freeze; with BORN workers start again under their IDs.
func playMix(s *site, trouble bool) ([]string, error) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	random := rand.New(rand.NewPCG(seed, 7))
	s.fleet.judge = newJudge(s.fleet)
	s.fleet.log, s.fleet.keepsIDs = true, os.Getenv("BORN") != ""
	for i := range 5 {
		if err := s.fleet.add(fmt.Sprintf("m-%d", i+1), poolName, 4000, workerMemMB); err != nil {
			return nil, err
		}
	}
	s.configure(1)
	if err := s.startHosts(4); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var group sync.WaitGroup
	if trouble {
		group.Go(func() { s.disturb(rand.New(rand.NewPCG(seed, 8)), stop) })
	}
	var jobs []*jobSpec
	var wg sync.WaitGroup
	for end := time.Now().Add(mixTime); time.Now().Before(end); time.Sleep(time.Duration(150+random.IntN(200)) * time.Millisecond) {
		j := randomJob(random)
		jobs = append(jobs, j)
		s.fleet.runMu.Lock()
		s.fleet.judge.jobs[j.ID] = j
		s.fleet.runMu.Unlock()
		cancelAfter := time.Duration(-1)
		if j.Steps[0].LongRunning {
			cancelAfter = time.Duration(3000+random.IntN(8000)) * time.Millisecond
		} else if random.IntN(8) == 0 {
			cancelAfter = time.Duration(random.IntN(1500)) * time.Millisecond
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.submitJob(j)
			if !j.accepted || cancelAfter < 0 {
				return
			}
			time.Sleep(cancelAfter)
			for range 30 {
				h := s.hosts[rand.IntN(len(s.hosts))]
				status, _ := s.call(http.MethodDelete, h, j.ID, nil)
				s.rec.say("DELETE %s to %s: %d", j.ID, h.name, status)
				if status == 200 || status == 410 {
					s.fleet.runMu.Lock()
					j.cancelled = time.Now()
					s.fleet.runMu.Unlock()
					return
				}
				time.Sleep(200 * time.Millisecond)
			}
		}()
	}
	wg.Wait()
	close(stop)
	group.Wait()
	s.rec.say("the traffic ends")
	time.Sleep(finishS + 6*time.Second)
	s.fleet.runMu.Lock()
	broken := append([]string(nil), s.fleet.judge.broken...)
	s.fleet.runMu.Unlock()
	for _, j := range jobs {
		if !j.accepted {
			continue
		}
		state := s.state(j.ID)
		ok := state == "completed" || !j.cancelled.IsZero() && (state == "cancelled" || state == "gone")
		if state == "failed" {
			s.fleet.runMu.Lock()
			for name, t := range s.fleet.judge.tasks {
				ok = ok || strings.HasPrefix(name, j.ID) && len(t.failed) >= 3
			}
			s.fleet.runMu.Unlock()
		}
		if !ok {
			n, begun := s.fleet.runningTasks(j.ID)
			broken = append(broken, fmt.Sprintf("LOST? %s is %q, %d run, begun %t, cancelled %t, %+v", j.ID, state, n, begun, !j.cancelled.IsZero(), j.Steps))
		}
	}
	return broken, nil
}

func randomJob(r *rand.Rand) *jobSpec {
	j := &jobSpec{ID: newJobID(), sent: time.Now()}
	j.Work = work{RunMillis: 200 + r.IntN(1200), CPU: 200 + r.IntN(800)}
	st := step{Count: 1 + r.IntN(5), CPU: j.Work.CPU, MemMB: 64, EstimateMS: int64(j.Work.RunMillis)}
	shape := r.IntN(6)
	if os.Getenv("GANG") != "" {
		shape = 0
	}
	switch shape {
	case 0, 1:
		j.Work.Gang = 2 + r.IntN(3)
		j.Work.Checkpoints = r.IntN(2) == 0 || os.Getenv("GANG") != ""
		j.Work.RunMillis *= 2
		if os.Getenv("GANG") != "" {
			j.Work.RunMillis *= 2
		}
		st.Count, st.Gang, st.Checkpointing, st.EstimateMS = j.Work.Gang, true, j.Work.Checkpoints, int64(j.Work.RunMillis)
		j.Steps = []step{st}
		if r.IntN(2) == 0 {
			second := st
			second.After = []int{0}
			j.Steps = append(j.Steps, second)
		}
	case 2:
		j.Steps = []step{st}
		j.Repeats, j.Interval = 2+r.IntN(5), time.Duration(300+r.IntN(1200))*time.Millisecond
		j.Start = time.Now().Add(time.Duration(r.IntN(2500)) * time.Millisecond)
		if r.IntN(2) == 0 {
			second := st
			second.After = []int{0}
			j.Steps = append(j.Steps, second)
		}
	case 3:
		j.Work.RunMillis = 3600_000
		st.LongRunning, st.MaxUnavailable, st.EstimateMS = true, 1, 900
		j.Steps = []step{st}
	default:
		st.Checkpointing = r.IntN(2) == 0
		j.Work.Checkpoints = st.Checkpointing
		j.Work.FailShare = r.IntN(3) * 8
		if r.IntN(4) == 0 {
			st.AntiAffinity = 1
		}
		if r.IntN(4) == 0 {
			st.Requirements = fmt.Sprintf("r-m-%d", 1+r.IntN(5))
			st.AntiAffinity = 0
		}
		if st.AntiAffinity == 1 {
			st.Count = min(st.Count, 3)
		}
		j.Steps = []step{st}
		for i := 1; i < 1+r.IntN(3); i++ {
			next := st
			next.After = []int{i - 1}
			j.Steps = append(j.Steps, next)
		}
	}
	return j
}

func (s *site) submitJob(j *jobSpec) {
	spec, _ := json.Marshal(j.Work)
	body := map[string]any{"spec": string(spec), "steps": j.Steps}
	if j.Repeats > 0 {
		body["repetitions"], body["startAtMs"], body["intervalMs"] = j.Repeats, j.Start.UnixMilli(), j.Interval.Milliseconds()
	}
	refused := true
	for range 12 {
		h := s.hosts[rand.IntN(len(s.hosts))]
		status, _ := s.call(http.MethodPost, h, j.ID, body)
		s.rec.say("POST %s to %s: %d", j.ID, h.name, status)
		if status >= 200 && status < 300 {
			s.fleet.runMu.Lock()
			j.accepted = true
			s.fleet.runMu.Unlock()
			return
		}
		refused = refused && (status == 429 || status == 503)
		time.Sleep(300 * time.Millisecond)
	}
	s.fleet.runMu.Lock()
	defer s.fleet.runMu.Unlock()
	j.refused = refused
}

// disturb disturbs one thing after the other until stop is closed.
func (s *site) disturb(r *rand.Rand, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(1500+r.IntN(3500)) * time.Millisecond):
		}
		kind := r.IntN(7)
		switch {
		case os.Getenv("GANG") != "":
			kind = 7
		case os.Getenv("HARD") != "":
			kind = []int{3, 4, 5, 7, 7, 8, 8}[kind]
		case os.Getenv("BORN") != "":
			kind = []int{2, 2, 3, 3, 4, 11, 0}[kind]
		case os.Getenv("SILENT") != "":
			kind = []int{9, 9, 10, 10, 10, 0, 3}[kind]
		}
		switch kind {
		case 7:
			s.fleet.crash(fmt.Sprintf("m-%d", 1+r.IntN(5)), time.Duration(500+r.IntN(2000))*time.Millisecond)
			time.Sleep(time.Duration(r.IntN(1200)) * time.Millisecond)
			for _, h := range s.hosts[:2+r.IntN(2)] {
				h.signal(syscall.SIGKILL)
				go func() {
					time.Sleep(500 * time.Millisecond)
					_ = h.start()
				}()
			}
		case 11: // orders are late while workers crash
			s.rec.say("for 5 s half of the orders get no answer and are late; workers crash")
			s.setOnCall(func(_ *worker, path string) (bool, time.Duration) {
				if strings.HasSuffix(path, "hold") && rand.IntN(100) < 85 || rand.IntN(2) == 0 {
					return false, 0
				}
				return true, time.Duration(2000+rand.IntN(10000)) * time.Millisecond
			})
			for range 3 {
				time.Sleep(1500 * time.Millisecond)
				s.fleet.crash(fmt.Sprintf("m-%d", 1+r.IntN(5)), time.Duration(300+r.IntN(1500))*time.Millisecond)
			}
			s.setOnCall(nil)
		case 9:
			s.rec.say("all connections to the stand-ins go silent")
			mutedBefore.Store(time.Now().UnixNano())
		case 10: // machines freeze
			var frozen []*host
			for _, h := range s.hosts {
				if r.IntN(2) == 0 {
					frozen = append(frozen, h)
					h.signal(syscall.SIGSTOP)
				}
			}
			time.Sleep(time.Duration(1000+r.IntN(11000)) * time.Millisecond)
			for _, h := range frozen {
				h.signal(syscall.SIGCONT)
			}
		case 8: // all processes are killed
			for _, h := range s.hosts {
				h.signal(syscall.SIGKILL)
			}
			time.Sleep(time.Duration(300+r.IntN(12000)) * time.Millisecond)
			for _, h := range s.hosts {
				_ = h.start()
			}
		case 0:
			h := s.hosts[r.IntN(len(s.hosts))]
			h.signal(syscall.SIGKILL)
			time.Sleep(500 * time.Millisecond)
			_ = h.start()
		case 1:
			h := s.hosts[r.IntN(len(s.hosts))]
			h.signal(syscall.SIGTERM)
			go func() {
				h.mu.Lock()
				ended := h.ended
				h.mu.Unlock()
				<-ended
				time.Sleep(300 * time.Millisecond)
				_ = h.start()
			}()
		case 2:
			s.fleet.crash(fmt.Sprintf("m-%d", 1+r.IntN(5)), time.Duration(500+r.IntN(4000))*time.Millisecond)
		case 3, 4:
			share, late := r.IntN(50), r.IntN(2) == 0
			s.rec.say("for 5 s %d percent of the orders get no answer, late %t", share, late)
			s.setOnCall(func(_ *worker, path string) (bool, time.Duration) {
				if strings.HasSuffix(path, "hold") || rand.IntN(100) >= share {
					return false, 0
				}
				if late {
					return true, time.Duration(2000+rand.IntN(10000)) * time.Millisecond
				}
				return true, 0
			})
			time.Sleep(5 * time.Second)
			s.setOnCall(nil)
		case 5:
			id := fmt.Sprintf("m-%d", 1+r.IntN(5))
			span := time.Duration(2000+r.IntN(11000)) * time.Millisecond
			s.rec.say("%s is cut off for %s", id, span)
			s.setOnCall(func(w *worker, _ string) (bool, time.Duration) {
				if w.m.id == id {
					return true, -1
				}
				return false, 0
			})
			time.Sleep(span)
			s.setOnCall(nil)
		case 6:
			span := time.Duration(500+r.IntN(3500)) * time.Millisecond
			s.rec.say("the store is down for %s", span)
			s.store.mu.Lock()
			s.store.downUntil = time.Now().Add(span)
			s.store.mu.Unlock()
		}
	}
}

func (s *site) setOnCall(pick func(w *worker, path string) (bool, time.Duration)) {
	s.fleet.runMu.Lock()
	defer s.fleet.runMu.Unlock()
	s.fleet.onCall = pick
}
