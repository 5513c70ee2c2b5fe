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

// Symptom: while one entry is paused the others serve nobody, or after it wakes
// a print job comes out twice.
// Sequence: each entry in turn is frozen, with a request in flight that must
// not be repeated; the others are asked for the same request and for others;
// the entry is thawed.
// Cause: slots, control or a claim that only the frozen entry can give.
func TestFrozenEntry(t *testing.T) {
	s := newSite(t, 3, 6)
	s.inForce(s.apply(apply.File{Name: "records.yaml", Text: records}).Revision)
	for _, e := range s.entries {
		e.served(t)
	}
	for i, frozen := range s.entries {
		key := client.NewKey()
		call := client.Call{Service: "brakes", Path: "/print?run=1s", Key: key, Once: true, Body: []byte("diagram")}
		var first client.Reply
		var firstErr error
		var group sync.WaitGroup
		group.Go(func() { first, firstErr = frozen.caller().Do(context.Background(), call) })
		until(t, "the job runs", func(context.Context) bool { return s.runs(t, key) == 1 })
		frozen.signal(t, syscall.SIGSTOP)
		for j, other := range s.entries {
			if j == i {
				continue
			}
			other.served(t)
			r, err := other.caller().Do(context.Background(), call)
			assert.NilError(t, err)
			assert.Assert(t, r.Status != http.StatusOK || string(r.Body) == "diagram")
		}
		frozen.signal(t, syscall.SIGCONT)
		group.Wait()
		assert.NilError(t, firstErr)
		assert.Equal(t, first.Status, http.StatusOK, string(first.Body))
		assert.Equal(t, string(first.Body), "diagram")
		assert.Equal(t, s.runs(t, key), 1)
		frozen.served(t)
	}
}

// runs is how often a request ran, over all workers.
func (s *site) runs(t *testing.T, key string) int {
	t.Helper()
	n := 0
	for _, w := range s.workers {
		n += w.counts(t).Runs[key]
	}
	return n
}

// Symptom: of two operators' changes one is gone without a word.
// Sequence: both look at one revision and change the same record, through two
// entries.
// Cause: taking the later one without a look at its basis.
func TestOperatorsRace(t *testing.T) {
	s := newSite(t, 2, 1)
	revision := s.apply(apply.File{Name: "records.yaml", Text: records}).Revision
	s.inForce(revision)
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
