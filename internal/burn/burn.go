// Package burn counts good and bad responses by service and minute, and computes how fast each
// service burns its error budget. The counts of several entries can be summed.
package burn

import (
	"slices"
	"sync"

	gauge "sapphiregauge"
)

// Minutes is the number of minutes for which counts are retained.
const Minutes = 6 * 60

// Count is the number of good and bad responses in one minute.
type Count struct {
	Good uint32 `msgpack:"g" json:"good"`
	Bad  uint32 `msgpack:"b" json:"bad"`
}

// Series is a service's counts, the newest minute last.
type Series struct {
	Service string  `msgpack:"s" json:"service"`
	Minute  int64   `msgpack:"m" json:"minute"` // the newest minute, in minutes since the Unix epoch (1970)
	Counts  []Count `msgpack:"c" json:"counts"`
}

// Recorder keeps the counts of this entry. It is safe for concurrent use.
type Recorder struct {
	clock gauge.Clock

	mu       sync.Mutex
	services map[string]*ring
}

// ring holds a service's counts by minute, modulo Minutes.
type ring struct {
	minute int64 // the newest minute
	counts [Minutes]Count
}

// New makes an empty Recorder.
func New(clock gauge.Clock) *Recorder {
	return &Recorder{clock: clock, services: make(map[string]*ring)}
}

// CountsAsBad reports whether a response with an error of this kind counts against the service's
// error budget. Faults of the caller and requests that the caller cancelled don't.
func CountsAsBad(k gauge.Kind) bool {
	switch k {
	case gauge.KindNoSlot, gauge.KindNoWorker, gauge.KindOutage, gauge.KindUnready, gauge.KindDraining,
		gauge.KindExpired, gauge.KindUnknown, gauge.KindPoison, gauge.KindFailed, gauge.KindInternal:
		return true
	default:
		return false
	}
}

// RecordResponse counts one response of a service; err is nil for a good one. Errors that aren't
// the service's fault aren't counted.
func (rc *Recorder) RecordResponse(service string, err error) {
	bad := err != nil && CountsAsBad(gauge.KindOf(err))
	if err != nil && !bad {
		return
	}
	rc.mu.Lock()
	defer rc.mu.Unlock()
	r := rc.services[service]
	if r == nil {
		r = &ring{}
		rc.services[service] = r
	}
	c := r.countAt(rc.minute())
	if bad {
		c.Bad++
		return
	}
	c.Good++
}

func (rc *Recorder) minute() int64 { return rc.clock().Unix() / 60 }

// countAt returns a minute's count and resets the counts of the minutes since the newest one.
func (r *ring) countAt(minute int64) *Count {
	for ; r.minute < minute; r.minute++ {
		if minute-r.minute > Minutes {
			r.minute = minute - Minutes
		}
		r.counts[(r.minute+1)%Minutes] = Count{}
	}
	return &r.counts[minute%Minutes]
}

// Series returns the counts of all services up to the current minute, sorted by service.
func (rc *Recorder) Series() []Series {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	now := rc.minute()
	var out []Series
	for name, r := range rc.services {
		r.countAt(now)
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

// Sum adds the entries' series, minute by minute, up to the newest minute of any entry. A series
// that ends earlier, as with a clock that is a few minutes off, is shifted accordingly; counts
// outside of the window are left out.
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

// Rate returns the burn rate over the last minutes: at 1, the error budget is used up exactly at
// the end of the objective's period. It is 0 if there were no responses.
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

// The windows of the alerts, in minutes, and their burn rates: an alert is raised if the rate is
// exceeded in both windows of a pair. Source: the multi-window alerts of Google's "The Site
// Reliability Workbook", chapter 5, for a period of 30 days.
const (
	PageShort   = 5
	PageLong    = 60
	TicketShort = 30
	TicketLong  = 360
	PageRate    = 14.4
	TicketRate  = 6
)

// ServiceReport is a service's row of the report: its burn rates over 5 and 30 minutes, 1 and 6
// hours, and the counts behind them.
type ServiceReport struct {
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

// Alert is the urgency of a service's burn rate.
type Alert string

// The alerts, by increasing urgency.
const (
	AlertNone   Alert = "none"
	AlertTicket Alert = "ticket"
	AlertPage   Alert = "page"
)

// Report computes the reports of the services that are configured in a state; series of other
// services are left out.
func Report(s gauge.State, series []Series) []ServiceReport {
	var out []ServiceReport
	for _, svcSeries := range series {
		svc := s.Service(svcSeries.Service)
		if svc == nil || s.Pool(svc.Pool) == nil {
			continue
		}
		out = append(out, newServiceReport(svcSeries, svc.Pool, s.Pool(svc.Pool).Objective))
	}
	return out
}

func newServiceReport(s Series, pool string, objective float64) ServiceReport {
	r := ServiceReport{
		Service: s.Service, Pool: pool, Objective: objective, Counts: s.Counts, Minute: s.Minute,
		Rate5m: s.Rate(PageShort, objective), Rate30m: s.Rate(TicketShort, objective),
		Rate1h: s.Rate(PageLong, objective), Rate6h: s.Rate(TicketLong, objective), Alert: AlertNone,
	}
	switch {
	case r.Rate5m > PageRate && r.Rate1h > PageRate:
		r.Alert = AlertPage
	case r.Rate30m > TicketRate && r.Rate6h > TicketRate:
		r.Alert = AlertTicket
	}
	return r
}
