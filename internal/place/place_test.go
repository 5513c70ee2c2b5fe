package place_test

import (
	"testing"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/place"
)

// Guards against a job that waits for ever without notice: an operator declares a job for which
// no host is large enough, and it is treated like one that only waits for capacity.
func TestUnplaceableJobsAreListed(t *testing.T) {
	for _, tt := range []struct {
		name string
		job  gauge.Job
		want []string
	}{
		{"fits", gauge.Job{Cores: 16, Memory: 32}, nil},
		{"fits another kind of host", gauge.Job{Accels: 4}, nil},
		{"too much memory", gauge.Job{Memory: 65}, []string{"job/j can never run: memory: it needs 65, the largest host for pool/p has 64"}},
		{"each fits, not together", gauge.Job{Memory: 64, Accels: 4}, []string{"job/j can never run: no host for pool/p has cores, memory and accels together"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			job := tt.job
			job.Pool = "p"
			s := gauge.State{
				ByHost: map[string]gauge.Host{
					"a": {ID: "a", Cores: 16, Memory: 64}, "b": {ID: "b", Cores: 16, Memory: 32, Accels: 4},
				},
				Records: map[gauge.RecordID]gauge.Record{
					{Kind: gauge.RecordPool, Name: "p"}: {Pool: &gauge.Pool{}},
					{Kind: gauge.RecordJob, Name: "j"}:  {Job: &job},
				},
			}
			assert.DeepEqual(t, place.New().Unplaceable(s), tt.want)
		})
	}
}
