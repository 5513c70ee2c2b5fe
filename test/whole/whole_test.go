// Package whole_test runs the system in separate processes on loopback.
package whole_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/apply"
	"sapphiregauge/internal/peers"
	"sapphiregauge/pkg/client"
)

const records = `
kind: pool
schema: 2
name: brakes
promise: {hosts: 2}
---
kind: service
schema: 1
name: brakes
pool: brakes
limit: 30s
`

// An operator applies records through one entry, callers are served through all, and one entry is
// killed; every answer from the others has to be right.
func TestRequestsAreServedAfterEntryIsKilled(t *testing.T) {
	s := newSite(t, 3, 6)
	res := s.apply(apply.File{Name: "records.yaml", Text: records})
	s.waitInForce(res.Revision)
	for _, e := range s.entries {
		e.waitServed(t)
	}

	s.entries[2].signal(t, syscall.SIGKILL)
	<-s.entries[2].done
	for i := range 20 {
		body := fmt.Sprintf("sheet %d", i)
		r, err := s.entries[i%2].caller().Do(context.Background(), client.Call{Service: "brakes", Path: "/sheet", Body: []byte(body)})
		assert.NilError(t, err)
		assert.Equal(t, r.Status, http.StatusOK, string(r.Body))
		assert.Equal(t, string(r.Body), body)
	}
}

// Guards against connections of callers that break while an entry is replaced. The entry gets
// SIGTERM while requests run that end later; without the drain the process would exit with
// requests in flight.
func TestStoppingEntryFinishesRequests(t *testing.T) {
	s := newSite(t, 2, 4)
	res := s.apply(apply.File{Name: "records.yaml", Text: records})
	s.waitInForce(res.Revision)
	s.entries[1].waitServed(t)

	const requests = 8
	var group sync.WaitGroup
	replies := make([]client.Reply, requests)
	errs := make([]error, requests)
	for i := range requests {
		group.Go(func() {
			replies[i], errs[i] = s.entries[1].caller().Do(context.Background(),
				client.Call{Service: "brakes", Path: "?run=1500ms", Body: []byte(fmt.Sprint(i))})
		})
	}
	waitFor(t, "all requests run", func(context.Context) bool {
		n := 0
		for _, w := range s.workers {
			n += w.workerStatus(t).Running
		}
		return n == requests
	})
	s.entries[1].signal(t, syscall.SIGTERM)
	group.Wait()
	for i := range requests {
		assert.NilError(t, errs[i])
		assert.Equal(t, replies[i].Status, http.StatusOK, string(replies[i].Body))
		assert.Equal(t, string(replies[i].Body), fmt.Sprint(i))
	}
	<-s.entries[1].done
	assert.Equal(t, s.entries[1].cmd.ProcessState.ExitCode(), 0)
}

// Guards against an accepted asynchronous request that never ends. An entry accepts it, starts it
// and is killed; without the index of claims no other entry would know of it.
func TestKilledEntryLosesNoAcceptedRun(t *testing.T) {
	s := newSite(t, 3, 4)
	res := s.apply(apply.File{Name: "records.yaml", Text: records})
	s.waitInForce(res.Revision)
	s.entries[1].waitServed(t)

	key := client.NewKey()
	r, err := s.entries[1].caller().Do(context.Background(), client.Call{
		Service: "brakes", Path: "/study?run=1s", Key: key, Async: true, Long: true, Body: []byte("fins"),
	})
	assert.NilError(t, err)
	assert.Equal(t, r.Status, http.StatusAccepted, string(r.Body))
	s.entries[1].signal(t, syscall.SIGKILL)
	waitFor(t, "the run is done", func(ctx context.Context) bool {
		r, err := s.entries[0].caller().Look(ctx, key)
		return err == nil && r.Status == http.StatusOK && string(r.Body) == "fins"
	})
}

// Guards against a request that runs twice although it must not be repeated. A caller sends it
// through all entries at once; without the claim each entry would dispatch it.
func TestSameKeyThroughAllEntriesRunsOnce(t *testing.T) {
	s := newSite(t, 3, 4)
	res := s.apply(apply.File{Name: "records.yaml", Text: records})
	s.waitInForce(res.Revision)
	for _, e := range s.entries {
		e.waitServed(t)
	}
	key := client.NewKey()
	var group sync.WaitGroup
	for i := range 9 {
		group.Go(func() {
			_, _ = s.entries[i%3].caller().Do(context.Background(), client.Call{
				Service: "brakes", Path: "/print?run=200ms", Key: key, Once: true, Body: []byte("diagram"),
			})
		})
	}
	group.Wait()
	assert.Equal(t, s.countRuns(t, key), 1)
}

const waveRecord = `
kind: wave
schema: 1
name: december
pools: [brakes]
`

// A maintenance wave covers the whole pool although its controller is killed and the table has an
// outage; whenever it is checked, the pool has at least the promised number of serving hosts.
func TestWaveWithKilledEntryAndTableOutage(t *testing.T) {
	s := newSite(t, 3, 6)
	res := s.apply(apply.File{Name: "records.yaml", Text: records})
	s.waitInForce(res.Revision)
	s.entries[0].waitServed(t)
	res = s.apply(apply.File{Name: "wave.yaml", Text: waveRecord})
	s.waitInForce(res.Revision)

	killed, other := s.controller("pool/brakes")
	countDone := func(ctx context.Context) int {
		n, serving := 0, 0
		for _, h := range other.hosts(ctx).InPool("brakes") {
			if h.WaveDone {
				n++
			}
			if h.State == gauge.HostServing {
				serving++
			}
		}
		assert.Assert(t, serving >= 2, "fewer hosts serve than promised: %d", serving)
		return n
	}
	waitFor(t, "the wave has begun", func(ctx context.Context) bool { return countDone(ctx) > 0 })
	killed.signal(t, syscall.SIGKILL)
	s.setFault("down")
	for range 5 {
		other.waitServed(t)
	}
	s.setFault("none")
	waitFor(t, "the wave is done", func(ctx context.Context) bool {
		return countDone(ctx) == len(other.hosts(ctx).InPool("brakes"))
	})
}

// controller returns the entry that controls a unit while all entries are alive, and another one.
func (s *site) controller(unit string) (controls, other *process) {
	var all []gauge.Member
	for i := range s.entries {
		all = append(all, gauge.Member{ID: fmt.Sprint("e", i)})
	}
	id := peers.Owner(all, unit).ID
	for i, e := range s.entries {
		if all[i].ID == id {
			controls = e
		} else {
			other = e
		}
	}
	return controls, other
}

func (s *site) setFault(name string) {
	s.t.Helper()
	resp, err := http.Post("http://"+s.platform+"/stand/fault/"+name, "", nil)
	assert.NilError(s.t, err)
	_ = resp.Body.Close()
}
