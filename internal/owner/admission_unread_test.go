package owner_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/owner"
)

// Guards against refusals by an owner that doesn't know all jobs of its pool, or whose operator has
// switched admission control off. Refusals are counted by their reason.
func TestRefusalsNeedAllJobsAndTheMechanism(t *testing.T) {
	for _, tt := range []struct {
		name     string
		unread   bool
		disabled gauge.Disabled
		refused  int
	}{
		{name: "all jobs are known", refused: 4},
		{name: "a queue isn't read", unread: true},
		{name: "switched off", disabled: gauge.Disabled{gauge.MechanismAdmit}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			store := newRowTable()
			store.addJob(t, "sheets", jobID(1), "p")
			store.addJob(t, "brakes", jobID(2), "p")
			store.onRange = func(_ context.Context, _, queue string, _ []gauge.PartitionRow) error {
				if tt.unread && queue == "brakes" {
					return noAnswer()
				}
				return nil
			}
			o := startOwner(t, store, silentWorkers{}, logr.Discard(), func(c *owner.Config) {
				c.Disabled = tt.disabled
			})
			waitFor(t, "jobs read", func() bool { return knowsJobs(o, "sheets", jobID(1)) })
			site := &gauge.Site{Version: 1, KeysRequired: true, Contended: true, Accounts: []gauge.ClientAccount{{Name: "garages", Weight: 1000}}}
			site.Index()
			o.Configure(site)
			o.SetReachable(1250)
			spec := &gauge.JobSpec{Account: "garages", Steps: []gauge.Step{{Count: 60, Needs: gauge.Resources{MilliCPU: 100}, Estimate: time.Second}}}
			refused := 0
			for i := range 5 {
				err := o.Admit(&gauge.Queue{Name: "sheets", Pool: "p", Stretch: 2}, fmt.Sprint("n", i), spec)
				if err != nil {
					assert.Assert(t, gauge.IsKind(err, gauge.KindNoSlot), "refused for the account's share, not for room")
					refused++
				}
			}
			assert.Equal(t, refused, tt.refused)
		})
	}
}
