// Package queue decides which waiting request gets the next slot, and which can't be served in time
// and is refused at once. Quick and long requests wait separately; within a class the earliest
// deadline goes first. It is a state machine without input or output; adding, taking and cancelling
// take logarithmic time, so that a burst of cancellations causes no scan.
package queue

import (
	"container/heap"
	"time"

	gauge "sapphiregauge"
)

// Config sets up a Queue.
type Config struct {
	MaxLength int       // maximum number of waiting requests, both classes together
	StartTime time.Time // when measuring the rate begins
}

// Item is one waiting request.
type Item struct {
	Class    gauge.Class
	Deadline time.Time
	Granted  chan *gauge.Slot // receives the slot; must have a buffer of one
	Attempts gauge.Attempts
	index    int // in its heap; -1: not waiting
	sequence uint64
}

// Queue holds the waiting requests of one pool at one entry.
type Queue struct {
	conf         Config
	quick        classQueue
	long         classQueue
	lastSequence uint64
}

// New returns an empty Queue.
func New(c Config) *Queue {
	return &Queue{
		conf:  c,
		quick: classQueue{windowStart: c.StartTime},
		long:  classQueue{windowStart: c.StartTime},
	}
}

func (q *Queue) classQueue(c gauge.Class) *classQueue {
	if c == gauge.ClassLong {
		return &q.long
	}
	return &q.quick
}

// Len returns how many requests of a class wait.
func (q *Queue) Len(c gauge.Class) int { return len(q.classQueue(c).items) }

// Add queues a request, or refuses it if the queue is full or, at the measured rate, the request
// would be served after its deadline. Wait is the estimated waiting time: a refused caller can try
// again after it.
func (q *Queue) Add(now time.Time, it *Item) (wait time.Duration, ok bool) {
	l := q.classQueue(it.Class)
	wait = l.estimateWait(now, len(l.items)+1)
	if len(q.quick.items)+len(q.long.items) >= q.conf.MaxLength {
		return wait, false
	}
	if wait > 0 && now.Add(wait).After(it.Deadline) {
		return wait, false
	}
	q.lastSequence++
	it.sequence = q.lastSequence
	heap.Push(l, it)
	return wait, true
}

// Requeue puts back a request that was taken out but got no slot.
func (q *Queue) Requeue(it *Item) { heap.Push(q.classQueue(it.Class), it) }

// Peek returns the request of a class that is to be served next, without taking it out; nil if none
// waits.
func (q *Queue) Peek(c gauge.Class) *Item {
	l := q.classQueue(c)
	if len(l.items) == 0 {
		return nil
	}
	return l.items[0]
}

// Remove takes a request out, because it got its slot or was cancelled. It returns false if the
// request was not waiting.
func (q *Queue) Remove(it *Item) bool {
	if it.index < 0 {
		return false
	}
	l := q.classQueue(it.Class)
	if it.index >= len(l.items) || l.items[it.index] != it {
		return false
	}
	heap.Remove(l, it.index)
	return true
}

// RecordFinished records that a request of a class has released its slot.
func (q *Queue) RecordFinished(now time.Time, c gauge.Class) { q.classQueue(c).recordFinished(now) }

// EstimateWait estimates how long a request that comes now would wait.
func (q *Queue) EstimateWait(now time.Time, c gauge.Class) time.Duration {
	l := q.classQueue(c)
	return l.estimateWait(now, len(l.items)+1)
}

// rateWindow is the length of the windows over which the rate of finished requests is measured.
const rateWindow = 5 * time.Second

// classQueue is the heap of one class, with its measured rate.
type classQueue struct {
	items         []*Item
	windowStart   time.Time // of the current window
	finishedCount float64   // requests finished in the current window
	rate          float64   // per second, averaged over earlier windows
}

func (l *classQueue) recordFinished(now time.Time) {
	l.rollWindow(now)
	l.finishedCount++
}

// rollWindow closes a window that is over and averages its rate with the one before.
func (l *classQueue) rollWindow(now time.Time) {
	elapsed := now.Sub(l.windowStart)
	if elapsed < rateWindow {
		return
	}
	windowRate := l.finishedCount / elapsed.Seconds()
	if l.rate == 0 {
		l.rate = windowRate
	}
	l.rate = (l.rate + windowRate) / 2
	l.windowStart = now
	l.finishedCount = 0
}

// estimateWait returns 0 while the rate is unknown: a refusal without evidence would keep work from
// an idle fleet.
func (l *classQueue) estimateWait(now time.Time, position int) time.Duration {
	l.rollWindow(now)
	if l.rate <= 0 {
		return 0
	}
	return time.Duration(float64(position) / l.rate * float64(time.Second))
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (l *classQueue) Len() int { return len(l.items) }

// Less orders by deadline, and by arrival among equal deadlines.
func (l *classQueue) Less(a, b int) bool {
	x, y := l.items[a], l.items[b]
	if !x.Deadline.Equal(y.Deadline) {
		return x.Deadline.Before(y.Deadline)
	}
	return x.sequence < y.sequence
}

func (l *classQueue) Swap(a, b int) {
	l.items[a], l.items[b] = l.items[b], l.items[a]
	l.items[a].index, l.items[b].index = a, b
}

// Push is called by heap.Push.
func (l *classQueue) Push(x any) {
	it, _ := x.(*Item)
	it.index = len(l.items)
	l.items = append(l.items, it)
}

// Pop is called by heap.Remove.
func (l *classQueue) Pop() any {
	last := len(l.items) - 1
	it := l.items[last]
	l.items[last] = nil
	l.items = l.items[:last]
	it.index = -1
	return it
}
