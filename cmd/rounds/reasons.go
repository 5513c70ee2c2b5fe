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

// Reason is why a job was late or lost. If several apply, the first one listed counts.
type Reason string

// The reasons, in order of precedence; their values are column headers.
const (
	ReasonRefused    Reason = "refused"           // no entry accepted it
	ReasonUnsettled  Reason = "not settled"       // its client was told to retry, and the log has nothing more on it
	ReasonSubmission Reason = "slow hand-in"      // it was stored late
	ReasonNoOwner    Reason = "pool in hand-over" // its pool had no owner with loaded state for a while after its submission
	ReasonLost       Reason = "run lost"          // one of its runs ended in another way than done, or vanished
	ReasonRoom       Reason = "no room"           // one of its tasks waited for room on a worker
	ReasonWork       Reason = "its own work"      // none of these: runs took longer than estimated, or their ends were recorded late
)

const (
	// Delays above these count as reasons: the slack of a job's objective is 0.6 s plus a share of
	// its work.
	slowSubmission = 500 * time.Millisecond
	longDelay      = 400 * time.Millisecond
)

// logLine holds the fields of a line of an entry's log that are used here.
type logLine struct {
	Message string        `json:"msg"`
	Job     string        `json:"job"`
	Pool    string        `json:"pool"`
	Took    time.Duration `json:"took"`
	Waited  time.Duration `json:"waited"`
	End     string        `json:"end"`
	Late    bool          `json:"late"`
	at      float64       // seconds, from the prefix of the line
}

// jobHistory is the history of one job, from the log.
type jobHistory struct {
	pool                             string
	firstSeen, lastSeen              float64
	stored, completed, completedLate bool
	refused, unsettled               bool
	cancelled, storedLate, runLost   bool
	waited                           time.Duration
}

// ownerGap is a period in which a pool had no owner with loaded state, in seconds.
type ownerGap struct {
	pool     string
	from, to float64
}

// Reasons reads the merged log of all entries and counts by pool why jobs were late or lost.
func Reasons(r io.Reader) (map[string]map[Reason]int, error) {
	histories := make(map[string]*jobHistory)
	ownerless := make(map[string]float64)
	var gaps []ownerGap
	in := bufio.NewScanner(r)
	in.Buffer(nil, 1<<20)
	for in.Scan() {
		l, ok := parseLine(in.Text())
		if !ok {
			continue
		}
		switch l.Message {
		case "pool left", "holder gone", "holder silent":
			if _, known := ownerless[l.Pool]; !known {
				ownerless[l.Pool] = l.at
			}
		case "pool loaded":
			if from, known := ownerless[l.Pool]; known {
				gaps = append(gaps, ownerGap{l.Pool, from, l.at})
				delete(ownerless, l.Pool)
			}
		}
		if l.Job != "" {
			recordLine(histories, &l)
		}
	}
	counts := make(map[string]map[Reason]int)
	for _, h := range histories {
		if reason := h.reason(gaps); reason != "" {
			if counts[h.pool] == nil {
				counts[h.pool] = make(map[Reason]int)
			}
			counts[h.pool][reason]++
		}
	}
	return counts, eris.Wrap(in.Err(), "log")
}

// parseLine reads a line of the form "SECONDS NAME {JSON}" and reports whether it has that form.
func parseLine(text string) (logLine, bool) {
	var l logLine
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return l, false
	}
	if _, err := fmt.Sscan(text[:start], &l.at); err != nil {
		return l, false
	}
	return l, json.Unmarshal([]byte(text[start:]), &l) == nil
}

// recordLine updates the history of the line's job.
func recordLine(histories map[string]*jobHistory, l *logLine) {
	h := histories[l.Job]
	if h == nil {
		h = &jobHistory{firstSeen: l.at}
		histories[l.Job] = h
	}
	if l.Pool != "" {
		h.pool = l.Pool
	}
	h.lastSeen = l.at
	switch l.Message {
	case "job accepted", "job relayed", "job known", "job adopted":
		h.stored = true
		h.storedLate = h.storedLate || l.Message != "job adopted" && l.Took > slowSubmission
	case "job refused", "job refused for room", "job refused for share":
		h.refused = true
	case "job unsettled":
		h.unsettled = true
	case "job cancelled":
		h.cancelled = true
	case "run starts":
		h.waited = max(h.waited, l.Waited)
	case "run ended":
		h.runLost = h.runLost || l.End != "done"
	case "run vanished":
		h.runLost = true
	case "job completed":
		h.completed, h.completedLate = true, l.Late
	}
}

// reason returns why the job was late or lost. It is empty for a job that met its objective and for
// one that its client cancelled.
func (h *jobHistory) reason(gaps []ownerGap) Reason {
	waitsForOwner := slices.ContainsFunc(gaps, func(g ownerGap) bool {
		return g.pool == h.pool && g.to-g.from > longDelay.Seconds() && h.firstSeen < g.to && h.lastSeen > g.from
	})
	switch {
	case h.cancelled || h.completed && !h.completedLate:
		return ""
	case !h.stored && h.refused:
		return ReasonRefused
	case !h.stored && h.unsettled:
		return ReasonUnsettled
	case !h.completed && h.waited == 0 && !h.runLost:
		return "" // a long-running or scheduled job, or one submitted in the last seconds
	case h.storedLate:
		return ReasonSubmission
	case waitsForOwner:
		return ReasonNoOwner
	case h.runLost:
		return ReasonLost
	case h.waited > longDelay:
		return ReasonRoom
	default:
		return ReasonWork
	}
}

// ReasonTable formats the counts by pool and their sums as a table.
func ReasonTable(counts map[string]map[Reason]int) string {
	all := []Reason{ReasonRefused, ReasonUnsettled, ReasonSubmission, ReasonNoOwner, ReasonLost, ReasonRoom, ReasonWork}
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
