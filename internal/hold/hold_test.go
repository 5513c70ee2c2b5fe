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
func leased(now time.Time, granted ...slots.HostSlots) *hold.Holder {
	h := hold.New(hold.Config{Name: "e", Pool: "p"})
	h.SetTargets(targets("a", "b", "c"))
	h.FullRequest(now, 1, 0)
	h.ApplyGrant(slots.Grant{Seq: 1, Full: true, LeaseDuration: 3 * time.Second, Slots: granted, MaxIdle: 8})
	return h
}

// Guards against a worker that is overfull for a moment after a slow answer or a pause. The answer
// to a request comes two seconds late; a lease that counted from the answer would outlive the
// owner's.
func TestLeaseCountsFromBeforeRequest(t *testing.T) {
	began := time.Unix(1000, 0)
	h := leased(began, slots.HostSlots{Host: "a", Quick: 2}) // whenever the answer came
	_, ok := h.Acquire(began.Add(2999*time.Millisecond), gauge.ClassQuick, nil, nil)
	assert.Assert(t, ok)
	_, ok = h.Acquire(began.Add(3*time.Second), gauge.ClassQuick, nil, nil)
	assert.Assert(t, !ok)
}

// Guards against a leaving target that gets new requests, because this entry had an idle slot on it
// when it began to leave.
func TestLeavingHostGetsNoRequests(t *testing.T) {
	now := time.Unix(1000, 0)
	h := leased(now, slots.HostSlots{Host: "a", Quick: 2})
	h.SetTargets(targets("b"))
	_, ok := h.Acquire(now, gauge.ClassQuick, nil, nil)
	assert.Assert(t, !ok)
	req, ok := h.DeltaRequest(now, 0, 0)
	assert.Assert(t, ok)
	assert.DeepEqual(t, req.Slots, []slots.HostSlots{{Host: "a", Quick: 2}})
}

// A retry goes to another host, and to another rack where there is one.
func TestRetryAvoidsHostAndRack(t *testing.T) {
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
			h := leased(now, slots.HostSlots{Host: "a", Quick: 4}, slots.HostSlots{Host: "b", Quick: 3}, slots.HostSlots{Host: "c", Quick: 1})
			set := make(map[string]gauge.Target)
			for host, rack := range tt.racks {
				set[host] = gauge.Target{Host: host, Rack: rack}
			}
			h.SetTargets(set)
			earlier := gauge.Attempts{{Target: gauge.Target{Host: "a", Rack: "r1"}}}
			slot, ok := h.Acquire(now, gauge.ClassQuick, earlier, nil)
			assert.Equal(t, ok, tt.want != "")
			if ok {
				assert.Equal(t, slot.Target.Host, tt.want)
			}
		})
	}
}
