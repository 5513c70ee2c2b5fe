package whole_test

import (
	"context"
	"net/http"
	"sync"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"sapphiregauge/internal/apply"
	"sapphiregauge/pkg/client"
)

// Guards against a paused entry that keeps the others from serving, and against a request that runs
// twice after it resumes, because only the paused entry can give up its slots, its control of a
// unit or a claim. Each entry in turn is paused while it has a request in flight that must not be
// repeated; the others are sent the same request and further ones; then the entry resumes.
func TestPausedEntryBlocksAndDuplicatesNothing(t *testing.T) {
	s := newSite(t, 3, 6)
	s.waitInForce(s.apply(apply.File{Name: "records.yaml", Text: records}).Revision)
	for _, e := range s.entries {
		e.waitServed(t)
	}
	for i, paused := range s.entries {
		key := client.NewKey()
		call := client.Call{Service: "brakes", Path: "/print?run=1s", Key: key, Once: true, Body: []byte("diagram")}
		var first client.Reply
		var firstErr error
		var group sync.WaitGroup
		group.Go(func() { first, firstErr = paused.caller().Do(context.Background(), call) })
		waitFor(t, "the request runs", func(context.Context) bool { return s.countRuns(t, key) == 1 })
		paused.signal(t, syscall.SIGSTOP)
		for j, other := range s.entries {
			if j == i {
				continue
			}
			other.waitServed(t)
			r, err := other.caller().Do(context.Background(), call)
			assert.NilError(t, err)
			assert.Assert(t, r.Status != http.StatusOK || string(r.Body) == "diagram")
		}
		paused.signal(t, syscall.SIGCONT)
		group.Wait()
		assert.NilError(t, firstErr)
		assert.Equal(t, first.Status, http.StatusOK, string(first.Body))
		assert.Equal(t, string(first.Body), "diagram")
		assert.Equal(t, s.countRuns(t, key), 1)
		paused.waitServed(t)
	}
}

// countRuns returns how often a request ran, over all workers.
func (s *site) countRuns(t *testing.T, key string) int {
	t.Helper()
	n := 0
	for _, w := range s.workers {
		n += w.workerStatus(t).Runs[key]
	}
	return n
}

// Guards against a change by one operator that silently overwrites one by another. Both change
// the same record through two entries, based on the same revision; the later change must be
// refused, as the record has changed since its basis.
func TestConcurrentOperatorChangesConflict(t *testing.T) {
	s := newSite(t, 2, 1)
	revision := s.apply(apply.File{Name: "records.yaml", Text: records}).Revision
	s.waitInForce(revision)
	errs := make([]error, 2)
	var group sync.WaitGroup
	for i, e := range s.entries {
		group.Go(func() {
			var res apply.Result
			errs[i] = e.operator().Post(context.Background(), "/apply", apply.Submission{
				ID: client.NewKey(), Basis: revision,
				Files: []apply.File{{Name: "a", Text: "kind: pool\nschema: 1\nname: brakes\nhosts: " + string(rune('1'+i)) + "\n"}},
			}, &res)
		})
	}
	group.Wait()
	assert.Assert(t, (errs[0] == nil) != (errs[1] == nil), "%v / %v", errs[0], errs[1])
	for _, err := range errs {
		if err != nil {
			assert.ErrorContains(t, err, "pool/brakes was changed by revision")
		}
	}
}
