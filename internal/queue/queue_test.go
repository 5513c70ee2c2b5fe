package queue_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/queue"
)

func start() time.Time { return time.Unix(1000, 0) }

func newItem(deadline time.Duration) *queue.Item {
	return &queue.Item{Class: gauge.ClassQuick, Deadline: start().Add(deadline)}
}

// Compares with sorting: after random additions and cancellations, the remaining requests come out
// in the order of their deadlines.
func TestDeadlineOrderAgainstSorting(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 3))
	for range 200 {
		q := queue.New(queue.Config{MaxLength: 1000, StartTime: start()})
		var all []*queue.Item
		for range random.IntN(60) {
			it := newItem(time.Duration(random.IntN(20)) * time.Second)
			_, ok := q.Add(start(), it)
			assert.Assert(t, ok)
			all = append(all, it)
			if random.IntN(3) == 0 {
				i := random.IntN(len(all))
				assert.Assert(t, q.Remove(all[i]))
				assert.Assert(t, !q.Remove(all[i]), "removed twice")
				all = slices.Delete(all, i, i+1)
			}
		}
		slices.SortStableFunc(all, func(a, b *queue.Item) int { return a.Deadline.Compare(b.Deadline) })
		for _, want := range all {
			got := q.Peek(gauge.ClassQuick)
			assert.Equal(t, got, want)
			q.Remove(got)
		}
		assert.Assert(t, q.Peek(gauge.ClassQuick) == nil)
	}
}

// Guards against callers that wait for answers which can't come in time. Requests come faster than
// they are finished, and a queue that checks only its length accepts them all the same.
func TestRequestThatCannotStartInTimeIsRefused(t *testing.T) {
	q := queue.New(queue.Config{MaxLength: 1000, StartTime: start()})
	now := start()
	for range 100 { // ten finish each second
		now = now.Add(100 * time.Millisecond)
		q.RecordFinished(now, gauge.ClassQuick)
	}
	added := 0
	for {
		it := &queue.Item{Class: gauge.ClassQuick, Deadline: now.Add(2 * time.Second)}
		wait, ok := q.Add(now, it)
		if !ok {
			assert.Assert(t, wait > 2*time.Second && wait < 3*time.Second, "%s", wait)
			break
		}
		added++
	}
	assert.Assert(t, added >= 15 && added <= 25, "%d were let in", added)
}

func TestLengthIsBounded(t *testing.T) {
	q := queue.New(queue.Config{MaxLength: 2, StartTime: start()})
	for i := range 3 {
		_, ok := q.Add(start(), newItem(time.Hour))
		assert.Equal(t, ok, i < 2)
	}
}
