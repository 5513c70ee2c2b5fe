package machines_test

import (
	"context"
	"slices"
	"sync"
	"time"

	gauge "sapphiregauge"
)

// workerLink is one entry's link to the workers. A test can cut it off from some of them.
type workerLink struct {
	gauge.Workers

	mu        sync.Mutex
	unreached []string             // workers that no call reaches
	unheard   []string             // workers whose answers to heartbeats are lost
	grantedAt map[string]time.Time // when the last heartbeat that extends a worker's lease was sent
	started   map[string]bool      // tasks of which a start was answered
}

// through returns the calls to workers as they go through the link.
func (l *workerLink) through(workers gauge.Workers) gauge.Workers {
	if l == nil {
		return workers
	}
	l.Workers, l.grantedAt, l.started = workers, make(map[string]time.Time), make(map[string]bool)
	return l
}

// cut has neither calls nor answers arrive any more.
func (l *workerLink) cut(ids ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unreached = ids
}

// loseAnswers has the answers to heartbeats be lost from now on.
func (l *workerLink) loseAnswers(ids ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unheard = ids
}

// sinceGrant is how long ago the last heartbeat was sent that extends a worker's lease.
func (l *workerLink) sinceGrant(id string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.grantedAt[id])
}

func (l *workerLink) reaches(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !slices.Contains(l.unreached, id)
}

func (l *workerLink) hears(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !slices.Contains(l.unreached, id) && !slices.Contains(l.unheard, id)
}

func (l *workerLink) recordGrant(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.grantedAt[id] = time.Now()
}

// timeOut waits until a call's time is over.
func timeOut(ctx context.Context) error {
	<-ctx.Done()
	return gauge.Errorf(gauge.KindUnknown, "no answer").WithCause(ctx.Err())
}

func (l *workerLink) Heartbeat(ctx context.Context, w *gauge.Worker, c gauge.Heartbeat) (*gauge.WorkerReport, error) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout+c.Wait)
	defer cancel()
	if c.Until > 0 {
		l.recordGrant(w.ID)
	}
	if !l.reaches(w.ID) {
		return nil, timeOut(ctx)
	}
	report, err := l.Workers.Heartbeat(ctx, w, c)
	if !l.hears(w.ID) {
		return nil, timeOut(ctx)
	}
	return report, err
}

// order makes a call that doesn't wait.
func (l *workerLink) order(ctx context.Context, id string, call func(ctx context.Context) (time.Duration, error)) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if !l.reaches(id) {
		return 0, timeOut(ctx)
	}
	clock, err := call(ctx)
	if !l.reaches(id) {
		return 0, timeOut(ctx)
	}
	return clock, err
}

func (l *workerLink) Start(ctx context.Context, w *gauge.Worker, c gauge.StartCall) (time.Duration, error) {
	clock, err := l.order(ctx, w.ID, func(ctx context.Context) (time.Duration, error) { return l.Workers.Start(ctx, w, c) })
	l.mu.Lock()
	defer l.mu.Unlock()
	l.started[c.Task.String()] = l.started[c.Task.String()] || err == nil
	return clock, err
}

// hasStarted reports whether the entry has the answer to a start of a task.
func (l *workerLink) hasStarted(task string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.started[task]
}

func (l *workerLink) Stop(ctx context.Context, w *gauge.Worker, c gauge.StopCall) (time.Duration, error) {
	return l.order(ctx, w.ID, func(ctx context.Context) (time.Duration, error) { return l.Workers.Stop(ctx, w, c) })
}
