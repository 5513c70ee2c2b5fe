package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	lostShare  = 0.35 // the site's own platform_lost ...
	lostFor    = 4500 * time.Millisecond
	lostTimes  = 9 // ... which comes several times
	calm       = 4500 * time.Millisecond
	callRate   = 16                                   // a second, as all kinds of request of the site together
	calmAfter  = 3 * time.Second                      // contactMs
	cancelTime = 3*time.Second + 900*time.Millisecond // cancel_ms and stopTimeoutMs
	maxLate    = 6 * time.Second                      // a lost write is carried out by then
	judgeAfter = maxLate + calmAfter + 2*cancelTime
)

// cancelled has callers give their jobs up when handing them in gets no clear answer: they cancel
// them, and are told that there is no such job.
func cancelled(c *testCase) ([]string, error) {
	if err := c.submitLasting(); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	acked := make(map[string]time.Duration) // by job: when its cancelling was acknowledged
	var group sync.WaitGroup
	number := 0
	for range lostTimes {
		if c.trouble {
			c.store.setLose(lostShare)
			c.rec.note("platform: %v of the writes get no answer and are done 1 to 6 s later (platform_lost, how late)", lostShare)
		}
		for end := time.Now().Add(lostFor); time.Now().Before(end); time.Sleep(time.Second / callRate) {
			n := number
			number++
			group.Go(func() {
				id := fmt.Sprintf("%016x", 0xe0000+n)
				if c.giveUp(n, queues[n%len(queues)].prefix+id) {
					mu.Lock()
					defer mu.Unlock()
					acked[id] = time.Since(c.rec.began)
				}
			})
		}
		c.store.setLose(0)
		c.rec.note("platform: no more writes are lost; %d were", c.store.lostWrites())
		time.Sleep(calm)
	}
	group.Wait()
	time.Sleep(judgeAfter)
	var breaks []string
	for task, w := range c.fleet.runningTasks() {
		id, _, _ := strings.Cut(task, ".")
		if at, ok := acked[id]; ok {
			breaks = append(breaks, fmt.Sprintf("UNASKED: %s runs on %s %.1f s after the job's cancelling was acknowledged at %.3f s",
				task, w, (time.Since(c.rec.began)-at).Seconds(), at.Seconds()))
		}
	}
	return breaks, nil
}

// giveUp hands a job in once. Without a clear answer the caller cancels it at once, and an accepted job
// after two seconds. It reports whether the cancelling was acknowledged.
func (c *testCase) giveUp(number int, path string) bool {
	caller := newClient(c.hosts, c.rec)
	caller.next = number
	status, _ := caller.once(c.hosts[number%len(c.hosts)], http.MethodPost, path, map[string]any{
		"spec":  work{Millis: 1000000}.spec(),
		"steps": []any{map[string]any{"count": 1, "cpu": 100, "memMb": 100, "estimateMs": 700, "longRunning": true}},
	})
	c.rec.note("client: POST %s: %d", path, status)
	switch status {
	case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
	case http.StatusOK:
		time.Sleep(2 * time.Second)
	default:
		return false
	}
	for range 10 {
		if status, _ := caller.call(http.MethodDelete, path, nil); status == http.StatusOK || status == http.StatusGone {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// runningTasks returns the tasks that run, and on which workers.
func (f *fleet) runningTasks() map[string]string {
	f.mu.Lock()
	defer f.mu.Unlock()
	running := make(map[string]string)
	for _, w := range f.workers {
		for task := range w.running {
			running[task] = w.id
		}
	}
	return running
}
