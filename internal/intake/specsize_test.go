package intake_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
)

// Guards against a spec that the table refuses: it would be sent together with the jobs of other callers,
// and its own caller wouldn't learn what is wrong with it.
func TestSpecThatFitsNoRowIsRefusedAtOnce(t *testing.T) {
	for _, tt := range []struct {
		name  string
		image int // length of the step's image
		want  string
	}{
		{"fits", gauge.MaxSpecBytes - 1000, ""},
		{"too large", gauge.MaxSpecBytes, "steps: "},
	} {
		t.Run(tt.name, func(t *testing.T) {
			table := newTable()
			h := newHarness(table, new(clock))
			spec := &gauge.JobSpec{Steps: []gauge.Step{{Count: 1, Image: strings.Repeat("x", tt.image)}}}
			err := h.intake.Submit(t.Context(), &gauge.Queue{Name: "sheets", Pool: "brakes"}, id(1), spec)
			if tt.want == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, tt.want)
			assert.Equal(t, gauge.KindOf(err), gauge.KindInvalid)
			assert.Equal(t, len(table.txns), 0)
		})
	}
}
