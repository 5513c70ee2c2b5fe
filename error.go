package sapphiregauge

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Kind classifies an error. The list is closed: every error that leaves the system has one of these
// kinds.
type Kind string

// The error kinds.
const (
	KindInvalid      Kind = "invalid"    // the input is malformed; Faults name the fields
	KindDenied       Kind = "denied"     // the key is missing or wrong
	KindForbidden    Kind = "forbidden"  // the job belongs to another client account
	KindNotFound     Kind = "missing"    // there is nothing with that name
	KindConflict     Kind = "conflict"   // something else changed it first
	KindTooLarge     Kind = "large"      // a body or frame exceeds its size limit
	KindQuota        Kind = "quota"      // the team has used up its quota
	KindNoSlot       Kind = "full"       // no slot can become free before the deadline
	KindNoWorker     Kind = "empty"      // no worker serves this at the moment
	KindOutage       Kind = "outage"     // the platform's table or object store does not answer
	KindDraining     Kind = "draining"   // this entry is shutting down
	KindUnready      Kind = "unready"    // this entry has no configuration yet
	KindCancelled    Kind = "cancelled"  // the caller went away
	KindInProgress   Kind = "progress"   // the same request is still running
	KindExpired      Kind = "expired"    // the deadline passed after work was sent
	KindUnknown      Kind = "unknown"    // work was sent and no complete answer came back
	KindPoison       Kind = "poison"     // the request failed on several distinct workers
	KindFailed       Kind = "failed"     // the worker ran it and answered with a failure
	KindKeyReused    Kind = "reused"     // the idempotency key belongs to another request
	KindInternal     Kind = "internal"   // a defect of this software
	KindImpossible   Kind = "impossible" // no host could ever run it
	KindGone         Kind = "gone"       // there is no such job, or no longer
	KindCompacted    Kind = "compacted"  // the table no longer has the changes asked for
	KindFenced       Kind = "fenced"     // a holder with a newer fencing token has taken over
	KindStale        Kind = "stale"      // the run isn't newer than one that ended on the worker
	KindPastDeadline Kind = "late"       // the order's deadline had passed when it arrived
	KindNoRoom       Kind = "no room"    // the worker has too little free capacity
	KindBadTicket    Kind = "ticket"     // the advice service's ticket is missing or has expired
	KindReplaced     Kind = "replaced"   // another incarnation of the worker answers at its address
	KindUnhealthy    Kind = "unhealthy"  // the worker refuses the order because it is in trouble
	KindBusy         Kind = "busy"       // the machine is not up, or is leaving
)

// Ran says whether a worker ran a request.
type Ran string

// The possible values of Ran.
const (
	RanNo      Ran = "not run"
	RanYes     Ran = "ran"
	RanUnknown Ran = "unknown"
)

// HTTPAnswer is how an error kind is reported to an HTTP client.
type HTTPAnswer struct {
	Status    int
	Retryable bool // trying again may help: the answer carries a Retry-After header
	Ran       Ran  // whether the request ran, where the kind alone decides it
}

