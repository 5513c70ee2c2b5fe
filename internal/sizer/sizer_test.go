package sizer_test

import (
	"testing"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/sizer"
)

// Guards against quick requests that wait although slots are reserved for them: a team declares
// its long requests as quick, and the declared class is trusted.
func TestMisdeclaredRequestsAreTreatedAsLong(t *testing.T) {
	s := sizer.New()
	for range 20 {
		s.RecordEnd("desk", "liar", true)
		s.RecordEnd("desk", "honest", false)
	}
	assert.Equal(t, s.Class("desk", "liar", gauge.ClassQuick), gauge.ClassLong)
	assert.Equal(t, s.Class("desk", "honest", gauge.ClassQuick), gauge.ClassQuick)
	assert.Equal(t, s.Class("other", "liar", gauge.ClassQuick), gauge.ClassQuick)
	for range 20 {
		s.RecordEnd("desk", "liar", false)
	}
	assert.Equal(t, s.Class("desk", "liar", gauge.ClassQuick), gauge.ClassQuick, "the declared class is used again")
}
