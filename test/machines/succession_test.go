package machines_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sapphiregauge/internal/boot"
	"sapphiregauge/internal/mesh"
)

// jobLink is a proxy between an entry and the table that fails the calls for one job, and only
// those: the entry keeps its leases.
type jobLink struct {
	addr   string
	direct *httputil.ReverseProxy

	mu      sync.Mutex
	cut     bool            // all calls get a 503, and aren't carried out
	queue   bool            // all jobs of the queue are meant
	refuses bool            // calls for the job get a 503, and aren't carried out
	keeps   bool            // transactions with the job get no answer, and are carried out by release
	hangs   bool            // these transactions are not answered at all; otherwise their connections are closed
	kept    []*http.Request // transactions that got no answer
	ended   chan struct{}   // closed when the test ends
}

func newJobLink(t *testing.T, to string) *jobLink {
	t.Helper()
	l := &jobLink{direct: newProxy(to), ended: make(chan struct{})}
	l.addr = startProxy(t, to, l.intercept)
	t.Cleanup(func() { close(l.ended) })
	return l
}

func (l *jobLink) intercept(w http.ResponseWriter, r *http.Request) bool {
	body, _ := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(body))
	l.mu.Lock()
	cut, text := l.cut, jobPath(1)[len(queuePath):]
	if l.queue {
		text = queueName
	}
	l.mu.Unlock()
	if cut {
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
	if !strings.Contains(r.URL.RawQuery, text) && !bytes.Contains(body, []byte(text)) {
		return false
	}
	l.mu.Lock()
	keep := l.keeps && strings.HasSuffix(r.URL.Path, "rows-tx")
	refuse := l.refuses || l.keeps && len(l.kept) > 0
	hang := l.hangs
	if keep {
		late := r.Clone(context.Background())
		late.Body = io.NopCloser(bytes.NewReader(body))
		l.kept = append(l.kept, late)
	}
	l.mu.Unlock()
	switch {
	case keep && hang:
		<-l.ended
	case keep:
		closeConnection(w)
	case refuse:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	return keep || refuse
}

// refuse makes the table refuse the job.
func (l *jobLink) refuse() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refuses, l.keeps = true, false
}

// answer makes the table answer calls for the job.
func (l *jobLink) answer() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refuses, l.keeps = false, false
}

// refuseQueue makes the table refuse the whole queue.
func (l *jobLink) refuseQueue() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refuses, l.queue, l.keeps = true, true, false
}

// cutOff makes the table refuse all calls.
func (l *jobLink) cutOff() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = true
}

// keep makes the table carry out transactions with the job late, and answer none.
func (l *jobLink) keep(hang bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refuses, l.keeps, l.hangs = false, true, hang
}

func (l *jobLink) countKept() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.kept)
}

// release carries out the transactions that got no answer.
func (l *jobLink) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.kept {
		l.direct.ServeHTTP(httptest.NewRecorder(), r)
	}
}

// succession is a site with the owner of the pool, the entry that takes the pool over after it, and
// a third entry on a small host.
type succession struct {
	*site
	owner, successor, third             *entry
	stoppedAt                           atomic.Int64 // what the owner's clock shows while it stands still; 0: it goes
	ownerLink, successorLink, thirdLink *jobLink
}

func newSuccession(t *testing.T) *succession {
	t.Helper()
	s := &succession{site: newSite(t, 0, 1)}
	s.ownerLink, s.successorLink, s.thirdLink = newJobLink(t, s.table.Addr()), newJobLink(t, s.table.Addr()), newJobLink(t, s.table.Addr())
	s.owner = s.startOn("first", s.ownerLink.addr, host{capacity: largeHostCores, now: s.ownerNow})
	s.waitReady()
	s.waitLeasesHeldBy("first")
	s.third = s.startOn("third", s.thirdLink.addr, host{capacity: smallHostCores})
	s.waitReady()
	return s
}

// ownerNow is the monotonic clock of the owner.
func (s *succession) ownerNow() time.Duration {
	if at := s.stoppedAt.Load(); at != 0 {
		return time.Duration(at)
	}
	return boot.Now()
}

// freezeOwner stops the owner's clock and cuts it off from the table, so that it neither renews its
// lease nor notices that it has lost it.
func (s *succession) freezeOwner() {
	s.stoppedAt.Store(int64(boot.Now()))
	s.ownerLink.cutOff()
}

// startSuccessor starts the entry that takes the pool over, and refuses it the job.
func (s *succession) startSuccessor() {
	s.t.Helper()
	s.successorLink.refuse()
	s.successor = s.startOn("next", s.successorLink.addr, host{capacity: largeHostCores})
	s.waitReady()
	s.waitFor("all entries know each other", func() bool {
		return s.countLogged("entry known", `"entry"="first"`, `"peer"="next"`) == 1 && s.countLogged("entry known", `"entry"="third"`, `"peer"="next"`) == 1 &&
			s.acceptsLeases(s.successor)
	})
}

// leaveUnsettled submits the job at an entry whose transaction gets no answer.
func (s *succession) leaveUnsettled(at *entry, link *jobLink) {
	s.t.Helper()
	link.keep(false)
	status, out, _ := s.call(at, http.MethodPost, jobPath(1), twoSteps(20))
	assert.Equal(s.t, status, http.StatusGatewayTimeout, "%v", out)
	assert.Assert(s.t, strings.HasPrefix(s.leaseHolder(poolName), "first"), "the pool has not changed hands yet")
}

// handOver has the owner stop and offer its pools.
func (s *succession) handOver() {
	s.t.Helper()
	s.owner.node.Release(s.t.Context(), 0)
	s.waitOwnedBySuccessor()
}

// killOwner ends the owner's process.
func (s *succession) killOwner() {
	s.t.Helper()
	s.owner.kill()
	<-s.owner.done
	s.owner.mesh.Close()
	s.waitOwnedBySuccessor()
}

func (s *succession) waitOwnedBySuccessor() {
	s.t.Helper()
	s.waitFor("the next entry has loaded the pool", func() bool {
		return strings.HasPrefix(s.leaseHolder(poolName), "next") && s.countLogged("pool loaded", `"entry"="next"`, `"pool"="`+poolName+`"`) == 1
	})
}

// checkRetry submits the job again while the table refuses it, and has the first transaction carried
// out after the answer.
func (s *succession) checkRetry(at *entry, first *jobLink) {
	s.t.Helper()
	status, out, _ := s.call(at, http.MethodPost, jobPath(1), twoSteps(20))
	first.release()
	s.waitFor("the job is stored by the first try", func() bool { return len(s.table.Value("jobs", queueName, jobPath(1)[len(queuePath):])) > 0 })
	assert.Assert(s.t, status != http.StatusServiceUnavailable, "the job was not accepted and never runs, said %v, and it is stored", out)
}

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
