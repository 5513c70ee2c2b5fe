package main

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"time"
)

const (
	soundMembers  = 8
	soundWork     = 40 * time.Second
	crashInterval = 9 * time.Second
	crashes       = 7
	workerDown    = 4500 * time.Millisecond // for_s of the site's own srv_crash
	finishTime    = 14 * time.Second        // finish_s
)

// soundGang has single workers crash one after the other while a gang works, a random one each time of
// those whose task has lost no worker before.
func soundGang(c *testCase) ([]string, error) {
	q := queues[1]
	id := fmt.Sprintf("%016x", 0xf000)
	job := map[string]any{
		"spec": work{Millis: int(soundWork.Milliseconds()), Gang: soundMembers, Checkpoints: true}.spec(),
		"steps": []any{map[string]any{
			"count": soundMembers, "cpu": 9000, "memMb": 4096, "estimateMs": soundWork.Milliseconds(), "gang": true, "checkpointing": true,
		}},
	}
	if !c.client.submit(q.prefix+id, job) {
		return nil, errNotRun
	}
	state := ""
	isOver := func() bool {
		state = c.client.state(q.prefix + id)
		return state == "completed" || state == "failed" || state == "cancelled"
	}
	for n := 0; n < crashes && c.trouble && !isOver(); n++ {
		time.Sleep(crashInterval - workerDown)
		w := c.fleet.nextVictim(q.pool, c.rec.crashesByTask())
		if w == nil {
			break
		}
		c.rec.note("platform: worker %s crashes (srv_crash, one of nine)", w.id)
		c.fleet.crash([]*worker{w})
		time.Sleep(workerDown)
		if _, err := c.fleet.start(w.machine, w.pool, w.rack); err != nil {
			return nil, err
		}
	}
	for end := time.Now().Add(soundWork + finishTime); !isOver() && time.Now().Before(end); {
		time.Sleep(time.Second)
	}
	failed, most := 0, 0
	for _, e := range c.rec.events() {
		if e.what == "ended failed" && strings.HasPrefix(e.task, id) {
			failed++
		}
	}
	for _, n := range c.rec.crashesByTask() {
		most = max(most, n)
	}
	c.rec.note("test: job %s is shown as %s; ends failed of its tasks: %d; cancels sent: 0; most workers crashed under one task: %d", id, state, failed, most)
	if state == "cancelled" || state == "failed" && failed == 0 && most < excused {
		return []string{fmt.Sprintf("LOST: job %s is shown as %s, though none of its runs has ended failed, nobody has cancelled it, and under none of its tasks more than %d worker has crashed", id, state, most)}, nil
	}
	return nil, nil
}

// excused is the number of workers that have to crash under a task before it may be given up.
const excused = 2

// crashesByTask counts the workers that crashed under each task.
func (r *record) crashesByTask() map[string]int {
	counts := make(map[string]int)
	for _, e := range r.events() {
		if e.what == "crashed" {
			counts[e.task]++
		}
	}
	return counts
}

// nextVictim returns a random worker of a pool on which no task runs that has lost a worker before; nil
// if there is none.
func (f *fleet) nextVictim(pool string, crashed map[string]int) *worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []*worker
	for _, w := range f.workers {
		spared := w.pool != pool
		for task := range w.running {
			spared = spared || crashed[task] > 0
		}
		if !spared {
			list = append(list, w)
		}
	}
	if len(list) == 0 {
		return nil
	}
	sort.Slice(list, func(i, k int) bool { return list[i].id < list[k].id })
	return list[rand.IntN(len(list))]
}
