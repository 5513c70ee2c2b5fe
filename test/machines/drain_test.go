package machines_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/tenure"
	"sapphiregauge/platform"
)

// Guards against machines that move two seconds late: after all entries have lost power during a
// shift of machines between pools, half of a pool's machines came two seconds later than the
// others. The fleet lease holder had ordered workers to drain for a move and had died; its lease
// named each machine from the start of the drain, so its successor moved none of them, as it had to
// assume that they had just been ordered to move.
func TestDrainingMachineIsNotRecordedAsOrdered(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 1)
	s.waitReady()
	assert.Assert(t, s.submit(1, twoSteps(60_000)))
	s.waitFor("tasks started", func() bool { return s.journal.StartCount(fmt.Sprintf("%016x.0.0.1", 1)) == 1 })
	s.table.PutWave(1, []string{"m-0"}, 600, 1)
	s.waitFor("the machine is being drained", func() bool { return s.countLogged("worker to be emptied") > 0 })
	table := platform.NewTable(platform.TableConfig{Addr: s.table.Addr(), ReadTimeout: waitTimeout, CommitTimeout: waitTimeout, Clock: time.Now})
	defer table.Close()
	granted := func() gauge.LeaseRow {
		var row gauge.LeaseRow
		assert.NilError(t, tenure.ReadHandoverRow(t.Context(), table, gauge.RowKey{Table: gauge.TableLeases, Partition: fleetLease, Key: gauge.KeyOwner}, &row))
		return row
	}
	lease := func() int64 {
		row, err := gauge.DecodeLeaseRow(s.table.Value(gauge.TableLeases, fleetLease, gauge.KeyOwner))
		assert.NilError(t, err)
		return row.RenewedAt
	}
	for range 3 {
		before := lease()
		s.waitFor("the lease is renewed", func() bool { return lease() > before })
		assert.Equal(t, len(granted().OwnOrders), 0)
	}
}
