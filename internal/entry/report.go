package entry

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	gauge "sapphiregauge"
	"sapphiregauge/internal/burn"
	"sapphiregauge/internal/holds"
	"sapphiregauge/internal/plan"
	"sapphiregauge/internal/query"
)

// reportMethod returns a peer's counts, so that any entry can report for all.
const reportMethod = "report"

type reportReq struct{}

type reportResp struct {
	Series  []burn.Series  `msgpack:"s"`
	Results []holds.Result `msgpack:"l"`
}

func (e *Entry) handleReport(context.Context, []byte) (any, error) {
	return &reportResp{Series: e.burn.Series(), Results: e.promises.Results()}, nil
}

const reportTimeout = 2 * time.Second

// collectReports returns the counts of all live entries. Those that don't answer are left out.
func (e *Entry) collectReports(ctx context.Context) []reportResp {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	all := []reportResp{{Series: e.burn.Series(), Results: e.promises.Results()}}
	var mu sync.Mutex
	var group conc.WaitGroup
	for _, m := range e.member.View().Live {
		if m.ID == e.conf.Self.ID {
			continue
		}
		group.Go(func() {
			var r reportResp
			if err := e.mesh.Call(ctx, m.Peer, reportMethod, &reportReq{}, &r); err != nil {
				e.conf.Logs.Info("entry left out of the report", "peer", m.ID, "reason", err.Error())
				return
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, r)
		})
	}
	group.Wait()
	return all
}

func (e *Entry) burnReport(ctx context.Context) []burn.ServiceReport {
	var series [][]burn.Series
	for _, r := range e.collectReports(ctx) {
		series = append(series, r.Series)
	}
	return burn.Report(e.follow.State(), burn.Sum(series...))
}

func (e *Entry) promisesReport(ctx context.Context) []holds.Result {
	var results [][]holds.Result
	for _, r := range e.collectReports(ctx) {
		results = append(results, r.Results)
	}
	return holds.Sum(results...)
}

// checkPromises checks the promises of the pools that this entry watches: a host works if it
// serves according to the table and is live in the platform's host list.
func (e *Entry) checkPromises() {
	s := e.follow.State()
	listed := e.hostList.Load().list.ByID()
	counted, listings := make(map[string]bool), 0
	for _, pool := range append(s.RecordNames(gauge.RecordPool), "") {
		for _, h := range s.InPool(pool) {
			counted[h.ID] = true
			listings++
		}
		if pool == "" || !e.ownsDuty("watch/"+pool) || len(listed) == 0 {
			continue
		}
		working := 0
		for _, h := range s.InPool(pool) {
			if h.IsServing() && listed[h.ID].Status == gauge.StatusLive {
				working++
			}
		}
		promised := s.Pool(pool).Hosts
		e.meter.SetState(pool, "hosts_spare", float64(working-promised))
		if !e.filled[pool] {
			e.filled[pool] = working >= promised // no breach while a new pool is first filled
			continue
		}
		e.promises.RecordCheck(holds.AvailabilityBudget, working >= promised, fmt.Sprintf("pool %s: %d hosts work, %d are promised", pool, working, promised))
	}
	if s.Revision > 0 && len(s.ByHost) > 0 {
		e.promises.RecordCheck(holds.SinglePool, listings == len(counted), fmt.Sprintf("revision %d: %d hosts, counted %d times in declared pools or free", s.Revision, len(counted), listings))
	}
}

// waves returns the progress of each wave in each of its pools.
func (e *Entry) waves() []query.Wave {
	s := e.follow.State()
	reasons := make(map[string]string)
	for _, w := range e.ctrl.Waits() {
		reasons[w.Wave+"/"+w.Pool] = w.Reason
	}
	out := []query.Wave{}
	for _, name := range s.RecordNames(gauge.RecordWave) {
		r := s.Records[gauge.RecordID{Kind: gauge.RecordWave, Name: name}]
		for _, pool := range r.Wave.Pools {
			w := query.Wave{Name: name, Pool: pool, WaitReason: reasons[name+"/"+pool]}
			for _, h := range s.InPool(pool) {
				countHost(&w, r, h)
			}
			out = append(out, w)
		}
	}
	return out
}

func countHost(w *query.Wave, r gauge.Record, h gauge.Host) {
	w.Hosts++
	switch {
	case !plan.IsDue(r, h):
		w.Done++
	case h.State == gauge.HostLeaving || h.State == gauge.HostRebooting:
		w.Unavailable++
	case h.State == gauge.HostFailed:
		w.Failed++
	}
}
