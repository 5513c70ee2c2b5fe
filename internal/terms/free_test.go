package terms_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/terms"
)

// Guards against a lease that nobody takes: its holder and all other holders have died, and the
// other entries, which look at the lease now and then, take it for renewed.
func TestLeaseThatIsNotRenewedMayBeFree(t *testing.T) {
	const second = time.Second
	renewed := gauge.LeaseRow{Holder: "other", Addr: "10.0.0.1:1", RenewedAt: 10_000}
	holder := gauge.HolderRow{Holder: "other", Addr: "10.0.0.1:1"}
	for _, tt := range []struct {
		name string
		read func(v *terms.LeaseView)
		now  time.Duration
		want bool
	}{
		{"no row", func(*terms.LeaseView) {}, second, false},
		{"given up", func(v *terms.LeaseView) { v.SetLease("p", gauge.LeaseRow{}, 5, second, 10_100) }, second, true},
		{"renewed just before", func(v *terms.LeaseView) { v.SetLease("p", renewed, 5, second, 10_900) }, second, false},
		{"not renewed for long", func(v *terms.LeaseView) { v.SetLease("p", renewed, 5, second, 11_400) }, second, true},
		{"unchanged at the second look", func(v *terms.LeaseView) {
			v.SetLease("p", renewed, 5, second, 10_900)
			v.SetLease("p", renewed, 5, 2*second, 11_900)
		}, 2 * second, true},
		{"renewed at the second look", func(v *terms.LeaseView) {
			v.SetLease("p", renewed, 5, second, 10_900)
			v.SetLease("p", gauge.LeaseRow{Holder: "other", Addr: "10.0.0.1:1", RenewedAt: 11_800}, 6, 2*second, 11_900)
		}, 2 * second, false},
		{"never renewed since the claim", func(v *terms.LeaseView) {
			v.SetLease("p", holder.LeaseRow(), 5, second, 10_000)
			v.SetLease("p", renewed, 5, 3*second, 12_000)
		}, 3 * second, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			v := terms.New(terms.Config{Holder: "me", Addr: "10.0.0.9:1", LeaseDuration: leaseDuration, ProbeAfter: second})
			tt.read(v)
			assert.Equal(t, v.MayBeFree("p", tt.now), tt.want)
		})
	}
}

// The depths of a pool aren't known from the row that only says who its owner is.
func TestHolderRowTellsNoDepths(t *testing.T) {
	row := (&gauge.HolderRow{Holder: "other", Addr: "10.0.0.1:1", Term: 2}).LeaseRow()
	assert.Assert(t, row.CountedAt() < 0, "older than any count")
	assert.Equal(t, row.Term, 2)
}
