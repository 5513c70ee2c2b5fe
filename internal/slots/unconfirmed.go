package slots

import (
	"slices"
	"time"
)

// doubt is slots of a holder that let its lease lapse: a request that it
// started may still be running there.
type doubt struct {
	host   string
	holder string
	slots  int
	lapsed time.Time
	until  time.Time
}

// settle puts in doubt what nobody has named by the end of the first term: an
// entry that held slots under the owner before and is gone, often that owner
// itself, may have requests running still.
func (o *Owner) settle(now time.Time) {
	end := o.conf.Start.Add(o.conf.Term)
	if o.settled || now.Before(end) {
		return
	}
	o.settled = true
	for _, r := range o.fleet.Hosts {
		if n := r.Slots - o.sums[r.Host].total(); n > 0 {
			o.doubts = append(o.doubts, doubt{
				host: r.Host, slots: n, lapsed: end, until: end.Add(o.conf.Limit),
			})
		}
	}
}

// lapse takes back the leases that ran out. What was started under them may
// run on, so the slots stay in doubt: for the longest run of a request, or
// until the platform reports the worker less used.
func (o *Owner) lapse(now time.Time) {
	for name, h := range o.holders {
		if now.Before(h.expires) {
			continue
		}
		for host, t := range h.lots {
			o.doubts = append(o.doubts, doubt{
				host: host, holder: name, slots: t.total(),
				lapsed: now, until: now.Add(o.conf.Limit),
			})
		}
		o.clear(h)
		delete(o.holders, name)
	}
	o.doubts = slices.DeleteFunc(o.doubts, func(d doubt) bool { return !now.Before(d.until) })
}

// forgive drops the doubts about a holder that is back: what it still uses it
// names itself.
func (o *Owner) forgive(holder string) {
	o.doubts = slices.DeleteFunc(o.doubts, func(d doubt) bool { return d.holder == holder })
}

// Seen takes in how many slots of a host the platform saw in use at a time.
// Slots in doubt before that time can't be more.
func (o *Owner) Seen(host string, used int, at time.Time) {
	for i := range o.doubts {
		d := &o.doubts[i]
		if d.host != host || !d.lapsed.Before(at) {
			continue
		}
		d.slots = min(d.slots, used)
		used -= d.slots
	}
	o.doubts = slices.DeleteFunc(o.doubts, func(d doubt) bool { return d.slots == 0 })
}

func (o *Owner) doubtful(host string) int {
	n := 0
	for _, d := range o.doubts {
		if d.host == host {
			n += d.slots
		}
	}
	return n
}
