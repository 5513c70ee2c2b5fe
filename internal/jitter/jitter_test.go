package jitter_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sapphiregauge/internal/jitter"
)

func TestWindowDoublesUpToTheLargest(t *testing.T) {
	b := jitter.New(jitter.Config{First: time.Second, Max: 5 * time.Second, Random: func(n time.Duration) time.Duration { return n }})
	for _, want := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 5 * time.Second, 5 * time.Second} {
		assert.Equal(t, b.Next(), want)
	}
}

// attempt is a call that a process is about to make.
type attempt struct {
	at      time.Duration
	backoff *jitter.Backoff
}

type attempts []attempt

func (a attempts) Len() int           { return len(a) }
func (a attempts) Less(i, j int) bool { return a[i].at < a[j].at }
func (a attempts) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *attempts) Push(x any)        { *a = append(*a, x.(attempt)) }
func (a *attempts) Pop() any {
	last := len(*a) - 1
	x := (*a)[last]
	*a = (*a)[:last]
	return x
}

// startTogether has many processes start at once and call a service that takes 300 calls a second,
// queues those of one more second and refuses the rest. It returns the calls made and when the last
// process had succeeded.
func startTogether(processes int) (calls int, last time.Duration) {
	const callTime = time.Second / 300
	random := rand.New(rand.NewPCG(1, 2))
	pending := make(attempts, 0, processes)
	next := func(b *jitter.Backoff, now time.Duration) { heap.Push(&pending, attempt{now + b.Next(), b}) }
	for range processes {
		next(jitter.New(jitter.Config{First: time.Second, Max: 16 * time.Second, Random: func(n time.Duration) time.Duration {
			return time.Duration(random.Int64N(int64(n)))
		}}), 0)
	}
	busyUntil := time.Duration(0)
	for len(pending) > 0 {
		a := heap.Pop(&pending).(attempt)
		calls++
		if busyUntil-a.at > time.Second {
			next(a.backoff, a.at)
			continue
		}
		busyUntil = max(busyUntil, a.at) + callTime
		last = busyUntil
	}
	return calls, last
}

// Guards against hundreds of processes that start at once, are refused by the partition that all of
// them write to, and return together: calls and time grew with the square of the processes.
func TestProcessesThatStartTogetherAreSpread(t *testing.T) {
	for _, tt := range []struct {
		processes int
		calls     int // for each process, at most
		last      time.Duration
	}{
		{100, 1, 2 * time.Second},
		{600, 2, 5 * time.Second},
		{6_000, 5, 60 * time.Second},
	} {
		calls, last := startTogether(tt.processes)
		assert.Assert(t, calls <= tt.calls*tt.processes, "%d calls of %d processes", calls, tt.processes)
		assert.Assert(t, last <= tt.last, "%s for %d processes", last, tt.processes)
	}
}