// answers maps each kind to its answer.
//
//nolint:gochecknoglobals // a constant table; Go has no constant maps
var answers = map[Kind]HTTPAnswer{
	KindInvalid:    {Status: http.StatusBadRequest, Ran: RanNo},
	KindDenied:     {Status: http.StatusUnauthorized, Ran: RanNo},
	KindForbidden:  {Status: http.StatusForbidden, Ran: RanNo},
	KindNotFound:   {Status: http.StatusNotFound, Ran: RanNo},
	KindConflict:   {Status: http.StatusConflict, Ran: RanNo},
	KindTooLarge:   {Status: http.StatusRequestEntityTooLarge, Ran: RanNo},
	KindQuota:      {Status: http.StatusTooManyRequests, Retryable: true, Ran: RanNo},
	KindNoSlot:     {Status: http.StatusServiceUnavailable, Retryable: true, Ran: RanNo},
	KindNoWorker:   {Status: http.StatusServiceUnavailable, Retryable: true, Ran: RanNo},
	KindOutage:     {Status: http.StatusServiceUnavailable, Retryable: true, Ran: RanNo},
	KindDraining:   {Status: http.StatusServiceUnavailable, Retryable: true, Ran: RanNo},
	KindUnready:    {Status: http.StatusServiceUnavailable, Retryable: true, Ran: RanNo},
	KindCancelled:  {Status: 499, Ran: RanNo}, // nginx's status code for a client that closed the connection
	KindInProgress: {Status: http.StatusConflict, Retryable: true, Ran: RanUnknown},
	KindExpired:    {Status: http.StatusGatewayTimeout, Ran: RanUnknown},
	KindUnknown:    {Status: http.StatusBadGateway, Ran: RanUnknown},
	KindPoison:     {Status: http.StatusBadGateway, Ran: RanUnknown},
	KindFailed:     {Status: http.StatusBadGateway, Ran: RanYes},
	KindKeyReused:  {Status: http.StatusUnprocessableEntity, Ran: RanNo},
	KindInternal:   {Status: http.StatusInternalServerError, Ran: RanUnknown},
	KindImpossible: {Status: http.StatusUnprocessableEntity, Ran: RanNo},
	KindGone:       {Status: http.StatusGone, Ran: RanNo},
	// The kinds below arise between entries, workers and the platform; a caller that receives one
	// learns only that it may try again.
	KindCompacted:    {Status: http.StatusBadGateway, Ran: RanUnknown},
	KindFenced:       {Status: http.StatusBadGateway, Ran: RanUnknown},
	KindStale:        {Status: http.StatusBadGateway, Ran: RanUnknown},
	KindPastDeadline: {Status: http.StatusBadGateway, Ran: RanUnknown},
	KindNoRoom:       {Status: http.StatusBadGateway, Ran: RanUnknown},
	KindBadTicket:    {Status: http.StatusBadGateway, Ran: RanUnknown},
	KindReplaced:     {Status: http.StatusBadGateway, Ran: RanUnknown},
	KindUnhealthy:    {Status: http.StatusBadGateway, Ran: RanUnknown},
	KindBusy:         {Status: http.StatusConflict, Ran: RanNo},
}

// Answer returns how the kind is reported to an HTTP client. An unlisted kind counts as internal.
func (k Kind) Answer() HTTPAnswer {
	a, ok := answers[k]
	if !ok {
		return answers[KindInternal]
	}
	return a
}

// Kinds lists every kind, in no particular order.
func Kinds() []Kind {
	ks := make([]Kind, 0, len(answers))
	for k := range answers {
		ks = append(ks, k)
	}
	return ks
}

// Fault is one field of an input that isn't acceptable.
type Fault struct {
	Source string `json:"source,omitempty"` // file, flag or environment variable
	Record string `json:"record,omitempty"` // kind/name of the record
	Field  string `json:"field"`
	Reason string `json:"reason"`
}

func (f Fault) String() string {
	s := f.Field + ": " + f.Reason
	if f.Record != "" {
		s = f.Record + ": " + s
	}
	if f.Source != "" {
		s = f.Source + ": " + s
	}
	return s
}

// Faults collects all that is wrong with an input, so that one answer reports everything.
type Faults []Fault

// Add appends a fault.
func (fs *Faults) Add(field, format string, args ...any) {
	*fs = append(*fs, Fault{Field: field, Reason: fmt.Sprintf(format, args...)})
}

// Err returns nil without faults, else one error of kind invalid that lists them all.
func (fs Faults) Err() error {
	if len(fs) == 0 {
		return nil
	}
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return &Error{Kind: KindInvalid, Reason: strings.Join(lines, "; "), Faults: fs}
}

// Error is the error type that every part of the system returns to callers.
type Error struct {
	Kind       Kind
	Reason     string
	Faults     Faults
	RetryAfter time.Duration // when trying again may help; 0: the default of the answer
	ran        Ran           // set by Refuse alone; empty: not proved
	cause      error
}

// Errorf returns an error of a kind. It never claims that a request did not run; only Refuse does.
func Errorf(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, Reason: fmt.Sprintf(format, args...)}
}

// WithCause sets the error that caused this one, and returns the receiver.
func (e *Error) WithCause(cause error) *Error {
	e.cause = cause
	return e
}

// WithRetryAfter sets after what time the caller may try again, and returns the receiver.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

func (e *Error) Error() string {
	s := string(e.Kind) + ": " + e.Reason
	if e.cause != nil {
		s += ": " + e.cause.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Ran returns whether the request ran. Without a proof by Refuse, a kind that is listed as "not
// run" is reported as unknown.
func (e *Error) Ran() Ran {
	if e.ran != "" {
		return e.ran
	}
	if r := e.Kind.Answer().Ran; r != RanNo {
		return r
	}
	return RanUnknown
}

// KindOf returns the kind of an error, or internal if it has none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return KindInternal
}

// IsKind reports whether an error is of a kind.
func IsKind(err error, k Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == k
}

// AsError returns an error with a kind as it is, and any other one as an error of kind internal.
func AsError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Errorf(KindInternal, "%s", err).WithCause(err)
}
