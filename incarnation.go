package sapphiregauge

import (
	"strconv"
	"strings"
)

// Life is one life of a worker. A worker may start again under its id: it then knows nothing of
// before, and its counts and its clock start anew. What one life has said, was told or has
// promised holds of no other.
type Life struct {
	Worker string
	Born   int64 // when it started, in Unix milliseconds by its own time of day; 0: it doesn't tell
}

// Before tells whether a life is over if another is known: that one is the same worker's, and
// began later. One that doesn't tell when it began comes before those that do.
func (l Life) Before(o Life) bool { return l.Worker == o.Worker && l.Born < o.Born }

// lifeMark stands between a worker's id and its life's beginning.
const lifeMark = "@"

// String is the life's name in rows of the table.
func (l Life) String() string {
	if l.Born == 0 {
		return l.Worker
	}
	return l.Worker + lifeMark + strconv.FormatInt(l.Born, 10)
}

// ParseLife reads what String wrote. A name without a beginning, as in rows of older programs, is
// of a life that doesn't tell it.
func ParseLife(name string) Life {
	at := strings.LastIndex(name, lifeMark)
	if at < 0 {
		return Life{Worker: name}
	}
	born, err := strconv.ParseInt(name[at+len(lifeMark):], 10, 64)
	if err != nil || born <= 0 {
		return Life{Worker: name}
	}
	return Life{Worker: name[:at], Born: born}
}
