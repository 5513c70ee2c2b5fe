package machines_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/mesh"
	"sapphiregauge/platform"
)

// putRefused stores a refusal of the job, at a time of the table's clock in milliseconds, and returns
// that clock's time.
func (s *succession) putRefused(ended int64) int64 {
	s.t.Helper()
	value, err := (&gauge.JobRow{State: gauge.JobRefused, Pool: poolName, Ended: ended}).Encode()
	assert.NilError(s.t, err)
	table := platform.NewTable(platform.TableConfig{Addr: s.table.Addr(), ReadTimeout: waitTimeout, CommitTimeout: waitTimeout, Clock: time.Now})
	defer table.Close()
	position, _, err := table.Commit(s.t.Context(), gauge.PartitionTxn{Writes: []gauge.RowWrite{{
		RowKey: gauge.RowKey{Table: gauge.TableJobs, Partition: queueName, Key: jobPath(1)[len(queuePath):]}, Value: value,
	}}})
	assert.NilError(s.t, err)
	return position.Now.Milliseconds()
}

// Guards against a refused id that counts as a job at an entry or at the owner: told as accepted, shown
// or cancelled, or never accepted again. The third entry reaches the rows only through the owner.
func TestRefusalIsNoJobAtAnyEntry(t *testing.T) {
	t.Parallel()
	s := newSuccession(t)
	s.thirdLink.refuse()
	const hour = int64(3_600_000)
	s.putRefused(hour)
	for _, e := range []*entry{s.owner, s.third} {
		status, out, header := s.call(e, http.MethodPost, jobPath(1), twoSteps(20))
		assert.Equal(t, status, http.StatusServiceUnavailable, "%v", out)
		assert.Equal(t, header.Get("Retry-After"), "1")
	}
	caller := mesh.New(mesh.Config{})
	defer caller.Close()
	var answer struct {
		Kind    gauge.Kind `msgpack:"k"`
		RetryMS int64      `msgpack:"t"`
	}
	call := map[string]any{"q": queueName, "i": jobPath(1)[len(queuePath):], "s": &gauge.JobSpec{Steps: []gauge.Step{{Count: 1}}}}
	assert.NilError(t, caller.Call(t.Context(), s.owner.peerAddr, "job.submit", call, &answer))
	assert.Equal(t, answer.Kind, gauge.KindNoSlot)
	assert.Equal(t, answer.RetryMS, int64(1000))
	for _, method := range []string{http.MethodGet, http.MethodDelete} {
		status, out, _ := s.call(s.owner, method, jobPath(1), nil)
		assert.Equal(t, status, http.StatusGone, "%s: %v", method, out)
	}
	s.waitFor("the refusal has aged", func() bool { return s.putRefused(1) > 3000 })
	status, out, _ := s.call(s.third, http.MethodPost, jobPath(1), twoSteps(20))
	assert.Equal(t, status, http.StatusOK, "the attempt began long after the refusal: %v", out)
	s.waitCompleted([]int{1})
	s.checkNoViolations()
}
