// Package holds records how well the promises to users are kept: for each, how often it was checked,
// whether and when this entry found it broken, and the evidence.
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
	GracefulShutdown   Promise = "graceful" // a graceful shutdown interrupts no request
	PromptConfig       Promise = "inforce"  // configuration is in force within seconds and never reverts to an older revision
)

// Promises lists all promises, in the order of the report.
func Promises() []Promise {
	return []Promise{AvailabilityBudget, SinglePool, WholeAnswers, TrueNotRun, AtMostOnce, NoWorkWhenLeaving, GracefulShutdown, PromptConfig}
}

// Result is one entry's record of a promise.
type Result struct {
	Promise  Promise   `json:"promise" msgpack:"p"`
	Checks   int64     `json:"checks" msgpack:"c"`   // number of checks that could have found it broken
	Events   int64     `json:"events" msgpack:"n"`   // how often the mechanism that enforces it took effect
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
	r := &Recorder{clock: clock, results: make(map[Promise]*Result)}
	for _, p := range Promises() {
		r.results[p] = &Result{Promise: p}
	}
	return r
}

// RecordCheck records one check of a promise.
func (r *Recorder) RecordCheck(p Promise, held bool, evidence string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	res := r.results[p]
	res.Checks++
	if !held {
		res.Breaches++
		res.Last = r.clock()
	}
	if !held || res.Breaches == 0 {
		res.Evidence = evidence
	}
}

// RecordEvent records that the mechanism that enforces a promise took effect. That is no check of
// the promise: an entry alone can't see that an answer was meant for another caller, or that a
// request ran elsewhere as well.
func (r *Recorder) RecordEvent(p Promise, evidence string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results[p].Events++
	r.results[p].Evidence = evidence
}

// Results returns the results of all promises, in the order of the report.
func (r *Recorder) Results() []Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Result, 0, len(r.results))
	for _, p := range Promises() {
		out = append(out, *r.results[p])
	}
	return out
}

// Sum adds up the results of several entries; the evidence is that of the last breach.
func Sum(all ...[]Result) []Result {
	out := make([]Result, len(Promises()))
	for i, p := range Promises() {
		out[i].Promise = p
		for _, results := range all {
			for _, r := range results {
				if r.Promise == p {
					out[i].merge(r)
				}
			}
		}
	}
	return out
}

func (r *Result) merge(o Result) {
	if r.Evidence == "" || o.Last.After(r.Last) {
		r.Evidence = o.Evidence
	}
	if o.Last.After(r.Last) {
		r.Last = o.Last
	}
	r.Checks += o.Checks
	r.Events += o.Events
	r.Breaches += o.Breaches
}
