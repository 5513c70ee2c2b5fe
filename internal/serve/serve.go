// Package serve takes a request from admission to its final answer: it claims the request, takes a
// slot of its team's quota and one on a worker, dispatches it, retries and stores the outcome.
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
	Allocator      func(name string) *desk.Allocator
	Dispatcher     gauge.Dispatcher
	Claims         *claim.Claims
	Meter          *meter.Meter
	Burn           *burn.Recorder
	Promises       *holds.Recorder
	// MayBeAlive reports whether an entry (ID/start ID) may still be running requests.
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
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	done := make(chan struct{})
	go func() {
		s.running.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return gauge.Errorf(gauge.KindDraining, "requests are still running").WithCause(ctx.Err())
	}
}

// begin registers a request, so that Drain waits for it.
func (s *Server) begin() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return gauge.Refuse(nil, gauge.KindDraining, "this entry is shutting down", time.Second)
	}
	s.running.Add(1)
	return nil
}

// call is an admitted request with the configuration that applies to it.
type call struct {
	req      *gauge.Request
	svc      *gauge.Service
	slots    *desk.Allocator
	quota    *desk.Allocator // nil: the team has no quota
	declared gauge.Class
	began    time.Time
}

// Serve runs a request and returns its answer. Asynchronous requests go to Accept instead.
func (s *Server) Serve(ctx context.Context, r *gauge.Request) (gauge.Response, error) {
	if err := s.begin(); err != nil {
		return gauge.Response{}, err
	}
	defer s.running.Done()
	c, err := s.admit(r)
	if err != nil {
		return gauge.Response{}, err
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	resp, err := s.runOnce(ctx, c)
	s.recordEnd(c, resp, err)
	return resp, err
}

// recordEnd counts a request's final answer in the metrics and logs it.
func (s *Server) recordEnd(c *call, resp gauge.Response, err error) {
	s.conf.Logs.V(1).Info("request ended", "request", c.req.ID, "service", c.req.Service, "team", c.req.Team,
		"class", string(c.req.Class), "kind", string(kindOf(err)), "target", resp.Host, "revision", s.conf.State().Revision)
	s.conf.Meter.ObserveRequest(c.req.Service, c.req.Class, s.conf.Clock().Sub(c.began), err)
	s.conf.Burn.RecordResponse(c.req.Service, err)
	if err != nil && gauge.AsError(err).Ran() == gauge.RanNo {
		s.conf.Promises.RecordEvent(holds.TrueNotRun, "the last refusal ("+string(gauge.KindOf(err))+") was of a request of which no byte was accepted")
	}
}

// kindOf returns the kind of an error, or "" if it is nil.
func kindOf(err error) gauge.Kind {
	if err == nil {
		return ""
	}
	return gauge.KindOf(err)
}

// admit checks the request against the configuration in force. It bounds the deadline by the
// service's limit and sets the class that the request is treated as.
func (s *Server) admit(r *gauge.Request) (*call, error) {
	state := s.conf.State()
	if state.Revision == 0 {
		return nil, gauge.Refuse(nil, gauge.KindUnready, "no configuration is in force here yet", time.Second)
	}
	svc := state.Service(r.Service)
	if svc == nil {
		return nil, s.refuseUndeclared(gauge.KindNotFound, "there is no service "+r.Service)
	}
	if len(r.Body) > svc.MaxBody {
		return nil, gauge.Refuse(nil, gauge.KindTooLarge, "the body is over the service's bound", 0)
	}
	now := s.conf.Clock()
	if latest := now.Add(svc.MaxTimeout); r.Deadline.IsZero() || r.Deadline.After(latest) {
		r.Deadline = latest
	}
	c := &call{req: r, svc: svc, slots: s.conf.Allocator(svc.Pool), declared: r.Class, began: now}
	if c.slots == nil {
		return nil, gauge.Refuse(nil, gauge.KindUnready, "pool "+svc.Pool+" is not in force here yet", time.Second)
	}
	teams := len(state.RecordNames(gauge.RecordTeam))
	c.quota = s.conf.Allocator(broker.QuotaName(r.Team))
	if teams > 0 && state.Team(r.Team) == nil {
		return nil, s.refuseUndeclared(gauge.KindDenied, "team "+r.Team+" is not declared")
	}
	s.sizeMu.Lock()
	r.Class = s.sizes.Class(r.Service, r.Team, r.Class)
	s.sizeMu.Unlock()
	return c, nil
}

// refuseUndeclared refuses a request for a service or team that isn't in force here. The
// refusal is permanent, so that callers don't retry, only if the configuration is known to be
// the newest; otherwise the record may have been added in the meantime.
func (s *Server) refuseUndeclared(kind gauge.Kind, reason string) error {
	if s.conf.IsStateCurrent != nil && !s.conf.IsStateCurrent() {
		return gauge.Refuse(nil, gauge.KindUnready, reason+" here, and whether elsewhere isn't known at the moment", time.Second)
	}
	return gauge.Refuse(nil, kind, reason, 0)
}

// runOnce runs the request, under a claim if it is not repeatable.
func (s *Server) runOnce(ctx context.Context, c *call) (gauge.Response, error) {
	if c.req.Repeatable {
		resp, _, err := s.run(ctx, c)
		return resp, err
	}
	key, err := gauge.ParseIdempotencyKey(s.conf.Clock(), c.req.Team, c.req.ID)
	if err != nil {
		return gauge.Response{}, gauge.Refuse(nil, gauge.KindInvalid, gauge.AsError(err).Reason, 0)
	}
	row, inserted, err := s.claim(ctx, key, gauge.ClaimRunning, c.req, nil)
	if err != nil {
		return gauge.Response{}, err
	}
	if !inserted {
		return s.answerFromClaim(ctx, row, requestHash(c.req))
	}
	return s.runClaimed(ctx, c, row)
}

// claim inserts the claim of a request and reports whether it did; otherwise it returns the
// existing claim. On an error nothing was dispatched.
func (s *Server) claim(ctx context.Context, key gauge.ClaimKey, state gauge.ClaimState, r *gauge.Request, a *gauge.AcceptedRequest) (claim.Row, bool, error) {
	row, inserted, err := s.conf.Claims.Insert(ctx, key, state, requestHash(r), a)
	if err == nil {
		s.conf.Promises.RecordEvent(holds.AtMostOnce, "the last claim was confirmed before anything was sent")
		return row, inserted, nil
	}
	if row.Claim.Token != "" {
		s.inBackground(func(ctx context.Context) { s.conf.Claims.Abandon(ctx, row) })
	}
	s.conf.Logs.Info("claim failed", "request", key.ID, "reason", err.Error())
	return row, false, gauge.Refuse(nil, gauge.KindOutage, "the platform's table does not confirm claims", time.Second)
}

// runClaimed runs a claimed request and stores its outcome.
func (s *Server) runClaimed(ctx context.Context, c *call, row claim.Row) (gauge.Response, error) {
	resp, attempts, err := s.run(ctx, c)
	if err != nil && !attempts.MayHaveRun() {
		s.inBackground(func(ctx context.Context) { _ = s.conf.Claims.Delete(ctx, row) })
		return resp, err
	}
	s.inBackground(func(ctx context.Context) {
		if err := s.conf.Claims.StoreOutcome(ctx, row, outcomeOf(resp, err)); err != nil {
			s.conf.Logs.Error(err, "answer not stored", "request", row.Key.ID)
		}
	})
	return resp, err
}

// storeTimeout bounds how long an answer is held in memory during a table outage.
const storeTimeout = 10 * time.Minute

// inBackground runs the work that follows an answer without keeping the caller waiting. A
// graceful shutdown waits for it.
func (s *Server) inBackground(work func(context.Context)) {
	s.running.Add(1)
	go func() {
		defer s.running.Done()
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		work(ctx)
	}()
}
