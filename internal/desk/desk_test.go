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

// Symptom: a repeat waits until its deadline, a minute, while the pool is idle,
// and what comes after it waits too.
// Sequence: the entry holds slots of one host only; a request fails there; its
// repeat may not go to the same host, and no other slots are asked for since
// some are idle.
// Cause: counting idle slots for requests that can't use them.
func TestRepeatAsksForSlotsOfOtherHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := desk.New(desk.Config{
			Pool: "p", Name: "e", Length: 10, Clock: time.Now,
			Random: rand.New(rand.NewPCG(1, 1)), Kick: func() {},
		})
		d.Set(gauge.Hosts{{ID: "a", Rack: "a"}, {ID: "b", Rack: "b"}}, 1)
		deadline := time.Now().Add(time.Minute)
		got := make(chan string, 2)
		acquire := func(earlier gauge.Attempts) {
			p, err := d.Acquire(context.Background(), gauge.ClassQuick, deadline, earlier)
			assert.Check(t, err)
			got <- p.Target.Host
		}
		go acquire(gauge.Attempts{{Target: gauge.Target{Host: "a", Rack: "a"}, Sent: true}})
		synctest.Wait()
		first, ok := d.Renew()
		assert.Assert(t, ok)
		d.Grant(slots.Grant{Pool: "p", Seq: first.Seq, Full: true, Term: time.Minute, Free: 4, Lots: []slots.Lot{{Host: "a", Quick: 4}}}) // more than the reserve
		go acquire(nil)
		assert.Equal(t, <-got, "a", "what comes after the repeat goes on")
		again, ok := d.Ask()
		assert.Assert(t, ok && again.Quick > 0, "slots of other hosts are asked for: %+v", again)
		d.Grant(slots.Grant{Pool: "p", Seq: again.Seq, Free: 4, Lots: []slots.Lot{{Host: "b", Quick: 1}}})
		assert.Equal(t, <-got, "b")
	})
}

// A request that can't be had a place for is refused at its deadline at the
// latest, as not run, with a time to ask again.
func TestRefusedAtTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := desk.New(desk.Config{
			Pool: "p", Name: "e", Length: 1, Clock: time.Now,
			Random: rand.New(rand.NewPCG(1, 1)), Kick: func() {},
		})
		_, err := d.Acquire(context.Background(), gauge.ClassQuick, time.Now(), nil)
		assert.Equal(t, gauge.KindOf(err), gauge.KindEmpty)
		d.Set(gauge.Hosts{{ID: "a"}}, 1)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		began := time.Now()
		_, err = d.Acquire(ctx, gauge.ClassQuick, began.Add(time.Second), nil)
		assert.Equal(t, gauge.KindOf(err), gauge.KindFull)
		assert.Equal(t, gauge.AsError(err).Ran(), gauge.RanNo)
		assert.Assert(t, gauge.AsError(err).Retry > 0)
		assert.Equal(t, time.Since(began), time.Second)
	})
}
