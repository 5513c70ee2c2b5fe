// Package serve takes a request from admission to its final answer: it acquires quota, claims
// the request, acquires a slot on a worker, dispatches, retries and stores the outcome.
package serve

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	gauge "sapphiregauge"
	"sapphiregauge/internal/broker"
	"sapphiregauge/internal/burn"
	"sapphiregauge/internal/claim"
	"sapphiregauge/internal/desk"
	"sapphiregauge/internal/holds"
	"sapphiregauge/internal/meter"
	"sapphiregauge/internal/sizer"
)

// Config sets up a Server.
type Config struct {
	Clock gauge.Clock
	Logs  logr.Logger
	State func() gauge.State
	// IsStateCurrent reports whether State was recently confirmed to be the newest; nil means
	// that it always is.
	IsStateCurrent func() bool
	Desk           func(name string) *desk.Desk
	Send           gauge.Dispatcher
	Claims         *claim.Claims
	Meter          *meter.Meter
	Burn           *burn.Book
	Holds          *holds.Book
	// MayBeAlive reports whether an entry (id/run) may still be running requests.
	MayBeAlive func(entry string) bool
}

// Server runs requests on workers.
type Server struct {
	conf Config

	sizeMu sync.Mutex
	sizes  *sizer.Sizer

	mu       sync.Mutex
	draining bool
	running  sync.WaitGroup // requests, and the work that follows their answers
}

// New returns a Server.
func New(c Config) *Server { return &Server{conf: c, sizes: sizer.New()} }

// Drain refuses new requests from now on and waits for those in progress. It returns an error
// of KindDraining if ctx ends before they do.
func (p *Server) Drain(ctx context.Context) error {
	p.mu.Lock()
	p.draining = true
	p.mu.Unlock()
	done := make(chan struct{})
	go func() {
		p.running.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return gauge.Fail(gauge.KindDraining, "requests are still running").Because(ctx.Err())
	}
}

// begin registers a request, so that Drain waits for it.
func (p *Server) begin() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.draining {
		return gauge.Refuse(nil, gauge.KindDraining, "this entry is shutting down", time.Second)
	}
	p.running.Add(1)
	return nil
}

// call is an admitted request with the configuration that applies to it.
type call struct {
	req      *gauge.Request
	svc      *gauge.Service
	desk     *desk.Desk
	team     *desk.Desk // nil: the team has no quota
	declared gauge.Class
	began    time.Time
}

