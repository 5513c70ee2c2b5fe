package machines_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sapphiregauge/internal/boot"
	"sapphiregauge/internal/mesh"
	"sapphiregauge/platform/fakes"
)

// Guards against a 503 by the owner while another entry, which it has just refused the job and which lives, is storing it itself.
// The first caller's connection has broken, so that the retry comes before that entry has an outcome to tell.
func TestOwnerRefusesNoJobUnderWayAtAnotherEntry(t *testing.T) {
	t.Parallel()
	s := newSuccession(t)
	s.ownerLink.refuse()
	s.thirdLink.keep(true)
	go s.call(s.third, http.MethodPost, jobPath(1), twoSteps(20))
	s.waitFor("the transaction is sent", func() bool { return s.thirdLink.countKept() > 0 })
	s.checkRetry(s.owner, s.thirdLink)
}

// Guards against a 504 without a time to wait during an outage of the whole table that outlasts the lease: nothing is sent,
// no other entry can have claimed the pool, and callers use up their attempts.
func TestOutageLongerThanTheLeaseRefusesAtOnce(t *testing.T) {
	t.Parallel()
	s := newSuccession(t)
	s.ownerLink.cutOff()
	s.thirdLink.cutOff()
	status, out, _ := s.call(s.owner, http.MethodPost, jobPath(1), twoSteps(20))
	assert.Equal(t, status, http.StatusServiceUnavailable, "within the lease: %v", out)
	cutAt, n := boot.Now(), 2
	s.waitFor("the lease has ended, or a job is not refused", func() bool {
		status, out, _ = s.call(s.owner, http.MethodPost, jobPath(n), twoSteps(20))
		n++
		return status != http.StatusServiceUnavailable || boot.Now()-cutAt > 4*time.Second
	})
	assert.Equal(t, status, http.StatusServiceUnavailable, "job %d, %v after the table was cut off, never sent: %v", n-1, boot.Now()-cutAt, out)
}

// Guards against a 503 by the first owner of a pool for a job of a queue that has just been moved to this pool,
// whose first try the owner of the queue's pool before knew to be unsettled.
func TestFirstOwnerRefusesNoUnsettledJobOfAQueueMovedToItsPool(t *testing.T) {
	t.Parallel()
	s := newSuccession(t)
	s.startSuccessor()
	s.thirdLink.refuse()
	s.leaveUnsettled(s.owner, s.ownerLink)
	s.ownerLink.cutOff()
	const movedTo = "gears"
	s.table.PutConfig(2, []fakes.Queue{{Name: queueName, Host: queueHost, Prefix: queuePath, Pool: movedTo}}, spareName)
	s.waitFor("the new pool is loaded", func() bool {
		holder := s.leaseHolder(movedTo)
		return holder != "" && !strings.HasPrefix(holder, "first") && s.countLogged("pool loaded", `"pool"="`+movedTo+`"`) == 1
	})
	s.checkRetry(s.successor, s.ownerLink)
}

// Guards against a 503 by an owner whose lease lasts but was claimed already, since no other entry reached it: it is cut off
// from the table and from the other entries, not from callers. The successor knows of an unsettled try.
func TestOwnerThatNoEntryReachesRefusesNoJobUnsettledAtItsSuccessor(t *testing.T) {
	t.Parallel()
	s := newSuccession(t)
	s.startSuccessor()
	cutAt := boot.Now()
	s.ownerLink.cutOff()
	s.owner.mesh.Close()
	s.waitOwnedBySuccessor()
	t.Log("owned by the successor after", boot.Now()-cutAt)
	s.successorLink.keep(false)
	status, out, _ := s.call(s.successor, http.MethodPost, jobPath(1), twoSteps(20))
	assert.Equal(t, status, http.StatusGatewayTimeout, "%v", out)
	t.Log("asked after", boot.Now()-cutAt)
	s.checkRetry(s.owner, s.successorLink)
}

// Guards against a 503 by an entry whose configuration is too old to know the queue, for a job whose first try at another entry may be stored.
func TestEntryThatMayNotKnowTheQueueRefusesNoUnsettledJob(t *testing.T) {
	t.Parallel()
	s := newSuccession(t)
	stale := s.startStaleEntry("stale", host{capacity: smallHostCores})
	s.waitReady()
	s.cutConfig(stale, "stale")
	s.table.PutConfig(2, []fakes.Queue{sheets, charts}, spareName)
	s.waitFor("the owner serves the new queue", func() bool {
		status, _, _ := s.call(s.owner, http.MethodGet, charts.Prefix, nil)
		return status == http.StatusOK
	})
	id := jobPath(1)[len(queuePath):]
	s.ownerLink.keep(false)
	status, out, _ := s.call(s.owner, http.MethodPost, charts.Prefix+id, twoSteps(20))
	assert.Equal(t, status, http.StatusGatewayTimeout, "%v", out)
	stale.clockOffset.Store(int64(clockAdvance))
	status, out, _ = s.call(stale.entry, http.MethodPost, charts.Prefix+id, twoSteps(20))
	s.ownerLink.release()
	s.waitFor("the job is stored by the first try", func() bool { return len(s.table.Value("jobs", charts.Name, id)) > 0 })
	assert.Assert(t, status != http.StatusServiceUnavailable, "the job was not accepted and never runs, said %v, and it is stored", out)
}

// Guards against an entry that tells an owner whose lease is over of an unsettled try and, as that one says that it owns the pool,
// never tells the successor.
func TestOwnerWhoseLeaseIsOverDoesNotSayThatItOwnsThePool(t *testing.T) {
	t.Parallel()
	s := newSuccession(t)
	s.startSuccessor()
	s.freezeOwner()
	s.waitOwnedBySuccessor()
	s.stoppedAt.Store(0)
	caller := mesh.New(mesh.Config{})
	defer caller.Close()
	answer := make(map[string]any)
	call := map[string]any{"i": jobPath(1)[len(queuePath):], "p": poolName}
	assert.NilError(t, caller.Call(t.Context(), s.owner.peerAddr, "job.doubt", call, &answer))
	assert.Equal(t, answer["o"], false)
}
