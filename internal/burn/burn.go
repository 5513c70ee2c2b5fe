// Package burn counts good and bad answers by service and minute, and works out
// how fast each service burns its error budget. Entries' counts can be added up.
package burn

import (
	"slices"
	"sync"

	gauge "sapphiregauge"
)

// Minutes is how far back the counts go.
const Minutes = 6 * 60

// Count is the answers of one minute.
type Count struct {
	Good uint32 `msgpack:"g" json:"good"`
	Bad  uint32 `msgpack:"b" json:"bad"`
}

// Series is a service's counts, the newest minute last.
type Series struct {
	Service string  `msgpack:"s" json:"service"`
	Minute  int64   `msgpack:"m" json:"minute"` // of the newest, since 1970
	Counts  []Count `msgpack:"c" json:"counts"`
}

// Book keeps the counts of this entry. Safe for concurrent use.
type Book struct {
	clock gauge.Clock

	mu       sync.Mutex
	services map[string]*ring
}

type ring struct {
	minute int64 // of the newest
	counts [Minutes]Count
}

// New makes an empty Book.
func New(clock gauge.Clock) *Book {
	return &Book{clock: clock, services: make(map[string]*ring)}
}

// Bad tells whether an answer of a kind is one that the service owes its
// callers better. What the caller did wrong, or gave up, does not count.
func Bad(k gauge.Kind) bool {
	switch k {
	case gauge.KindFull, gauge.KindEmpty, gauge.KindOutage, gauge.KindUnready, gauge.KindDraining,
		gauge.KindExpired, gauge.KindUnknown, gauge.KindPoison, gauge.KindFailed, gauge.KindInternal:
		return true
	default:
		return false
	}
}

// Note counts one answer; err is nil for a good one.
func (b *Book) Note(service string, err error) {
	bad := err != nil && Bad(gauge.KindOf(err))
	if err != nil && !bad {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.services[service]
	if r == nil {
		r = &ring{}
		b.services[service] = r
	}
	c := r.at(b.minute())
	if bad {
		c.Bad++
		return
	}
	c.Good++
}

func (b *Book) minute() int64 { return b.clock().Unix() / 60 }

// at returns a minute's count; the minutes that have passed since the newest
// are emptied.
func (r *ring) at(minute int64) *Count {
	for ; r.minute < minute; r.minute++ {
		if minute-r.minute > Minutes {
			r.minute = minute - Minutes
		}
		r.counts[(r.minute+1)%Minutes] = Count{}
	}
	return &r.counts[minute%Minutes]
}

// Series returns the counts of all services, up to this minute.
func (b *Book) Series() []Series {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.minute()
	var out []Series
	for name, r := range b.services {
		r.at(now)
		s := Series{Service: name, Minute: now, Counts: make([]Count, Minutes)}
		for i := range s.Counts {
			s.Counts[i] = r.counts[(now-int64(Minutes-1-i)+Minutes)%Minutes]
		}
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b Series) int { return compare(a.Service, b.Service) })
	return out
}

func compare(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// Sum adds entries' series up, minute by minute. A series whose clock is a few
// minutes off is shifted; what lies outside the window is left out.
func Sum(all ...[]Series) []Series {
	var newest int64
	for _, list := range all {
		for _, s := range list {
			newest = max(newest, s.Minute)
		}
	}
	byName := make(map[string]*Series)
	for _, list := range all {
		for _, s := range list {
			t := byName[s.Service]
			if t == nil {
				t = &Series{Service: s.Service, Minute: newest, Counts: make([]Count, Minutes)}
				byName[s.Service] = t
			}
			t.add(s)
		}
	}
	out := make([]Series, 0, len(byName))
	for _, s := range byName {
		out = append(out, *s)
	}
	slices.SortFunc(out, func(a, b Series) int { return compare(a.Service, b.Service) })
	return out
}

func (s *Series) add(o Series) {
	shift := int(s.Minute-o.Minute) + len(o.Counts) - len(s.Counts)
	for i, c := range o.Counts {
		if at := i - shift; at >= 0 && at < len(s.Counts) {
			s.Counts[at].Good += c.Good
			s.Counts[at].Bad += c.Bad
		}
	}
}

// Rate is the burn rate over the last minutes: 1 uses the budget up exactly
// over the objective's period.
func (s Series) Rate(minutes int, objective float64) float64 {
	var good, bad uint64
	for _, c := range s.Counts[max(0, len(s.Counts)-minutes):] {
		good += uint64(c.Good)
		bad += uint64(c.Bad)
	}
	if good+bad == 0 {
		return 0
	}
	return float64(bad) / float64(good+bad) / (1 - objective)
}

// The windows, in minutes, and the rates over which an alert is raised in both
// windows of a pair. Source: the multi-window alerts of Google's "The Site
// Reliability Workbook", chapter 5, for a period of 30 days.
const (
	PageShort   = 5
	PageLong    = 60
	TicketShort = 30
	TicketLong  = 360
	PageRate    = 14.4
	TicketRate  = 6
)

// Line is one service's part of the report.
type Line struct {
	Service   string  `json:"service"`
	Pool      string  `json:"pool"`
	Objective float64 `json:"objective"`
	Rate5m    float64 `json:"rate5m"`
	Rate30m   float64 `json:"rate30m"`
	Rate1h    float64 `json:"rate1h"`
	Rate6h    float64 `json:"rate6h"`
	Alert     Alert   `json:"alert"`
	Counts    []Count `json:"counts"`
	Minute    int64   `json:"minute"`
}

// Alert is how urgent a service's burn is.
type Alert string

// The alerts.
const (
	AlertNone   Alert = "none"
	AlertTicket Alert = "ticket"
	AlertPage   Alert = "page"
)

// Report works the lines out for the services of a state.
func Report(s gauge.State, series []Series) []Line {
	var out []Line
	for _, one := range series {
		svc := s.Service(one.Service)
		if svc == nil || s.Pool(svc.Pool) == nil {
			continue
		}
		out = append(out, line(one, svc.Pool, s.Pool(svc.Pool).Objective))
	}
	return out
}

func line(s Series, pool string, objective float64) Line {
	l := Line{
		Service: s.Service, Pool: pool, Objective: objective, Counts: s.Counts, Minute: s.Minute,
		Rate5m: s.Rate(PageShort, objective), Rate30m: s.Rate(TicketShort, objective),
		Rate1h: s.Rate(PageLong, objective), Rate6h: s.Rate(TicketLong, objective), Alert: AlertNone,
	}
	switch {
	case l.Rate5m > PageRate && l.Rate1h > PageRate:
		l.Alert = AlertPage
	case l.Rate30m > TicketRate && l.Rate6h > TicketRate:
		l.Alert = AlertTicket
	}
	return l
}
