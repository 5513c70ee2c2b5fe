package main

import (
	"fmt"
	"net/http"
	"os"
	"time"
)

const (
	waitingJobs = 40
	refuseFor   = 4500 * time.Millisecond
	pollFor     = 12 * time.Second
)

// countAfterKill polls the count of a queue's waiting jobs while the owner of its pool is killed and the
// store refuses the queue's partition. MODE=kill leaves the store alone, MODE=slow slows it down.
func countAfterKill(c *testCase) ([]string, error) {
	if err := c.submitLasting(); err != nil {
		return nil, err
	}
	q := queues[0]
	for i := range waitingJobs {
		job := map[string]any{"spec": work{Millis: 600}.spec(), "steps": []any{map[string]any{"count": 1, "cpu": 500, "memMb": 256, "estimateMs": 600, "requirements": "none-has-it"}}}
		if !c.client.submit(fmt.Sprintf("%s%016x", q.prefix, 0x9000+i), job) {
			return nil, errNotRun
		}
	}
	time.Sleep(6 * time.Second) // visible_ms and 2 s, and more
	owner := c.ownerOf(q.pool)
	if owner == nil {
		return nil, errNotRun
	}
	if c.trouble {
		switch os.Getenv("MODE") {
		case "kill":
		case "slow":
			c.store.setSlow(slowFactor)
		default:
			c.store.refusePart(q.name)
		}
		time.AfterFunc(refuseFor, func() { c.store.setSlow(1); c.store.refusePart("") })
		owner.kill()
	}
	var breaks []string
	for end := time.Now().Add(pollFor); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, h := range c.hosts {
			status, answer := c.client.once(h, http.MethodGet, q.prefix, nil)
			if n, ok := answer["queueDepth"].(float64); ok && status == http.StatusOK && n < waitingJobs/2 {
				breaks = append(breaks, fmt.Sprintf("MIXED: %s gives %v as queueDepth of %d jobs", h.name, n, waitingJobs))
				c.rec.note("%s", breaks[len(breaks)-1])
			}
		}
	}
	return breaks, nil
}
