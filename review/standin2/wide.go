//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

// The wide job has 3,000 small tasks that checkpoint; they take 15 of 48 cores.
const (
	poolWorkers   = 3
	wideTasks     = 3000
	wideCPU       = 5
	wideMemMB     = 8
	wideRunMillis = 90_000
	workerCPU     = 16_000
	workerMemMB   = 32_768

	drainTime     = 4 * time.Second
	replacePause  = 1500 * time.Millisecond
	trafficTime   = 45 * time.Second
	smallInterval = 60 * time.Millisecond
	smallTasks    = 4
	smallCPU      = 500
	smallMillis   = 300
	stallTime     = 3 * time.Second
)

// playWide has the workers of a service replaced one after the other while they run a wide job,
// beside other jobs of the same queue. Afterwards each accepted job has to be at work, or completed.
func playWide(s *site, trouble bool) ([]string, error) {
	for i := range poolWorkers {
		if err := s.fleet.add(fmt.Sprintf("m-%d", i+1), poolName, workerCPU, workerMemMB); err != nil {
			return nil, err
		}
	}
	s.configure(1)
	if err := s.startHosts(3); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	small := newTraffic(s)
	small.run(2 * time.Second)
	wide := newJobID()
	if !s.submit(wide, wideRunMillis, step{Count: wideTasks, CPU: wideCPU, MemMB: wideMemMB, EstimateMS: wideRunMillis, Checkpointing: true}) {
		return nil, fmt.Errorf("the wide job was not accepted")
	}
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if n, _ := s.fleet.runningTasks(wide); n == wideTasks {
			break
		}
	}
	n, _ := s.fleet.runningTasks(wide)
	s.rec.say("%d of %d tasks of the wide job run", n, wideTasks)
	var group sync.WaitGroup
	if trouble {
		group.Go(func() {
			for i := range poolWorkers {
				s.fleet.replace(fmt.Sprintf("m-%d", i+1), drainTime, replacePause)
			}
		})
	}
	small.run(trafficTime)
	group.Wait()
	s.rec.say("the traffic ends")
	time.Sleep(finishS)
	return s.judgeUnfinished(append(small.accepted(), wide)), nil
}
