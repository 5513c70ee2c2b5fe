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

// reportMethod fetches what a peer has counted, so that any entry can report
// for all.
const reportMethod = "report"

type reportReq struct{}

type reportResp struct {
	Series []burn.Series `msgpack:"s"`
	Lines  []holds.Line  `msgpack:"l"`
}

func (e *Entry) handReport(context.Context, []byte) (any, error) {
	return &reportResp{Series: e.burn.Series(), Lines: e.holds.Lines()}, nil
}

const reportTimeout = 2 * time.Second

// gather asks all live entries for their counts. One that does not answer is
// left out.
func (e *Entry) gather(ctx context.Context) []reportResp {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	all := []reportResp{{Series: e.burn.Series(), Lines: e.holds.Lines()}}
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

func (e *Entry) burnReport(ctx context.Context) []burn.Line {
	var series [][]burn.Series
	for _, r := range e.gather(ctx) {
		series = append(series, r.Series)
	}
	return burn.Report(e.follow.State(), burn.Sum(series...))
}

func (e *Entry) holdsReport(ctx context.Context) []holds.Line {
	var lines [][]holds.Line
	for _, r := range e.gather(ctx) {
		lines = append(lines, r.Lines)
	}
	return holds.Sum(lines...)
}

// look holds the pools that are this entry's to watch against their promises,
// by what the table and the platform's list say together.
func (e *Entry) look() {
	s := e.follow.State()
	seen := e.sighted.Load().list.ByID()
	counted, listed := make(map[string]bool), 0
	for _, pool := range append(s.Names(gauge.RecordPool), "") {
		for _, h := range s.InPool(pool) {
			counted[h.ID] = true
			listed++
		}
		if pool == "" || !e.mine("watch/"+pool) || len(seen) == 0 {
			continue
		}
		working := 0
		for _, h := range s.InPool(pool) {
			if h.Serves() && seen[h.ID].Status == gauge.StatusLive {
				working++
			}
		}
		promised := s.Pool(pool).Hosts
		e.meter.Set(pool, "hosts_spare", float64(working-promised))
		if !e.filled[pool] {
			e.filled[pool] = working >= promised // a new pool is not broken while it is first filled
			continue
		}
		e.holds.Note(holds.Budget, working >= promised, fmt.Sprintf("pool %s: %d hosts work, %d are promised", pool, working, promised))
	}
	if s.Revision > 0 && len(s.ByHost) > 0 {
		e.holds.Note(holds.Single, listed == len(counted), fmt.Sprintf("revision %d: %d hosts, counted %d times in declared pools or free", s.Revision, len(counted), listed))
	}
}

// waves tells how far each wave is in each of its pools.
func (e *Entry) waves() []query.Wave {
	s := e.follow.State()
	reasons := make(map[string]string)
	for _, w := range e.ctrl.Waits() {
		reasons[w.Wave+"/"+w.Pool] = w.Reason
	}
	out := []query.Wave{}
	for _, name := range s.Names(gauge.RecordWave) {
		r := s.Records[gauge.RecordID{Kind: gauge.RecordWave, Name: name}]
		for _, pool := range r.Wave.Pools {
			w := query.Wave{Name: name, Pool: pool, Waits: reasons[name+"/"+pool]}
			for _, h := range s.InPool(pool) {
				count(&w, r, h)
			}
			out = append(out, w)
		}
	}
	return out
}

func count(w *query.Wave, r gauge.Record, h gauge.Host) {
	w.Hosts++
	switch {
	case !plan.Due(r, h):
		w.Done++
	case h.State == gauge.HostLeaving || h.State == gauge.HostRebooting:
		w.Out++
	case h.State == gauge.HostFailed:
		w.Failed++
	}
}
