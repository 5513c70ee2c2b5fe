package machines_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a job that runs on after its cancellation was answered 410: a transaction of its
// submission got no answer, and is executed later.
func TestJobStoredAfterItsCancellationDoesNotRun(t *testing.T) {
	for _, tt := range []struct {
		name   string
		submit func(s *succession) *jobLink // leaves the submission unsettled
		cancel func(s *succession) *entry   // the entry that is asked to cancel
	}{
		{"submitted to the owner", submitToOwner, func(s *succession) *entry { return s.third }},
		{"submitted to another entry, cancelled by the owner", submitToThird, func(s *succession) *entry { return s.owner }},
		{"submitted to another entry, cancelled there by way of the owner", submitToThird, func(s *succession) *entry { return s.third }},
		{"the owner is killed between", submitToOwner, func(s *succession) *entry {
			s.killOwner()
			return s.successor
		}},
		{"the pool is handed over between", submitToOwner, func(s *succession) *entry {
			s.handOver()
			return s.successor
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := newSuccession(t)
			s.startSuccessor()
			s.successorLink.answer()
			late := tt.submit(s)
			status, out, _ := s.call(tt.cancel(s), http.MethodDelete, jobPath(1), nil)
			assert.Equal(t, status, http.StatusGone, "%v", out)
			late.release()
			late.answer()
			for _, e := range []*entry{s.third, s.successor} {
				s.waitFor("the job is told as gone", func() bool {
					status, _, _ := s.call(e, http.MethodGet, jobPath(1), nil)
					return status == http.StatusGone
				})
			}
			assert.Assert(t, s.submit(2, twoSteps(20)))
			s.waitCompleted([]int{2})
			assert.Equal(t, s.journal.StartCount(jobPath(1)[len(queuePath):]+".0.0.0"), 0)
			s.checkNoViolations()
		})
	}
}

func submitToOwner(s *succession) *jobLink {
	s.leaveUnsettled(s.owner, s.ownerLink)
	return s.ownerLink
}

// submitToThird submits the job to the third entry, while the owner can't store it.
func submitToThird(s *succession) *jobLink {
	s.ownerLink.refuse()
	s.leaveUnsettled(s.third, s.thirdLink)
	s.ownerLink.answer()
	return s.thirdLink
}
