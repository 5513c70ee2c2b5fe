package machines_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
)

// Symptom: after all entries have lost power in a change of turns, half of a pool's
// machines come two seconds later than the others.
// Sequence: the fleet's holder has machines emptied that are to move, and is gone; the next
// one leaves all of them alone, as they may have been ordered just now.
// Cause: the lease named each machine from when it was to be emptied.
func TestMachineThatIsStillInUseIsNotAnnounced(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 1)
	s.ready()
	assert.Assert(t, s.submit(1, twoSteps(60_000)))
	s.waitFor("tasks started", func() bool { return s.journal.Starts(fmt.Sprintf("%016x.0.0.1", 1)) == 1 })
	s.table.Wave(1, []string{"m-0"}, 600, 1)
	s.waitFor("the machine is being emptied", func() bool { return s.logged("worker to be emptied") > 0 })
	granted := func() gauge.GrantRow {
		row, err := gauge.DecodeGrantRow(s.table.Value(gauge.TableGrants, fleetLease, gauge.KeyOwner))
		assert.NilError(t, err)
		return *row
	}
	lease := func() int64 {
		row, err := gauge.DecodeLeaseRow(s.table.Value(gauge.TableLeases, fleetLease, gauge.KeyOwner))
		assert.NilError(t, err)
		return row.Renewed
	}
	for range 3 {
		before := lease()
		s.waitFor("the lease is renewed", func() bool { return lease() > before })
		assert.Equal(t, len(granted().Ordered), 0)
	}
}
