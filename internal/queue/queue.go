// Package queue decides which waiting request gets the next place, and which
// can't be served in time and is refused at once. Quick and long work wait
// apart; within a class the earliest deadline goes first. It is a state machine
// without input or output; adding, taking and cancelling cost the logarithm of
// the length, so that a burst of cancellations costs no scan.
package queue

import (
	"container/heap"
	"time"

	gauge "sapphiregauge"
)

// Config sets up a Queue.
type Config struct {
	Length int       // most requests that wait, both classes together
	Start  time.Time // when measuring the rate begins
}

// Item is one waiting request.
type Item struct {
	Class    gauge.Class
	Deadline time.Time
	Ready    chan *gauge.Place // gets the place; has room for one
	Earlier  gauge.Attempts
	index    int // in its heap; -1: not waiting
	order    uint64
}

// Queue holds the waiting requests of one pool at one entry.
type Queue struct {
	conf  Config
	quick lane
	long  lane
	last  uint64
}

// New makes an empty Queue.
func New(c Config) *Queue {
	return &Queue{
		conf:  c,
		quick: lane{began: c.Start},
		long:  lane{began: c.Start},
	}
}

func (q *Queue) lane(c gauge.Class) *lane {
	if c == gauge.ClassLong {
		return &q.long
	}
	return &q.quick
}

// Len returns how many requests of a class wait.
func (q *Queue) Len(c gauge.Class) int { return len(q.lane(c).items) }

// Add lets a request wait, or refuses it: the queue is full, or at the measured
// rate its turn comes after its deadline. The wait tells when to ask again.
func (q *Queue) Add(now time.Time, it *Item) (wait time.Duration, ok bool) {
	l := q.lane(it.Class)
	wait = l.wait(now, len(l.items)+1)
	if len(q.quick.items)+len(q.long.items) >= q.conf.Length {
		return wait, false
	}
	if wait > 0 && now.Add(wait).After(it.Deadline) {
		return wait, false
	}
	q.last++
	it.order = q.last
	heap.Push(l, it)
	return wait, true
}

// Return puts back a request that was taken out but got no place.
func (q *Queue) Return(it *Item) { heap.Push(q.lane(it.Class), it) }

// Next returns the request of a class whose turn it is, without taking it out;
// nil if none waits.
func (q *Queue) Next(c gauge.Class) *Item {
	l := q.lane(c)
	if len(l.items) == 0 {
		return nil
	}
	return l.items[0]
}

// Remove takes a request out, whether it got its place or was cancelled. It
// returns false if it was not waiting.
func (q *Queue) Remove(it *Item) bool {
	if it.index < 0 {
		return false
	}
	l := q.lane(it.Class)
	if it.index >= len(l.items) || l.items[it.index] != it {
		return false
	}
	heap.Remove(l, it.index)
	return true
}

// Finished notes that a request of a class gave its place back.
func (q *Queue) Finished(now time.Time, c gauge.Class) { q.lane(c).finished(now) }

// Wait estimates how long a request that came now would wait.
func (q *Queue) Wait(now time.Time, c gauge.Class) time.Duration {
	l := q.lane(c)
	return l.wait(now, len(l.items)+1)
}

// rateWindow is how far back the rate of finished requests looks.
const rateWindow = 5 * time.Second

// lane is the heap of one class with its measured rate.
type lane struct {
	items []*Item
	began time.Time // of the current window
	count float64   // finished in it
	rate  float64   // per second, of the windows before
}

func (l *lane) finished(now time.Time) {
	l.roll(now)
	l.count++
}

// roll closes a window and blends its rate into the one before.
func (l *lane) roll(now time.Time) {
	past := now.Sub(l.began)
	if past < rateWindow {
		return
	}
	fresh := l.count / past.Seconds()
	if l.rate == 0 {
		l.rate = fresh
	}
	l.rate = (l.rate + fresh) / 2
	l.began = now
	l.count = 0
}

// wait is 0 while nothing is known of the rate: refusing on no evidence would
// turn work away from an idle fleet.
func (l *lane) wait(now time.Time, turn int) time.Duration {
	l.roll(now)
	if l.rate <= 0 {
		return 0
	}
	return time.Duration(float64(turn) / l.rate * float64(time.Second))
}

// Len, Less, Swap, Push and Pop make a lane a heap.Interface.
func (l *lane) Len() int { return len(l.items) }

// Less puts the earlier deadline first, then the one that came first.
func (l *lane) Less(a, b int) bool {
	x, y := l.items[a], l.items[b]
	if !x.Deadline.Equal(y.Deadline) {
		return x.Deadline.Before(y.Deadline)
	}
	return x.order < y.order
}

func (l *lane) Swap(a, b int) {
	l.items[a], l.items[b] = l.items[b], l.items[a]
	l.items[a].index, l.items[b].index = a, b
}

// Push is called by heap.Push.
func (l *lane) Push(x any) {
	it, _ := x.(*Item)
	it.index = len(l.items)
	l.items = append(l.items, it)
}

// Pop is called by heap.Remove.
func (l *lane) Pop() any {
	last := len(l.items) - 1
	it := l.items[last]
	l.items[last] = nil
	l.items = l.items[:last]
	it.index = -1
	return it
}
