package sapphiregauge

import (
	"strconv"
	"strings"
)

// Life is one incarnation of a worker. A worker may be restarted under the same ID: it then knows
// nothing of its earlier incarnations, and its counters and its clock start anew. What one
// incarnation has reported, received or promised doesn't hold for any other.
type Life struct {
	Worker string
	Born   int64 // start time in Unix milliseconds by its own clock; 0: not reported
}

// Before reports whether l is over if o is known: o belongs to the same worker and started later.
// An incarnation without a start time comes before those with one.
func (l Life) Before(o Life) bool { return l.Worker == o.Worker && l.Born < o.Born }

// incarnationSeparator separates a worker's ID from the start time of its incarnation.
const incarnationSeparator = "@"

// String returns the name of the incarnation in rows of the table.
func (l Life) String() string {
	if l.Born == 0 {
		return l.Worker
	}
	return l.Worker + incarnationSeparator + strconv.FormatInt(l.Born, 10)
}

// ParseLife parses a name returned by String. A name without a start time, as in rows of older
// versions, is that of an incarnation that didn't report one.
func ParseLife(name string) Life {
	at := strings.LastIndex(name, incarnationSeparator)
	if at < 0 {
		return Life{Worker: name}
	}
	born, err := strconv.ParseInt(name[at+len(incarnationSeparator):], 10, 64)
	if err != nil || born <= 0 {
		return Life{Worker: name}
	}
	return Life{Worker: name[:at], Born: born}
}
