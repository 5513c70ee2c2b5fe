package sapphiregauge

import (
	"context"
	"time"
)

// Class is the caller's hint of how long a request runs. It is often wrong:
// a quick request that outlives its service's bound is counted as long.
type Class string

// The classes.
const (
	ClassQuick Class = "quick"
	ClassLong  Class = "long"
)

// Request is one call, from the caller to a worker.
type Request struct {
	ID         string // the caller's idempotency key, or ours
	Team       string
	Service    string
	Class      Class
	Repeatable bool
	Async      bool // the caller looks for the answer later
	Deadline   time.Time
	Type       string // content type of the body
	Path       string // below the service
	Trace      string // traceparent, passed on as it came
	Body       []byte
}

// Response is a worker's whole answer.
type Response struct {
	Status int
	Type   string
	Host   string
	Body   []byte
}

// Target is a worker that a request may be sent to.
type Target struct {
	Host string
	Addr string // ip:port
	Rack string
	Zone string
}

// Attempt is one try to have a request run. Sent is true once a single byte
// may have left; Refused only where the worker itself proved that it did not
// run it.
type Attempt struct {
	Target  Target
	Sent    bool
	Refused bool
	Kind    Kind
}

// MayHaveRun tells whether a worker may have run the request in this attempt.
func (a Attempt) MayHaveRun() bool { return a.Sent && !a.Refused }

// Attempts are all tries of one request, in order.
type Attempts []Attempt

// MayHaveRun tells whether any attempt may have run.
func (as Attempts) MayHaveRun() bool {
	for _, a := range as {
		if a.MayHaveRun() {
			return true
		}
	}
	return false
}

// Hosts counts the distinct hosts that were tried.
func (as Attempts) Hosts() int {
	seen := make(map[string]bool, len(as))
	for _, a := range as {
		seen[a.Target.Host] = true
	}
	return len(seen)
}

// Refuse is the one place that says "not run". Saying so wrongly makes a
// caller repeat what must not be repeated (a second print, a second study),
// so it is said only if no attempt can have run; else the kind becomes
// unknown and the reason says which one was meant.
func Refuse(as Attempts, k Kind, reason string, retry time.Duration) *Error {
	if as.MayHaveRun() {
		return &Error{Kind: KindUnknown, Reason: reason + " after the request was sent"}
	}
	return &Error{Kind: k, Reason: reason, Retry: retry, ran: RanNo}
}

// Dispatcher sends one request to one worker and returns the whole answer.
// The attempt says what is known of its run, whether or not there is an error.
type Dispatcher interface {
	Dispatch(ctx context.Context, t Target, r *Request) (Response, Attempt, error)
}
