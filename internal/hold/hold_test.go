package hold_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/hold"
	"sapphiregauge/internal/slots"
)

func targets(hosts ...string) map[string]gauge.Target {
	out := make(map[string]gauge.Target)
	for _, h := range hosts {
		out[h] = gauge.Target{Host: h, Rack: "rack of " + h}
	}
	return out
}

// leased returns a Holder with a lease of three seconds from now.
func leased(now time.Time, lots ...slots.Lot) *hold.Holder {
	h := hold.New(hold.Config{Name: "e", Pool: "p"})
	h.Set(targets("a", "b", "c"))
	h.Full(now, 1, 0)
	h.Grant(slots.Grant{Seq: 1, Full: true, Term: 3 * time.Second, Lots: lots, Free: 8})
	return h
}

// Symptom: a worker is overfull for a moment after a slow answer or a pause.
// Sequence: an ask is sent, its answer comes two seconds later, the holder goes
// on for a full term from then.
// Cause: a lease that counts from the answer outlives the owner's.
func TestLeaseCountsFromBeforeTheAsk(t *testing.T) {
	began := time.Unix(1000, 0)
	h := leased(began, slots.Lot{Host: "a", Quick: 2}) // whenever the answer came
	_, ok := h.Take(began.Add(2999*time.Millisecond), gauge.ClassQuick, nil, nil)
	assert.Assert(t, ok)
	_, ok = h.Take(began.Add(3*time.Second), gauge.ClassQuick, nil, nil)
	assert.Assert(t, !ok)
}

// Symptom: a leaving target gets new work.
// Sequence: a slot of it is held idle when the host begins to leave.
// Cause: a holder that looks only at its slots.
func TestLeavingHostGetsNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	h := leased(now, slots.Lot{Host: "a", Quick: 2})
	h.Set(targets("b"))
	_, ok := h.Take(now, gauge.ClassQuick, nil, nil)
	assert.Assert(t, !ok)
	a, ok := h.Change(now, 0, 0)
	assert.Assert(t, ok)
	assert.DeepEqual(t, a.Have, []slots.Lot{{Host: "a", Quick: 2}})
}

// A repeat goes to another host, and to another rack where there is one.
func TestRepeatAvoidsHostAndRack(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, tt := range []struct {
		name  string
		racks map[string]string
		want  string
	}{
		{"another rack", map[string]string{"a": "r1", "b": "r1", "c": "r2"}, "c"},
		{"same rack if there is no other", map[string]string{"a": "r1", "b": "r1"}, "b"},
		{"never the same host", map[string]string{"a": "r1"}, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := leased(now, slots.Lot{Host: "a", Quick: 4}, slots.Lot{Host: "b", Quick: 3}, slots.Lot{Host: "c", Quick: 1})
			set := make(map[string]gauge.Target)
			for host, rack := range tt.racks {
				set[host] = gauge.Target{Host: host, Rack: rack}
			}
			h.Set(set)
			earlier := gauge.Attempts{{Target: gauge.Target{Host: "a", Rack: "r1"}}}
			p, ok := h.Take(now, gauge.ClassQuick, earlier, nil)
			assert.Equal(t, ok, tt.want != "")
			if ok {
				assert.Equal(t, p.Target.Host, tt.want)
			}
		})
	}
}
