package machines_test

import (
	"bytes"
	"context"
	"io"
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
