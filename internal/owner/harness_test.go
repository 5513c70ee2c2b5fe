package owner_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr/funcr"

	gauge "sapphiregauge"
	"sapphiregauge/internal/owner"
	"sapphiregauge/internal/tenure"
)

// table keeps rows of jobs, and answers each transaction after a while.
type table struct {
	gauge.Parted
	mu      sync.Mutex
	takes   time.Duration // for each transaction
	err     error         // given to each transaction instead of carrying it out
	version int64
	jobs    map[string]*gauge.JobRow
	most    int // entries of the largest transaction
	txns    int
	cut     int // transactions that were broken off
}

func (b *table) Parts(context.Context, string) ([]string, error) { return nil, nil }

func (b *table) Range(context.Context, string, string, string, string) ([]gauge.PartRow, gauge.Stamp, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return nil, gauge.Stamp{}, b.err
}

func (b *table) Commit(ctx context.Context, t gauge.PartTxn) (gauge.Stamp, []gauge.PartRow, error) {
	b.mu.Lock()
	takes := b.takes
	b.mu.Unlock()
	select {
	case <-ctx.Done():
		b.mu.Lock()
		defer b.mu.Unlock()
		b.cut++
		return gauge.Stamp{}, nil, gauge.Fail(gauge.KindUnknown, "broken off")
	case <-time.After(takes):
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err != nil {
		return gauge.Stamp{}, nil, b.err
	}
	b.version++
	b.txns++
	b.most = max(b.most, len(t.Checks)+len(t.Writes)+len(t.Drops))
	for _, w := range t.Writes {
		if w.Table != gauge.TableJobs {
			continue
		}
		row, err := gauge.DecodeJobRow(w.Value)
		if err != nil {
			return gauge.Stamp{}, nil, err
		}
		b.jobs[w.Key] = row
	}
	return gauge.Stamp{Version: b.version}, nil, nil
}

// completed counts the jobs that the table shows as completed.
func (b *table) completed() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, row := range b.jobs {
		if row.State == gauge.JobCompleted {
			n++
		}
	}
	return n
}

// site has workers that run what they are told to until the test ends it.
type site struct {
	gauge.Workers
	began time.Time

	mu     sync.Mutex
	lives  map[string]*life
	takes  time.Duration // for each start
	starts int
	holds  int
	listed int           // ends in answers to holds, each time they are listed
	news   chan struct{} // closed when something ends
	cut    int           // so many workers answer nothing
}

type life struct {
	runs   []gauge.RunReport
	ended  []gauge.EndReport
	number int64
}

func (s *site) clock() time.Duration { return time.Hour + time.Since(s.began) }

func (s *site) life(id string) *life {
	if s.lives[id] == nil {
		s.lives[id] = new(life)
	}
	return s.lives[id]
}

// isCut tells whether a worker answers nothing.
func (s *site) isCut(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var n int
	_, err := fmt.Sscanf(id, "w%d", &n)
	return err == nil && n < s.cut
}

// broken is a call that gets no answer in a time.
func broken(after time.Duration) error {
	time.Sleep(after)
	return gauge.Fail(gauge.KindUnknown, "no answer")
}

func (s *site) Stop(_ context.Context, w *gauge.Worker, _ gauge.StopCall) (time.Duration, error) {
	if s.isCut(w.ID) {
		return 0, broken(300 * time.Millisecond)
	}
	return s.clock(), nil
}

