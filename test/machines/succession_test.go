package machines_test

import (
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"sapphiregauge/internal/mesh"
)

// Guards against a 503 by the successor after a graceful handover, for a try that the previous owner knew to be unsettled.
func TestSuccessorAfterHandoverRefusesNoUnsettledJob(t *testing.T) {
	t.Parallel()
	s := newSuccession(t)
	s.startSuccessor()
	s.leaveUnsettled(s.owner, s.ownerLink)
	s.handOver()
	s.checkRetry(s.successor, s.ownerLink)
}

// Guards against a 503 by a third entry that asks the successor, for a try that the previous owner knew to be unsettled.
func TestThirdEntryThatAsksSuccessorRefusesNoUnsettledJob(t *testing.T) {
	t.Parallel()
	s := newSuccession(t)
	s.startSuccessor()
	s.thirdLink.refuse()
	s.leaveUnsettled(s.owner, s.ownerLink)
	s.handOver()
	s.checkRetry(s.third, s.ownerLink)
}

// Guards against a 503 by the previous owner itself, which asks its successor about its own unsettled try.
func TestPreviousOwnerRefusesNoUnsettledJob(t *testing.T) {
	t.Parallel()
	s := newSuccession(t)
	s.startSuccessor()
	s.leaveUnsettled(s.owner, s.ownerLink)
	s.handOver()
	s.checkRetry(s.owner, s.ownerLink)
}

// Guards against a 503 by the successor of a killed owner, for a try that only the killed one knew to be unsettled.
func TestSuccessorOfKilledOwnerRefusesNoUnsettledJob(t *testing.T) {
	t.Parallel()
	s := newSuccession(t)
	s.startSuccessor()
	s.leaveUnsettled(s.owner, s.ownerLink)
	s.killOwner()
	s.checkRetry(s.successor, s.ownerLink)
}

// Guards against a 503 by an entry that has started after the unsettled try and taken the pool of the killed owner.
func TestEntryStartedAfterUnsettledTryRefusesNoJob(t *testing.T) {
	t.Parallel()
	s := newSuccession(t)
	s.leaveUnsettled(s.owner, s.ownerLink)
	s.startSuccessor()
	s.killOwner()
	s.checkRetry(s.successor, s.ownerLink)
}

// Guards against a 503 by the successor after a third entry has told only the previous owner of its unsettled try.
func TestSuccessorOfNotifiedOwnerRefusesNoUnsettledJob(t *testing.T) {
	t.Parallel()
	s := newSuccession(t)
	s.startSuccessor()
	s.ownerLink.refuse()
	s.leaveUnsettled(s.third, s.thirdLink)
	assert.Equal(t, s.countLogged("unsettled submission recorded", `"entry"="first"`), 1)
	s.handOver()
	s.checkRetry(s.successor, s.thirdLink)
}

// Guards against a 503 by the owner after an entry has been killed before it told anyone of its unsettled try.
func TestOwnerRefusesNoJobOfAnEntryKilledWithIt(t *testing.T) {
	t.Parallel()
	s := newSuccession(t)
	s.ownerLink.refuse()
	s.thirdLink.keep(true)
	go s.call(s.third, http.MethodPost, jobPath(1), twoSteps(20))
	s.waitFor("the transaction is sent", func() bool { return s.thirdLink.countKept() > 0 })
	s.third.kill()
	<-s.third.done
	s.third.mesh.Close()
	s.checkRetry(s.owner, s.thirdLink)
}

// Guards against a 503 by the successor of an owner that can't write and has offered its pool, for a try that it knew to be unsettled.
func TestSuccessorOfStuckOwnerRefusesNoUnsettledJob(t *testing.T) {
	t.Parallel()
	s := newSuccession(t)
	s.startSuccessor()
	s.leaveUnsettled(s.owner, s.ownerLink)
	s.ownerLink.cutOff()
	s.waitOwnedBySuccessor()
	assert.Equal(t, s.countLogged("lease taken", `"entry"="next"`, `"pool"="`+poolName+`"`, `"from"="first/1"`), 1, "it was offered")
	s.checkRetry(s.successor, s.ownerLink)
}

// Guards against a 503 by the successor of an owner whose lease has expired while it stood still, for a try that it knew to be unsettled.
func TestSuccessorOfFrozenOwnerRefusesNoUnsettledJob(t *testing.T) {
	t.Parallel()
	s := newSuccession(t)
	s.startSuccessor()
	s.leaveUnsettled(s.owner, s.ownerLink)
	s.freezeOwner()
	s.waitOwnedBySuccessor()
	s.checkRetry(s.successor, s.ownerLink)
}

// Guards against a 503 by a previous owner that hasn't noticed the loss of its pool, for a try that its successor knows to be unsettled.
func TestFrozenOwnerRefusesNoJobUnsettledAtItsSuccessor(t *testing.T) {
	t.Parallel()
	s := newSuccession(t)
	s.startSuccessor()
	s.freezeOwner()
	s.waitOwnedBySuccessor()
	s.successorLink.keep(false)
	status, out, _ := s.call(s.successor, http.MethodPost, jobPath(1), twoSteps(20))
	assert.Equal(t, status, http.StatusGatewayTimeout, "%v", out)
	s.stoppedAt.Store(0) // it goes on, and its clock shows the present at once
	s.checkRetry(s.owner, s.successorLink)
}

