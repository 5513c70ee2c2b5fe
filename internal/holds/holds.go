// Package holds keeps the record of the promises: for each, whether a breach was
// seen here, when, and what it rests on.
package holds

import (
	"sync"
	"time"

	gauge "sapphiregauge"
)

// Promise is one of the promises of the project.
type Promise string

// The promises, in the order of the report.
const (
	Budget   Promise = "budget"   // each pool's availability budget holds
	Single   Promise = "single"   // a host belongs to exactly one pool
	Whole    Promise = "whole"    // whole and own answers only
	NotRun   Promise = "notrun"   // "not run" is true
	Once     Promise = "once"     // what must not be repeated runs at most once
	Leaving  Promise = "leaving"  // a leaving target gets no new work after a few seconds
	Graceful Promise = "graceful" // a graceful shutdown cuts off nothing
	InForce  Promise = "inforce"  // configuration is in force within seconds, never backwards
)

// Promises lists all.
func Promises() []Promise {
	return []Promise{Budget, Single, Whole, NotRun, Once, Leaving, Graceful, InForce}
}

// Line is what one entry has seen of a promise.
type Line struct {
	Promise  Promise   `json:"promise" msgpack:"p"`
	Checks   int64     `json:"checks" msgpack:"c"`   // how often it was looked at and could have been found broken
	Events   int64     `json:"events" msgpack:"n"`   // how often the mechanism that keeps it was at work
	Breaches int64     `json:"breaches" msgpack:"b"` // how often it was found broken
	Last     time.Time `json:"last,omitzero" msgpack:"l"`
	Evidence string    `json:"evidence" msgpack:"e"` // what the last breach, else the last check, showed
}

// Book keeps the lines of this entry. Safe for concurrent use.
type Book struct {
	clock gauge.Clock

	mu    sync.Mutex
	lines map[Promise]*Line
}

// New makes a Book in which nothing was looked at yet.
func New(clock gauge.Clock) *Book {
	b := &Book{clock: clock, lines: make(map[Promise]*Line)}
	for _, p := range Promises() {
		b.lines[p] = &Line{Promise: p}
	}
	return b
}

// Note writes down one look at a promise.
func (b *Book) Note(p Promise, held bool, evidence string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.lines[p]
	l.Checks++
	if !held {
		l.Breaches++
		l.Last = b.clock()
	}
	if !held || l.Breaches == 0 {
		l.Evidence = evidence
	}
}

// Work writes down that the mechanism that keeps a promise was at work. That is
// no look at the promise: an entry can't see for itself that an answer was
// somebody else's, or that a request ran elsewhere as well.
func (b *Book) Work(p Promise, evidence string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lines[p].Events++
	b.lines[p].Evidence = evidence
}

// Lines returns all lines in order.
func (b *Book) Lines() []Line {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]Line, 0, len(b.lines))
	for _, p := range Promises() {
		out = append(out, *b.lines[p])
	}
	return out
}

// Sum adds entries' lines up; the evidence is that of the last breach.
func Sum(all ...[]Line) []Line {
	out := make([]Line, len(Promises()))
	for i, p := range Promises() {
		out[i].Promise = p
		for _, lines := range all {
			for _, l := range lines {
				if l.Promise == p {
					out[i].merge(l)
				}
			}
		}
	}
	return out
}

func (l *Line) merge(o Line) {
	if l.Evidence == "" || o.Last.After(l.Last) {
		l.Evidence = o.Evidence
	}
	if o.Last.After(l.Last) {
		l.Last = o.Last
	}
	l.Checks += o.Checks
	l.Events += o.Events
	l.Breaches += o.Breaches
}
