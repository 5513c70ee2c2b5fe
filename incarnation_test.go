package sapphiregauge_test

import (
	"testing"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
)

// A name in a row that is read as another worker's, or another life's.
func TestLifeKeepsItsName(t *testing.T) {
	for _, tt := range []struct {
		name string
		life gauge.Life
		text string
	}{
		{"told", gauge.Life{Worker: "i-1", Born: 1700000000000}, "i-1@1700000000000"},
		{"not told", gauge.Life{Worker: "i-1"}, "i-1"},
		{"a mark in the id", gauge.Life{Worker: "a@b", Born: 7}, "a@b@7"},
		{"a mark and no number", gauge.Life{Worker: "a@b"}, "a@b"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, tt.life.String(), tt.text)
			assert.Equal(t, gauge.ParseLife(tt.text), tt.life)
		})
	}
}

// A life that is taken for over because of another worker's, or of one that came before it.
func TestLifeIsOverOnceALaterOneIsKnown(t *testing.T) {
	first, second := gauge.Life{Worker: "i-1", Born: 5}, gauge.Life{Worker: "i-1", Born: 6}
	assert.Assert(t, first.Before(second))
	assert.Assert(t, !second.Before(first))
	assert.Assert(t, !first.Before(first))
	assert.Assert(t, gauge.Life{Worker: "i-1"}.Before(first))
	assert.Assert(t, !first.Before(gauge.Life{Worker: "i-2", Born: 6}))
}
