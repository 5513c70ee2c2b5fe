package machines_test

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"sapphiregauge/platform/fakes"
)

// Symptom: a job is shown as running after its cancel was acknowledged.
// Sequence: a caller cancels it at an entry that has just started, and asks for its
// state at another.
// Cause: the entry has not read the leases yet, and tells no owner of the cancel.
func TestCancelAtAnEntryThatHasJustStartedIsSeenAtOnce(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 1)
	s.ready()
	lasting := map[string]any{
		"spec":  fakes.Work{CPU: 100}.Payload(),
		"steps": []any{map[string]any{"count": 1, "cpu": 100, "memMb": 10, "longRunning": true}},
	}
	for i := range 8 {
		assert.Assert(t, s.submit(i, lasting))
		s.waitFor("task started", func() bool { return s.journal.Starts(fmt.Sprintf("%016x.0.0.0", i)) == 1 })
		late := s.start(fmt.Sprintf("late-%d", i))
		s.waitFor("a configuration there", late.node.Ready)
		status, _, _ := s.call(late, http.MethodDelete, jobPath(i), nil)
		assert.Equal(t, status, http.StatusOK)
		_, out, _ := s.call(s.entries[0], http.MethodGet, jobPath(i), nil)
		assert.Equal(t, out["state"], "cancelled")
	}
}
