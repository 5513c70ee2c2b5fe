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

// An operator applies records through one entry, callers are served through
// all, one entry is killed and one stopped; nobody gets a wrong answer.
func TestWholePath(t *testing.T) {
	s := newSite(t, 3, 6)
	res := s.apply(apply.File{Name: "records.yaml", Text: records})
	s.inForce(res.Revision)
	for _, e := range s.entries {
		e.served(t)
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

// Symptom: a caller's connection breaks while an entry is replaced.
// Sequence: requests run, the entry gets SIGTERM, the requests end later.
// Cause: without the drain the process would exit with requests in flight.
func TestStopCutsOffNothing(t *testing.T) {
	s := newSite(t, 2, 4)
	res := s.apply(apply.File{Name: "records.yaml", Text: records})
	s.inForce(res.Revision)
	s.entries[1].served(t)

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
	until(t, "all requests run", func(context.Context) bool {
		n := 0
		for _, w := range s.workers {
			n += w.counts(t).Running
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

// Symptom: an accepted overnight study never ends.
// Sequence: an entry accepts a long run and starts it, then is killed.
// Cause: without the claim's index nobody else would know of the study.
func TestKilledEntryLosesNoAcceptedRun(t *testing.T) {
	s := newSite(t, 3, 4)
	res := s.apply(apply.File{Name: "records.yaml", Text: records})
	s.inForce(res.Revision)
	s.entries[1].served(t)

	key := client.NewKey()
	r, err := s.entries[1].caller().Do(context.Background(), client.Call{
		Service: "brakes", Path: "/study?run=1s", Key: key, Async: true, Long: true, Body: []byte("fins"),
	})
	assert.NilError(t, err)
	assert.Equal(t, r.Status, http.StatusAccepted, string(r.Body))
	s.entries[1].signal(t, syscall.SIGKILL)
	until(t, "the study is done", func(ctx context.Context) bool {
		r, err := s.entries[0].caller().Look(ctx, key)
		return err == nil && r.Status == http.StatusOK && string(r.Body) == "fins"
	})
}

// Symptom: a print job comes out twice.
// Sequence: a caller sends the same not-repeatable request through all entries
// at once.
// Cause: without the claim each entry would dispatch it.
func TestSameKeyThroughAllEntriesRunsOnce(t *testing.T) {
	s := newSite(t, 3, 4)
	res := s.apply(apply.File{Name: "records.yaml", Text: records})
	s.inForce(res.Revision)
	for _, e := range s.entries {
		e.served(t)
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
	assert.Equal(t, s.runs(t, key), 1)
}

const wave = `
kind: wave
schema: 1
name: december
pools: [brakes]
`

// A wave goes over the whole pool while its controller is killed and the table is out
// for a while; at no look does the pool have less than it promised.
func TestWaveWithKilledEntryAndTableOut(t *testing.T) {
	s := newSite(t, 3, 6)
	res := s.apply(apply.File{Name: "records.yaml", Text: records})
	s.inForce(res.Revision)
	s.entries[0].served(t)
	res = s.apply(apply.File{Name: "wave.yaml", Text: wave})
	s.inForce(res.Revision)

	victim, other := s.controller("pool/brakes")
	done := func(ctx context.Context) int {
		n, serving := 0, 0
		for _, h := range other.hosts(ctx).InPool("brakes") {
			if h.Done {
				n++
			}
			if h.State == gauge.HostServing {
				serving++
			}
		}
		assert.Assert(t, serving >= 2, "the promise is broken: %d hosts serve", serving)
		return n
	}
	until(t, "the wave has begun", func(ctx context.Context) bool { return done(ctx) > 0 })
	victim.signal(t, syscall.SIGKILL)
	s.fault("down")
	for range 5 {
		other.served(t)
	}
	s.fault("none")
	until(t, "the wave is done", func(ctx context.Context) bool {
		return done(ctx) == len(other.hosts(ctx).InPool("brakes"))
	})
}

// controller returns the entry that controls a unit while all live, and one
// that does not.
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

func (s *site) fault(name string) {
	s.t.Helper()
	resp, err := http.Post("http://"+s.platform+"/stand/fault/"+name, "", nil)
	assert.NilError(s.t, err)
	_ = resp.Body.Close()
}
