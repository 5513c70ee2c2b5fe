package sched

import "time"

// startAttempts is what is known of the starts that were sent for one run to one incarnation of a
// worker. At most one of them is carried out there.
type startAttempts struct {
	sent      int
	pending   int           // those without an outcome yet
	failed    int           // those that failed without an answer
	failedAt  time.Duration // when the last of these failed
	confirmed bool          // the answer to one says that it was carried out
	listed    bool          // the worker has reported the run
	repeated  bool          // more than one was sent, also to earlier incarnations
	later     bool          // a later incarnation may have answered one
}

// begin counts a start that is sent.
func (a *startAttempts) begin() {
	a.repeated = a.repeated || a.sent > 0 || a.failed > 0
	a.sent++
	a.pending++
}

// fail records that a start may have been carried out, or may be yet.
func (a *startAttempts) fail(now time.Duration) {
	a.failed++
	a.failedAt = now
}

// outstanding is the number of starts that may still be carried out.
func (a *startAttempts) outstanding() int {
	n := a.pending + a.failed
	if a.listed && !a.confirmed {
		n-- // one of them was carried out
	}
	return n
}

// lateUntil is the time from which none of the starts that failed can be carried out any more.
func (a *startAttempts) lateUntil() time.Duration { return a.failedAt + lateStartSpan }

// mayArrive reports whether one of the starts may still be carried out.
func (a *startAttempts) mayArrive(now time.Duration) bool {
	return a.outstanding() > 0 && (a.pending > 0 || now < a.lateUntil())
}

// mayExist reports whether the worker may have carried out one of the starts, or may yet.
func (a *startAttempts) mayExist(now time.Duration) bool {
	return a.listed || a.confirmed || a.mayArrive(now)
}

// passOn adapts the record to the next incarnation, which has carried out none of the starts.
func (a *startAttempts) passOn() {
	a.failed = max(0, a.outstanding()-a.pending)
	a.repeated = a.repeated || a.confirmed || a.listed
	a.sent, a.confirmed, a.listed = 0, false, false
}
