package machines_test

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"sapphiregauge/platform/fakes"
)

// Guards against a job that is shown as running after its cancel was acknowledged: a client
// cancels it at an entry that has just started and asks for its state at another. The new entry
// has not read the leases yet, so it notifies no owner of the cancel.
func TestCancelAtNewEntryIsVisibleAtOnce(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 1)
	s.waitReady()
	longRunning := map[string]any{
		"spec":  fakes.Work{CPU: 100}.Payload(),
		"steps": []any{map[string]any{"count": 1, "cpu": 100, "memMb": 10, "longRunning": true}},
	}
	for i := range 8 {
		assert.Assert(t, s.submit(i, longRunning))
		s.waitFor("task started", func() bool { return s.journal.StartCount(fmt.Sprintf("%016x.0.0.0", i)) == 1 })
		started := s.start(fmt.Sprintf("late-%d", i))
		s.waitFor("the new entry has a configuration", started.node.Ready)
		status, _, _ := s.call(started, http.MethodDelete, jobPath(i), nil)
		assert.Equal(t, status, http.StatusOK)
		_, out, _ := s.call(s.entries[0], http.MethodGet, jobPath(i), nil)
		assert.Equal(t, out["state"], "cancelled")
	}
}