func (s *site) Hold(ctx context.Context, w *gauge.Worker, c gauge.HoldCall) (*gauge.WorkerReport, error) {
	if s.isCut(w.ID) {
		return nil, broken(800*time.Millisecond + c.Wait)
	}
	s.mu.Lock()
	s.holds++
	l := s.life(w.ID)
	for len(l.ended) > 0 && l.ended[0].Number <= c.LastSeen {
		l.ended = l.ended[1:]
	}
	wait, news := len(l.ended) == 0 && c.Wait > 0, s.news
	s.mu.Unlock()
	if wait {
		select {
		case <-ctx.Done():
			return nil, gauge.Fail(gauge.KindUnknown, "broken off")
		case <-news:
		case <-time.After(c.Wait):
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listed += len(l.ended)
	return &gauge.WorkerReport{
		Clock: s.clock(), Running: append([]gauge.RunReport(nil), l.runs...), Ended: append([]gauge.EndReport(nil), l.ended...),
	}, nil
}

func (s *site) Start(ctx context.Context, w *gauge.Worker, c gauge.StartCall) (time.Duration, error) {
	s.mu.Lock()
	s.starts++
	takes := s.takes
	s.mu.Unlock()
	if takes > 0 {
		select {
		case <-ctx.Done():
			return 0, gauge.Fail(gauge.KindUnknown, "broken off")
		case <-time.After(takes):
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.life(w.ID)
	l.runs = append(l.runs, gauge.RunReport{Task: c.Task, Run: c.Run})
	return s.clock(), nil
}

// finish ends all that runs, at the most so many.
func (s *site) finish(most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.lives {
		n := min(most, len(l.runs))
		for _, r := range l.runs[:n] {
			l.number++
			l.ended = append(l.ended, gauge.EndReport{Number: l.number, Task: r.Task, Run: r.Run, How: gauge.EndDone})
		}
		l.runs = l.runs[n:]
		most -= n
	}
	close(s.news)
	s.news = make(chan struct{})
}

// counts are the starts and the holds that were sent.
func (s *site) counts() (starts, holds int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.starts, s.holds
}

// rig is an owner at work, with time that passes only when all wait.
type rig struct {
	owner *owner.Owner
	table *table
	site  *site
	began time.Time
	mu    sync.Mutex
	logs  []string
	lags  int             // times that a successor was asked for, as orders lag
	stuck []time.Duration // the same as writes failed, and for how long they had
	end   func()
}

const (
	workerCount = 10
	workerRoom  = 40 // tasks
	queueName   = "sheets"
	firstJob    = 0x100 // above the owner's fencing token
)

func newRig(t *testing.T) *rig { return newRigStuckAfter(t, time.Hour) }

func newRigStuckAfter(t *testing.T, after time.Duration) *rig {
	now := time.Now()
	g := &rig{
		table: &table{takes: 10 * time.Millisecond, version: 2, jobs: make(map[string]*gauge.JobRow)},
		site:  &site{began: now, lives: make(map[string]*life), news: make(chan struct{})}, began: now,
	}
	log := funcr.New(func(_, line string) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.logs = append(g.logs, line)
	}, funcr.Options{})
	clock := func() int64 { return g.now().Milliseconds() }
	ctx, cancel := context.WithCancel(t.Context())
	g.owner = owner.New(ctx, owner.Config{
		Pool: "p", Store: g.table, Workers: g.site, Logs: log, Now: g.now, Wall: time.Now, Fence: 2,
		Lease: tenure.New(tenure.Config{Lasts: 2 * time.Second, Taken: g.now(), Version: 2, Store: g.table, Now: g.now, Clock: clock}),
		Grace: 6 * time.Second, Hold: 4 * time.Second, Stamp: func(gauge.Stamp, time.Duration) {},
		Clock: clock, Count: func(string, time.Duration) {}, Event: func(string) {},
	})
	g.owner.OnStuck(after, func(failing time.Duration) {
		g.mu.Lock()
		defer g.mu.Unlock()
		if failing > 0 {
			g.stuck = append(g.stuck, failing)
			return
		}
		g.lags++
	})
	var list []gauge.Worker
	for i := range workerCount {
		list = append(list, gauge.Worker{ID: fmt.Sprint("w", i), Pool: "p", Capacity: gauge.Resources{MilliCPU: workerRoom, MemoryMB: workerRoom}})
	}
	var group sync.WaitGroup
	group.Go(func() {
		g.owner.Run(&gauge.Site{Queues: []gauge.Queue{{Name: queueName, Pool: "p", MaxAttempts: 2, Stretch: 2}}}, list)
	})
	g.end = func() {
		cancel()
		group.Wait()
	}
	g.pass(time.Second)
	return g
}

// now is a steady clock that doesn't begin at 0, which stands for never.
func (g *rig) now() time.Duration { return time.Minute + time.Since(g.began) }

// pass lets time go by, with all that happens in it.
func (g *rig) pass(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// adopt hands in jobs of one task each.
func (g *rig) adopt(t *testing.T, from, count int) {
	t.Helper()
	spec := &gauge.JobSpec{Steps: []gauge.Step{{Count: 1, Needs: gauge.Resources{MilliCPU: 1, MemoryMB: 1}, Estimate: time.Second}}}
	for i := range count {
		n := firstJob + from + i
		row := &gauge.JobRow{State: gauge.JobPending, Pool: "p", Accepted: g.now().Milliseconds()}
		if !g.owner.Adopt(fmt.Sprintf("%016x", n), queueName, spec, row, int64(n)) {
			t.Fatal("the owner takes no jobs")
		}
	}
}

// full makes an owner with so many tasks at work, all starts of which are written.
func full(t *testing.T, tasks int) *rig {
	t.Helper()
	g := newRig(t)
	g.adopt(t, 0, tasks)
	g.pass(5 * time.Second)
	if n, _ := g.site.counts(); n != tasks {
		t.Fatalf("%d tasks started, not %d", n, tasks)
	}
	return g
}
