package desk_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/desk"
	"sapphiregauge/internal/slots"
)

// Guards against a retry that waits until its deadline, a minute, while the pool is idle, with all
// later requests waiting behind it. The entry holds slots of one host only, a request fails there,
// and its retry may not go to the same host; the idle slots must not count as usable by it, or no
// other slots would be requested.
func TestRetryRequestsSlotsOfOtherHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := desk.New(desk.Config{
			Pool: "p", Holder: "e", MaxWaiting: 10, Clock: time.Now,
			Random: rand.New(rand.NewPCG(1, 1)), RequestSoon: func() {},
		})
		a.SetHosts(gauge.Hosts{{ID: "a", Rack: "a"}, {ID: "b", Rack: "b"}}, 1)
		deadline := time.Now().Add(time.Minute)
		got := make(chan string, 2)
		acquire := func(earlier gauge.Attempts) {
			slot, err := a.Acquire(context.Background(), gauge.ClassQuick, deadline, earlier)
			assert.Check(t, err)
			got <- slot.Target.Host
		}
		go acquire(gauge.Attempts{{Target: gauge.Target{Host: "a", Rack: "a"}, Sent: true}})
		synctest.Wait()
		first, ok := a.RenewRequest()
		assert.Assert(t, ok)
		a.ApplyGrant(slots.Grant{Pool: "p", Seq: first.Seq, Full: true, LeaseDuration: time.Minute, MaxIdle: 4, Slots: []slots.HostSlots{{Host: "a", Quick: 4}}}) // more than the reserve
		go acquire(nil)
		assert.Equal(t, <-got, "a", "the request behind the retry goes first")
		next, ok := a.NextRequest()
		assert.Assert(t, ok && next.WantedQuick > 0, "slots of other hosts are asked for: %+v", next)
		a.ApplyGrant(slots.Grant{Pool: "p", Seq: next.Seq, MaxIdle: 4, Slots: []slots.HostSlots{{Host: "b", Quick: 1}}})
		assert.Equal(t, <-got, "b")
	})
}

// A request that gets no slot is refused at its deadline at the latest, as not run and with a time
// to retry after.
func TestRefusedAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := desk.New(desk.Config{
			Pool: "p", Holder: "e", MaxWaiting: 1, Clock: time.Now,
			Random: rand.New(rand.NewPCG(1, 1)), RequestSoon: func() {},
		})
		_, err := a.Acquire(context.Background(), gauge.ClassQuick, time.Now(), nil)
		assert.Equal(t, gauge.KindOf(err), gauge.KindNoWorker)
		a.SetHosts(gauge.Hosts{{ID: "a"}}, 1)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		began := time.Now()
		_, err = a.Acquire(ctx, gauge.ClassQuick, began.Add(time.Second), nil)
		assert.Equal(t, gauge.KindOf(err), gauge.KindNoSlot)
		assert.Equal(t, gauge.AsError(err).Ran(), gauge.RanNo)
		assert.Assert(t, gauge.AsError(err).RetryAfter > 0)
		assert.Equal(t, time.Since(began), time.Second)
	})
}
