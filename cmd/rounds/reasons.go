package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
)

// Reason is why a job was late or lost, the first of these that holds.
type Reason string

// The reasons.
const (
	ReasonRefused Reason = "refused"           // no entry took it
	ReasonUnknown Reason = "not settled"       // its caller was told to ask again, and no entry says more
	ReasonHandIn  Reason = "slow hand-in"      // it was stored late
	ReasonOwner   Reason = "pool in hand-over" // its pool had no loaded owner for a while after it came
	ReasonLost    Reason = "run lost"          // a run of it ended otherwise than done
	ReasonRoom    Reason = "no room"           // a task of it waited for room
	ReasonWork    Reason = "its own work"      // none of these: runs took longer than estimated, or waited for their ends
)

const (
	// slowHandIn and longWait: a job's slack is 0.6 s and a part of its work.
	slowHandIn = 500 * time.Millisecond
	longWait   = 400 * time.Millisecond
)

// line is what the product logs, as far as it is needed here.
type line struct {
	Message string        `json:"msg"`
	Job     string        `json:"job"`
	Pool    string        `json:"pool"`
	Took    time.Duration `json:"took"`
	Waited  time.Duration `json:"waited"`
	End     string        `json:"end"`
	Late    bool          `json:"late"`
	at      float64       // seconds, before the line
}

// story is what became of one job.
type story struct {
	pool                    string
	came, gone              float64
	stored, completed, late bool
	refused, unsettled      bool
	cancelled, slow, lost   bool
	waited                  time.Duration
}

// gap is a time in which a pool had no loaded owner.
type gap struct {
	pool     string
	from, to float64
}

// Reasons reads the log of all entries and counts by pool why jobs were late or lost.
func Reasons(r io.Reader) (map[string]map[Reason]int, error) {
	stories := make(map[string]*story)
	left := make(map[string]float64)
	var gaps []gap
	in := bufio.NewScanner(r)
	in.Buffer(nil, 1<<20)
	for in.Scan() {
		l, ok := parse(in.Text())
		if !ok {
			continue
		}
		switch l.Message {
		case "pool left", "holder gone", "holder silent":
			if _, known := left[l.Pool]; !known {
				left[l.Pool] = l.at
			}
		case "pool loaded":
			if from, known := left[l.Pool]; known {
				gaps = append(gaps, gap{l.Pool, from, l.at})
				delete(left, l.Pool)
			}
		}
		if l.Job != "" {
			tell(stories, &l)
		}
	}
	counts := make(map[string]map[Reason]int)
	for _, s := range stories {
		if reason := s.reason(gaps); reason != "" {
			if counts[s.pool] == nil {
				counts[s.pool] = make(map[Reason]int)
			}
			counts[s.pool][reason]++
		}
	}
	return counts, eris.Wrap(in.Err(), "log")
}

// parse reads "SECONDS NAME {…}".
func parse(text string) (line, bool) {
	var l line
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return l, false
	}
	if _, err := fmt.Sscan(text[:start], &l.at); err != nil {
		return l, false
	}
	return l, json.Unmarshal([]byte(text[start:]), &l) == nil
}

func tell(stories map[string]*story, l *line) {
	s := stories[l.Job]
	if s == nil {
		s = &story{came: l.at}
		stories[l.Job] = s
	}
	if l.Pool != "" {
		s.pool = l.Pool
	}
	s.gone = l.at
	switch l.Message {
	case "job accepted", "job relayed", "job known", "job adopted":
		s.stored = true
		s.slow = s.slow || l.Message != "job adopted" && l.Took > slowHandIn
	case "job refused":
		s.refused = true
	case "job unsettled":
		s.unsettled = true
	case "job cancelled":
		s.cancelled = true
	case "run starts":
		s.waited = max(s.waited, l.Waited)
	case "run ended":
		s.lost = s.lost || l.End != "done"
	case "run vanished":
		s.lost = true
	case "job completed":
		s.completed, s.late = true, l.Late
	}
}

// reason is empty for a job that was in time, and for one that its caller has ended.
func (s *story) reason(gaps []gap) Reason {
	waitsForOwner := slices.ContainsFunc(gaps, func(g gap) bool {
		return g.pool == s.pool && g.to-g.from > longWait.Seconds() && s.came < g.to && s.gone > g.from
	})
	switch {
	case s.cancelled || s.completed && !s.late:
		return ""
	case !s.stored && s.refused:
		return ReasonRefused
	case !s.stored && s.unsettled:
		return ReasonUnknown
	case !s.completed && s.waited == 0 && !s.lost:
		return "" // a lasting or timed job, or one of the last seconds
	case s.slow:
		return ReasonHandIn
	case waitsForOwner:
		return ReasonOwner
	case s.lost:
		return ReasonLost
	case s.waited > longWait:
		return ReasonRoom
	default:
		return ReasonWork
	}
}

// ReasonTable prints counts by pool, and in all.
func ReasonTable(counts map[string]map[Reason]int) string {
	all := []Reason{ReasonRefused, ReasonUnknown, ReasonHandIn, ReasonOwner, ReasonLost, ReasonRoom, ReasonWork}
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprint(w, "pool")
	for _, r := range all {
		_, _ = fmt.Fprint(w, "\t", r)
	}
	_, _ = fmt.Fprintln(w)
	sum := make(map[Reason]int)
	pools := make([]string, 0, len(counts))
	for p, c := range counts {
		pools = append(pools, p)
		for r, n := range c {
			sum[r] += n
		}
	}
	slices.Sort(pools)
	counts["all"] = sum
	for _, p := range append(pools, "all") {
		_, _ = fmt.Fprint(w, p)
		for _, r := range all {
			_, _ = fmt.Fprint(w, "\t", counts[p][r])
		}
		_, _ = fmt.Fprintln(w)
	}
	_ = w.Flush()
	return b.String()
}