// Guards against a 503 by a successor that hasn't read the queue yet, for a job that its killed predecessor has stored without its client getting the answer.
func TestSuccessorThatHasNotReadTheQueueRefusesNoStoredJob(t *testing.T) {
	t.Parallel()
	s := newSuccession(t)
	longRunning := twoSteps(60_000)
	status, _, _ := s.call(s.owner, http.MethodPost, jobPath(1), longRunning)
	assert.Equal(t, status, http.StatusOK)
	s.startSuccessor()
	s.successorLink.refuseQueue()
	s.owner.kill()
	<-s.owner.done
	s.owner.mesh.Close()
	s.waitFor("the next entry has the pool", func() bool { return strings.HasPrefix(s.leaseHolder(poolName), "next") })
	s.checkRetry(s.successor, s.ownerLink)
}

// Guards against a 503 by an entry that asks a restarted owner, which has no configuration yet and doesn't own the pool any more.
func TestOwnerRestartedWithoutConfigurationDecidesNothing(t *testing.T) {
	t.Parallel()
	s := newSuccession(t)
	s.leaveUnsettled(s.owner, s.ownerLink)
	s.thirdLink.cutOff()
	s.owner.kill()
	<-s.owner.done
	s.owner.mesh.Close()
	s.ownerLink.cutOff()
	var again net.Listener
	s.waitFor("the port is free", func() bool {
		var err error
		again, err = net.Listen("tcp", s.owner.peerAddr)
		return err == nil
	})
	s.startOn("first", s.ownerLink.addr, host{capacity: largeHostCores, peers: again})
	s.waitFor("the restarted entry answers", func() bool { return s.answersProbes(s.owner.peerAddr) })
	s.checkRetry(s.third, s.ownerLink)
}

// answersProbes reports whether an entry answers calls of other entries.
func (s *succession) answersProbes(addr string) bool {
	caller := mesh.New(mesh.Config{})
	defer caller.Close()
	answer := make(map[string]any)
	return caller.Call(s.t.Context(), addr, "lease.probe", map[string]any{"f": 0}, &answer) == nil
}

// Guards against a 503 by the successor for an unsettled try of a third entry whose notification reached an owner that had just changed.
func TestNotificationToOwnerThatHasJustChangedReachesSuccessor(t *testing.T) {
	t.Parallel()
	s := newSuccession(t)
	s.startSuccessor()
	s.thirdLink.keep(true)
	s.ownerLink.refuse()
	answers := make(chan int)
	go func() {
		status, _, _ := s.call(s.third, http.MethodPost, jobPath(1), twoSteps(20))
		answers <- status
	}()
	s.waitFor("the transaction is sent", func() bool { return s.thirdLink.countKept() > 0 })
	s.handOver()
	assert.Equal(t, <-answers, http.StatusGatewayTimeout)
	s.checkRetry(s.successor, s.thirdLink)
}

// Guards against a 503 by an entry whose claim of the pool isn't over, for a try that the previous owner knew to be unsettled.
func TestEntryThatClaimsThePoolRefusesNoUnsettledJob(t *testing.T) {
	t.Parallel()
	s := newSuccession(t)
	slowAddr, block, unblock := slowWrites(t, s.successorLink.addr)
	s.successorLink.addr = slowAddr
	s.startSuccessor()
	s.leaveUnsettled(s.owner, s.ownerLink)
	block()
	go s.owner.node.Release(t.Context(), 0)
	s.waitFor("the pool is offered", func() bool {
		return s.countLogged("lease offered", `"pool"="`+poolName+`"`, s.successor.peerAddr, `"taken"=true`) == 1
	})
	s.thirdLink.refuse()
	s.checkRetry(s.third, s.ownerLink)
	unblock()
}

// Guards against a 503 by the owner for a job that it has run to its end without its client getting the answer to the first try.
func TestOwnerRefusesNoJobThatHasEnded(t *testing.T) {
	t.Parallel()
	s := newSuccession(t)
	status, _, _ := s.call(s.owner, http.MethodPost, jobPath(1), twoSteps(20))
	assert.Equal(t, status, http.StatusOK)
	s.waitCompleted([]int{1})
	s.ownerLink.refuse()
	s.checkRetry(s.owner, s.ownerLink)
}

// Guards against a 503 by the owner for a job that it still runs, whose client got no answer to the first try.
func TestOwnerRefusesNoJobThatRuns(t *testing.T) {
	t.Parallel()
	s := newSuccession(t)
	status, _, _ := s.call(s.owner, http.MethodPost, jobPath(1), twoSteps(60_000))
	assert.Equal(t, status, http.StatusOK)
	s.ownerLink.refuse()
	s.checkRetry(s.owner, s.ownerLink)
}

// Guards against a 503 by the successor for a job that its predecessor has run to its end without its client getting the answer to the first try.
func TestSuccessorRefusesNoJobThatHasEnded(t *testing.T) {
	t.Parallel()
	s := newSuccession(t)
	status, _, _ := s.call(s.owner, http.MethodPost, jobPath(1), twoSteps(20))
	assert.Equal(t, status, http.StatusOK)
	s.waitCompleted([]int{1})
	s.startSuccessor()
	s.handOver()
	s.checkRetry(s.successor, s.ownerLink)
}
