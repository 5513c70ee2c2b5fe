package slots

import (
	"slices"
	"time"
)

// unconfirmedSlots are slots of a holder whose lease expired: a request that it started may still
// be running there.
type unconfirmedSlots struct {
	host      string
	holder    string
	slots     int
	expiredAt time.Time
	until     time.Time
}

// markUnreported marks as unconfirmed all slots that no holder has reported by the end of the first
// lease duration. An entry that held slots under the previous owner and has died, often that owner
// itself, may have started requests that still run.
func (o *Owner) markUnreported(now time.Time) {
	end := o.conf.OwnerSince.Add(o.conf.LeaseDuration)
	if o.firstLeaseOver || now.Before(end) {
		return
	}
	o.firstLeaseOver = true
	for _, r := range o.fleet.Hosts {
		if n := r.Slots - o.leased[r.Host].total(); n > 0 {
			o.unconfirmed = append(o.unconfirmed, unconfirmedSlots{
				host: r.Host, slots: n, expiredAt: end, until: end.Add(o.conf.MaxRunTime),
			})
		}
	}
}

// expireLeases takes back the leases that expired. Requests started under them may still run, so
// the slots stay unconfirmed for the longest run of a request, or until the platform reports fewer
// slots of the worker in use.
func (o *Owner) expireLeases(now time.Time) {
	for name, h := range o.holders {
		if now.Before(h.expires) {
			continue
		}
		for host, t := range h.byHost {
			o.unconfirmed = append(o.unconfirmed, unconfirmedSlots{
				host: host, holder: name, slots: t.total(),
				expiredAt: now, until: now.Add(o.conf.MaxRunTime),
			})
		}
		o.clearLeases(h)
		delete(o.holders, name)
	}
	o.unconfirmed = slices.DeleteFunc(o.unconfirmed, func(u unconfirmedSlots) bool { return !now.Before(u.until) })
}

// clearUnconfirmed drops the unconfirmed slots of a holder that requests slots again: its request
// names those that it still uses.
func (o *Owner) clearUnconfirmed(holder string) {
	o.unconfirmed = slices.DeleteFunc(o.unconfirmed, func(u unconfirmedSlots) bool { return u.holder == holder })
}

// ObserveUsage records how many slots of a host were in use at a given time, as reported by the
// platform. Of the slots that became unconfirmed before that time, no more can still be in use.
func (o *Owner) ObserveUsage(host string, used int, at time.Time) {
	for i := range o.unconfirmed {
		u := &o.unconfirmed[i]
		if u.host != host || !u.expiredAt.Before(at) {
			continue
		}
		u.slots = min(u.slots, used)
		used -= u.slots
	}
	o.unconfirmed = slices.DeleteFunc(o.unconfirmed, func(u unconfirmedSlots) bool { return u.slots == 0 })
}

func (o *Owner) unconfirmedAt(host string) int {
	n := 0
	for _, u := range o.unconfirmed {
		if u.host == host {
			n += u.slots
		}
	}
	return n
}
