package sapphiregauge_test

import (
	"testing"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
)

// Guards against a name in a row being read as that of another worker or another incarnation.
func TestIncarnationNameRoundTrip(t *testing.T) {
	for _, tt := range []struct {
		name        string
		incarnation gauge.Incarnation
		text        string
	}{
		{"with a start time", gauge.Incarnation{Worker: "i-1", StartedAt: 1700000000000}, "i-1@1700000000000"},
		{"without a start time", gauge.Incarnation{Worker: "i-1"}, "i-1"},
		{"a separator in the ID", gauge.Incarnation{Worker: "a@b", StartedAt: 7}, "a@b@7"},
		{"a separator and no start time", gauge.Incarnation{Worker: "a@b"}, "a@b"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, tt.incarnation.String(), tt.text)
			assert.Equal(t, gauge.ParseIncarnation(tt.text), tt.incarnation)
		})
	}
}

// Guards against an incarnation being taken for dead because of another worker's, or of an earlier
// one.
func TestIncarnationIsOverOnceALaterOneIsKnown(t *testing.T) {
	first, second := gauge.Incarnation{Worker: "i-1", StartedAt: 5}, gauge.Incarnation{Worker: "i-1", StartedAt: 6}
	assert.Assert(t, first.IsBefore(second))
	assert.Assert(t, !second.IsBefore(first))
	assert.Assert(t, !first.IsBefore(first))
	assert.Assert(t, gauge.Incarnation{Worker: "i-1"}.IsBefore(first))
	assert.Assert(t, !first.IsBefore(gauge.Incarnation{Worker: "i-2", StartedAt: 6}))
}
