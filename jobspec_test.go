package sapphiregauge_test

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
)

// Guards against an owner that runs out of memory: a job has many steps, each with as many tasks as a
// step may have.
func TestTasksOfAllStepsAreBounded(t *testing.T) {
	for _, tt := range []struct {
		name         string
		steps, tasks int
		want         string
	}{
		{"one step", 1, gauge.MaxTasks, ""},
		{"one step too wide", 1, gauge.MaxTasks + 1, "steps[0].count: is 4097, must be 1 to 4096"},
		{"all steps", gauge.MaxSteps, gauge.MaxTasks / gauge.MaxSteps, ""},
		{"one task too many", 2, gauge.MaxTasks/2 + 1, "steps: have 4098 tasks together, the bound is 4096"},
		{"all as wide as a step may be", gauge.MaxSteps, gauge.MaxTasks, "steps: have 262144 tasks together, the bound is 4096"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			spec := &gauge.JobSpec{Steps: slices.Repeat([]gauge.Step{{Count: tt.tasks}}, tt.steps)}
			err := spec.Validate().Err()
			if tt.want == "" {
				assert.NilError(t, err)
				return
			}
			assert.Error(t, err, "invalid: "+tt.want)
		})
	}
}
