// Package holds records how well the promises to users are kept: for each, how often it was
// checked, whether and when this entry saw it broken, and the evidence.
package holds

import (
	"sync"
	"time"

	gauge "sapphiregauge"
)

// Promise names one of the promises that the software makes to its users.
type Promise string

// The promises, in the order of the report.
const (
	AvailabilityBudget Promise = "budget"   // each pool's availability budget holds
	SinglePool         Promise = "single"   // a host belongs to exactly one pool
	WholeAnswers       Promise = "whole"    // callers only get complete answers, and only their own
	TrueNotRun         Promise = "notrun"   // an answer that says "not run" is true
	AtMostOnce         Promise = "once"     // a request that must not be repeated runs at most once
	NoWorkWhenLeaving  Promise = "leaving"  // a leaving target gets no new requests after a few seconds
	GracefulShutdown   Promise = "graceful" // a graceful shutdown cuts off no request
	PromptConfig       Promise = "inforce"  // configuration is in force within seconds and never reverts to an older revision
)

// Promises lists all promises, in the order of the report.
func Promises() []Promise {
	return []Promise{AvailabilityBudget, SinglePool, WholeAnswers, TrueNotRun, AtMostOnce, NoWorkWhenLeaving, GracefulShutdown, PromptConfig}
}

// Result is what one entry has seen of a promise.
type Result struct {
	Promise  Promise   `json:"promise" msgpack:"p"`
	Checks   int64     `json:"checks" msgpack:"c"`   // how often it was checked and could have been found broken
	Events   int64     `json:"events" msgpack:"n"`   // how often the mechanism that keeps it took effect
	Breaches int64     `json:"breaches" msgpack:"b"` // how often it was found broken
	Last     time.Time `json:"last,omitzero" msgpack:"l"`
	Evidence string    `json:"evidence" msgpack:"e"` // what the last breach showed or, without one, the last check or event
}

// Recorder keeps this entry's results. It is safe for concurrent use.
type Recorder struct {
	clock gauge.Clock

	mu      sync.Mutex
	results map[Promise]*Result
}

// New returns a Recorder without any checks.
func New(clock gauge.Clock) *Recorder {
	b := &Recorder{clock: clock, results: make(map[Promise]*Result)}
	for _, p := range Promises() {
		b.results[p] = &Result{Promise: p}
	}
	return b
}

// RecordCheck records one check of a promise.
func (b *Recorder) RecordCheck(p Promise, held bool, evidence string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.results[p]
	l.Checks++
	if !held {
		l.Breaches++
		l.Last = b.clock()
	}
	if !held || l.Breaches == 0 {
		l.Evidence = evidence
	}
}

// RecordEvent records that the mechanism that keeps a promise took effect. That is no check of the
// promise: an entry can't see for itself that an answer was meant for another caller, or that a
// request ran elsewhere as well.
func (b *Recorder) RecordEvent(p Promise, evidence string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.results[p].Events++
	b.results[p].Evidence = evidence
}

// Results returns the results of all promises, in the order of the report.
func (b *Recorder) Results() []Result {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]Result, 0, len(b.results))
	for _, p := range Promises() {
		out = append(out, *b.results[p])
	}
	return out
}

// Sum adds up the results of several entries; the evidence is that of the last breach.
func Sum(all ...[]Result) []Result {
	out := make([]Result, len(Promises()))
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

func (l *Result) merge(o Result) {
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