// Serve runs a request and returns its answer. Asynchronous requests go to Accept instead.
func (p *Server) Serve(ctx context.Context, r *gauge.Request) (gauge.Response, error) {
	if err := p.begin(); err != nil {
		return gauge.Response{}, err
	}
	defer p.running.Done()
	t, err := p.admit(r)
	if err != nil {
		return gauge.Response{}, err
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	resp, err := p.runOnce(ctx, t)
	p.recordEnd(t, resp, err)
	return resp, err
}

// recordEnd counts a request's final answer in the metrics and logs it.
func (p *Server) recordEnd(t *call, resp gauge.Response, err error) {
	p.conf.Logs.V(1).Info("request ended", "request", t.req.ID, "service", t.req.Service, "team", t.req.Team,
		"class", string(t.req.Class), "kind", string(kindOf(err)), "target", resp.Host, "revision", p.conf.State().Revision)
	p.conf.Meter.Request(t.req.Service, t.req.Class, p.conf.Clock().Sub(t.began), err)
	p.conf.Burn.Note(t.req.Service, err)
	if err != nil && gauge.AsError(err).Ran() == gauge.RanNo {
		p.conf.Holds.Work(holds.NotRun, "the last refusal ("+string(gauge.KindOf(err))+") was of a request of which no byte was accepted")
	}
}

// kindOf returns the kind of an error, or "" for nil.
func kindOf(err error) gauge.Kind {
	if err == nil {
		return ""
	}
	return gauge.KindOf(err)
}

// admit checks the request against the configuration in force. It bounds the deadline by the
// service's limit and sets the class that the request is treated as.
func (p *Server) admit(r *gauge.Request) (*call, error) {
	s := p.conf.State()
	if s.Revision == 0 {
		return nil, gauge.Refuse(nil, gauge.KindUnready, "no configuration is in force here yet", time.Second)
	}
	svc := s.Service(r.Service)
	if svc == nil {
		return nil, p.refuseUndeclared(gauge.KindMissing, "there is no service "+r.Service)
	}
	if len(r.Body) > svc.Body {
		return nil, gauge.Refuse(nil, gauge.KindLarge, "the body is over the service's bound", 0)
	}
	now := p.conf.Clock()
	if latest := now.Add(svc.Limit); r.Deadline.IsZero() || r.Deadline.After(latest) {
		r.Deadline = latest
	}
	t := &call{req: r, svc: svc, desk: p.conf.Desk(svc.Pool), declared: r.Class, began: now}
	if t.desk == nil {
		return nil, gauge.Refuse(nil, gauge.KindUnready, "pool "+svc.Pool+" is not in force here yet", time.Second)
	}
	teams := len(s.Names(gauge.RecordTeam))
	t.team = p.conf.Desk(broker.Quota(r.Team))
	if teams > 0 && s.Team(r.Team) == nil {
		return nil, p.refuseUndeclared(gauge.KindDenied, "team "+r.Team+" is not declared")
	}
	p.sizeMu.Lock()
	r.Class = p.sizes.Class(r.Service, r.Team, r.Class)
	p.sizeMu.Unlock()
	return t, nil
}

// refuseUndeclared refuses a request for a service or team that isn't in force here. The
// refusal is permanent, so that callers don't retry, only if the configuration is known to be
// the newest; otherwise the record may have been added in the meantime.
func (p *Server) refuseUndeclared(kind gauge.Kind, reason string) error {
	if p.conf.IsStateCurrent != nil && !p.conf.IsStateCurrent() {
		return gauge.Refuse(nil, gauge.KindUnready, reason+" here, and whether elsewhere isn't known at the moment", time.Second)
	}
	return gauge.Refuse(nil, kind, reason, 0)
}

// runOnce runs the request, under a claim if it is not repeatable.
func (p *Server) runOnce(ctx context.Context, t *call) (gauge.Response, error) {
	if t.req.Repeatable {
		resp, _, err := p.run(ctx, t)
		return resp, err
	}
	key, err := gauge.Key(p.conf.Clock(), t.req.Team, t.req.ID)
	if err != nil {
		return gauge.Response{}, gauge.Refuse(nil, gauge.KindInvalid, gauge.AsError(err).Reason, 0)
	}
	held, inserted, err := p.claim(ctx, key, gauge.ClaimRunning, t.req, nil)
	if err != nil {
		return gauge.Response{}, err
	}
	if !inserted {
		return p.answerFromClaim(ctx, held, requestHash(t.req))
	}
	return p.runClaimed(ctx, t, held)
}

// claim inserts the claim of a request and reports whether it did; otherwise it returns the
// claim that was there. On an error nothing was dispatched.
func (p *Server) claim(ctx context.Context, key gauge.ClaimKey, state gauge.ClaimState, r *gauge.Request, a *gauge.Accepted) (claim.Held, bool, error) {
	held, inserted, err := p.conf.Claims.Claim(ctx, key, state, requestHash(r), a)
	if err == nil {
		p.conf.Holds.Work(holds.Once, "the last claim was confirmed before anything was sent")
		return held, inserted, nil
	}
	if held.Claim.Token != "" {
		p.inBackground(func(ctx context.Context) { p.conf.Claims.Abandon(ctx, held) })
	}
	p.conf.Logs.Info("claim failed", "request", key.ID, "reason", err.Error())
	return held, false, gauge.Refuse(nil, gauge.KindOutage, "the platform's table does not confirm claims", time.Second)
}

// runClaimed runs a claimed request and stores its outcome.
func (p *Server) runClaimed(ctx context.Context, t *call, held claim.Held) (gauge.Response, error) {
	resp, attempts, err := p.run(ctx, t)
	if err != nil && !attempts.MayHaveRun() {
		p.inBackground(func(ctx context.Context) { _ = p.conf.Claims.Drop(ctx, held) })
		return resp, err
	}
	p.inBackground(func(ctx context.Context) {
		if err := p.conf.Claims.Finish(ctx, held, outcomeOf(resp, err)); err != nil {
			p.conf.Logs.Error(err, "answer not stored", "request", held.Key.ID)
		}
	})
	return resp, err
}

// storeTimeout bounds how long an answer is held in memory during a table outage.
const storeTimeout = 10 * time.Minute

// inBackground runs the work that follows an answer without keeping the caller waiting. A
// graceful shutdown waits for it.
func (p *Server) inBackground(work func(context.Context)) {
	p.running.Add(1)
	go func() {
		defer p.running.Done()
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		work(ctx)
	}()
}
