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

// soundGang has single workers crash one after the other, a random one each time, while a gang works.
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
		w := c.fleet.anyWorker(q.pool)
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
	failed := 0
	for _, e := range c.rec.events() {
		if e.what == "ended failed" && strings.HasPrefix(e.task, id) {
			failed++
		}
	}
	c.rec.note("test: job %s is shown as %s; ends failed of its tasks: %d; cancels sent: 0", id, state, failed)
	if state == "failed" && failed == 0 || state == "cancelled" {
		return []string{fmt.Sprintf("LOST: job %s is shown as %s, though none of its runs has ended failed and nobody has cancelled it", id, state)}, nil
	}
	return nil, nil
}

// anyWorker returns a random worker of a pool.
func (f *fleet) anyWorker(pool string) *worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []*worker
	for _, w := range f.workers {
		if w.pool == pool {
			list = append(list, w)
		}
	}
	sort.Slice(list, func(i, k int) bool { return list[i].id < list[k].id })
	return list[rand.IntN(len(list))]
}
