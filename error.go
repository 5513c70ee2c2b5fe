package sapphiregauge

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Kind names what went wrong. The list is closed: whatever leaves the system
// carries one of these.
type Kind string

// The error kinds.
const (
	KindInvalid   Kind = "invalid"    // the input is malformed; Faults name the fields
	KindDenied    Kind = "denied"     // the key is missing or wrong
	KindMissing   Kind = "missing"    // there is nothing by that name
	KindConflict  Kind = "conflict"   // somebody else changed it first
	KindLarge     Kind = "large"      // a body or frame is over its bound
	KindQuota     Kind = "quota"      // the team has used its share
	KindFull      Kind = "full"       // no place can come free before the deadline
	KindEmpty     Kind = "empty"      // no worker serves this at the moment
	KindOutage    Kind = "outage"     // the platform's table or store does not answer
	KindDraining  Kind = "draining"   // this entry is shutting down
	KindUnready   Kind = "unready"    // this entry holds no configuration yet
	KindCancelled Kind = "cancelled"  // the caller went away
	KindProgress  Kind = "progress"   // the same request is still running
	KindExpired   Kind = "expired"    // the deadline passed after work was sent
	KindUnknown   Kind = "unknown"    // work was sent and no whole answer came back
	KindPoison    Kind = "poison"     // the request failed on several distinct workers
	KindFailed    Kind = "failed"     // the worker ran it and answered with a failure
	KindReused    Kind = "reused"     // the idempotency key belongs to another request
	KindInternal  Kind = "internal"   // a defect of ours
	KindNever     Kind = "impossible" // no host could ever hold it
	KindGone      Kind = "gone"       // there is no such job, or no longer
	KindCompacted Kind = "compacted"  // the table no longer knows the changes asked for
	KindFenced    Kind = "fenced"     // somebody with a newer fencing token has taken over
	KindStale     Kind = "stale"      // the run isn't newer than one that ended there
	KindLate      Kind = "late"       // the order's deadline had passed when it came
	KindNoRoom    Kind = "no room"    // the worker has not enough capacity free
	KindTicket    Kind = "ticket"     // the advice service's ticket is missing or over
	KindReplaced  Kind = "replaced"   // another life of the worker answers at its address
	KindUnhealthy Kind = "unhealthy"  // the worker refuses since it is in trouble
	KindBusy      Kind = "busy"       // the machine is not up, or leaves
)

// Ran says whether a request was run by a worker.
type Ran string

// The three possibilities.
const (
	RanNo      Ran = "not run"
	RanYes     Ran = "ran"
	RanUnknown Ran = "unknown"
)

// Answer is how a kind is told to an HTTP client.
type Answer struct {
	Status int
	Again  bool // asking again may help: the answer carries a Retry-After
	Ran    Ran  // whether the request ran, where the kind alone decides it
}

