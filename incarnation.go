package sapphiregauge

import (
	"strconv"
	"strings"
)

// Incarnation identifies one start of a worker. A worker may be restarted under the same ID: it
// then knows nothing of its earlier incarnations, and its counters and its clock start anew. What
// one incarnation has reported, received or promised doesn't hold for any other.
type Incarnation struct {
	Worker    string
	StartedAt int64 // start time in Unix milliseconds by its own clock; 0: not reported
}

// IsBefore reports whether i is over if o is known: o belongs to the same worker and started later.
// An incarnation without a start time comes before those with one.
func (i Incarnation) IsBefore(o Incarnation) bool {
	return i.Worker == o.Worker && i.StartedAt < o.StartedAt
}

// incarnationSeparator separates a worker's ID from the start time of its incarnation.
const incarnationSeparator = "@"

// String returns the name of the incarnation in rows of the table.
func (i Incarnation) String() string {
	if i.StartedAt == 0 {
		return i.Worker
	}
	return i.Worker + incarnationSeparator + strconv.FormatInt(i.StartedAt, 10)
}

// ParseIncarnation parses a name returned by String. A name without a start time, as in rows of
// older versions, is that of an incarnation that didn't report one.
func ParseIncarnation(name string) Incarnation {
	at := strings.LastIndex(name, incarnationSeparator)
	if at < 0 {
		return Incarnation{Worker: name}
	}
	startedAt, err := strconv.ParseInt(name[at+len(incarnationSeparator):], 10, 64)
	if err != nil || startedAt <= 0 {
		return Incarnation{Worker: name}
	}
	return Incarnation{Worker: name[:at], StartedAt: startedAt}
}