// answers is the one table from kind to answer.
//
//nolint:gochecknoglobals // a constant table; Go has no constant maps
var answers = map[Kind]Answer{
	KindInvalid:   {Status: http.StatusBadRequest, Ran: RanNo},
	KindDenied:    {Status: http.StatusUnauthorized, Ran: RanNo},
	KindMissing:   {Status: http.StatusNotFound, Ran: RanNo},
	KindConflict:  {Status: http.StatusConflict, Ran: RanNo},
	KindLarge:     {Status: http.StatusRequestEntityTooLarge, Ran: RanNo},
	KindQuota:     {Status: http.StatusTooManyRequests, Again: true, Ran: RanNo},
	KindFull:      {Status: http.StatusServiceUnavailable, Again: true, Ran: RanNo},
	KindEmpty:     {Status: http.StatusServiceUnavailable, Again: true, Ran: RanNo},
	KindOutage:    {Status: http.StatusServiceUnavailable, Again: true, Ran: RanNo},
	KindDraining:  {Status: http.StatusServiceUnavailable, Again: true, Ran: RanNo},
	KindUnready:   {Status: http.StatusServiceUnavailable, Again: true, Ran: RanNo},
	KindCancelled: {Status: 499, Ran: RanNo}, // nginx's code for a caller that left
	KindProgress:  {Status: http.StatusConflict, Again: true, Ran: RanUnknown},
	KindExpired:   {Status: http.StatusGatewayTimeout, Ran: RanUnknown},
	KindUnknown:   {Status: http.StatusBadGateway, Ran: RanUnknown},
	KindPoison:    {Status: http.StatusBadGateway, Ran: RanUnknown},
	KindFailed:    {Status: http.StatusBadGateway, Ran: RanYes},
	KindReused:    {Status: http.StatusUnprocessableEntity, Ran: RanNo},
	KindInternal:  {Status: http.StatusInternalServerError, Ran: RanUnknown},
	KindNever:     {Status: http.StatusUnprocessableEntity, Ran: RanNo},
	KindGone:      {Status: http.StatusGone, Ran: RanNo},
	// The kinds below arise between entries, workers and the platform; a caller
	// that meets one is told no more than that it may ask again.
	KindCompacted: {Status: http.StatusBadGateway, Ran: RanUnknown},
	KindFenced:    {Status: http.StatusBadGateway, Ran: RanUnknown},
	KindStale:     {Status: http.StatusBadGateway, Ran: RanUnknown},
	KindLate:      {Status: http.StatusBadGateway, Ran: RanUnknown},
	KindNoRoom:    {Status: http.StatusBadGateway, Ran: RanUnknown},
	KindTicket:    {Status: http.StatusBadGateway, Ran: RanUnknown},
	KindReplaced:  {Status: http.StatusBadGateway, Ran: RanUnknown},
	KindUnhealthy: {Status: http.StatusBadGateway, Ran: RanUnknown},
	KindBusy:      {Status: http.StatusConflict, Ran: RanNo},
}

// Answer looks the kind up in the table. An unlisted kind counts as internal.
func (k Kind) Answer() Answer {
	a, ok := answers[k]
	if !ok {
		return answers[KindInternal]
	}
	return a
}

// Kinds lists every kind in the table, in no order.
func Kinds() []Kind {
	ks := make([]Kind, 0, len(answers))
	for k := range answers {
		ks = append(ks, k)
	}
	return ks
}

// Fault is one field of an input that can't be accepted.
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

// Faults gathers all that is wrong with an input, so that one look tells all.
type Faults []Fault

// Add notes one more fault.
func (fs *Faults) Add(field, format string, args ...any) {
	*fs = append(*fs, Fault{Field: field, Reason: fmt.Sprintf(format, args...)})
}

// Err returns nil without faults, else one error of kind invalid.
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

// Error is what every part of the system returns to the outside.
type Error struct {
	Kind   Kind
	Reason string
	Faults Faults
	Retry  time.Duration // when asking again may help; 0: the answer's default
	ran    Ran           // set by Refuse alone; empty: not proved
	cause  error
}

// Fail makes an error of a kind. It never claims that a request did not run:
// for that there is Refuse.
func Fail(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, Reason: fmt.Sprintf(format, args...)}
}

// Because adds the error that led to this one.
func (e *Error) Because(cause error) *Error {
	e.cause = cause
	return e
}

// After adds when to ask again.
func (e *Error) After(d time.Duration) *Error {
	e.Retry = d
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

// Ran tells whether the request ran. Without a proof from Refuse a kind whose
// table row says "not run" is told as unknown.
func (e *Error) Ran() Ran {
	if e.ran != "" {
		return e.ran
	}
	if r := e.Kind.Answer().Ran; r != RanNo {
		return r
	}
	return RanUnknown
}

// KindOf finds the kind of an error, internal if it has none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return KindInternal
}

// Is tells whether an error is of a kind.
func Is(err error, k Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == k
}

// AsError turns any error into one with a kind.
func AsError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Fail(KindInternal, "%s", err).Because(err)
}
