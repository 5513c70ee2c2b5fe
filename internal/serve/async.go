package serve

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	gauge "sapphiregauge"
	"sapphiregauge/internal/claim"
)

// requestHash identifies the content of a request, so that a second, different request
// under the same idempotency key is noticed.
func requestHash(r *gauge.Request) uint64 {
	h := xxhash.New()
	for _, s := range []string{r.Service, r.Path, r.Type} {
		_, _ = h.WriteString(s + "\x00")
	}
	_, _ = h.Write(r.Body)
	return h.Sum64()
}

// Accept stores an asynchronous request and starts it. Once it has returned without an
// error, the request is run even if this entry crashes.
func (s *Server) Accept(ctx context.Context, r *gauge.Request) (gauge.ClaimKey, error) {
	if err := s.begin(); err != nil {
		return gauge.ClaimKey{}, err
	}
	defer s.running.Done()
	c, err := s.admit(r)
	if err != nil {
		return gauge.ClaimKey{}, err
	}
	key, err := gauge.ParseIdempotencyKey(s.conf.Clock(), r.Team, r.ID)
	if err != nil {
		return key, gauge.Refuse(nil, gauge.KindInvalid, gauge.AsError(err).Reason, 0)
	}
	row, inserted, err := s.claim(ctx, key, gauge.ClaimAccepted, r, &gauge.AcceptedRequest{
		Service: r.Service, Path: r.Path, Type: r.Type, Class: c.declared, Repeatable: r.Repeatable,
		Timeout: r.Deadline.Sub(c.began), Body: r.Body,
	})
	if err != nil {
		return key, err
	}
	if !inserted {
		return key, s.checkReuse(row, requestHash(r))
	}
	s.inBackground(func(context.Context) { s.runAccepted(c, row) })
	return key, nil
}

// checkReuse returns an error of KindKeyReused if the claim belongs to a request with another hash.
func (s *Server) checkReuse(row claim.Row, hash uint64) error {
	if row.Claim.Hash != hash {
		return gauge.Refuse(nil, gauge.KindKeyReused, "the idempotency key belongs to another request", 0)
	}
	return nil
}

// runAccepted runs an accepted request to its end. Before anything is dispatched it moves
// the claim to the state running; if another entry has taken the claim over, it does nothing.
func (s *Server) runAccepted(c *call, row claim.Row) {
	ctx, cancel := context.WithDeadline(context.Background(), c.req.Deadline)
	defer cancel()
	running, owned, err := s.conf.Claims.Transition(ctx, row, gauge.ClaimRunning)
	if err != nil || !owned {
		// The claim stays in the state accepted; the search for orphaned claims finds it.
		s.conf.Logs.Info("accepted request not started here", "request", row.Key.ID, "mine", owned)
		return
	}
	resp, _, err := s.run(ctx, c)
	s.recordEnd(c, resp, err)
	storeCtx, cancelStore := context.WithTimeout(context.Background(), storeTimeout)
	defer cancelStore()
	if err := s.conf.Claims.StoreOutcome(storeCtx, running, outcomeOf(resp, err)); err != nil {
		s.conf.Logs.Error(err, "answer not stored", "request", row.Key.ID)
	}
}

// Takeover continues an accepted request whose entry is dead. A request that was not
// dispatched yet is run. One that may have been dispatched is run again only if it is
// repeatable; otherwise it ends with KindUnknown. Writing the claim fences the old entry:
// if it was only paused, its own write fails.
func (s *Server) Takeover(ctx context.Context, key gauge.ClaimKey) error {
	if err := s.begin(); err != nil {
		return err
	}
	defer s.running.Done()
	row, err := s.conf.Claims.Read(ctx, key)
	if err != nil {
		return err
	}
	a := row.Claim.Accept
	if a == nil || row.Claim.State == gauge.ClaimDone || s.conf.MayBeAlive(row.Claim.Entry) {
		return nil
	}
	if row.Claim.State == gauge.ClaimRunning && !a.Repeatable {
		running, owned, err := s.conf.Claims.Transition(ctx, row, gauge.ClaimRunning)
		if err != nil || !owned {
			return err
		}
		lost := gauge.Errorf(gauge.KindUnknown, "the entry that ran the request is gone")
		return s.conf.Claims.StoreOutcome(ctx, running, outcomeOf(gauge.Response{}, lost))
	}
	c, err := s.restore(ctx, key, a)
	if err != nil {
		return err
	}
	s.conf.Logs.Info("request taken over", "request", key.ID, "from", row.Claim.Entry)
	s.inBackground(func(context.Context) { s.runAccepted(c, row) })
	return nil
}

// restore rebuilds the request from its claim, with its full timeout counted from now.
func (s *Server) restore(ctx context.Context, key gauge.ClaimKey, a *gauge.AcceptedRequest) (*call, error) {
	body, err := s.conf.Claims.FetchBody(ctx, a)
	if err != nil {
		return nil, err
	}
	return s.admit(&gauge.Request{
		ID: key.ID, Team: key.Team, Service: a.Service, Path: a.Path, Type: a.Type,
		Class: a.Class, Repeatable: a.Repeatable, Async: true, Body: body,
		Deadline: s.conf.Clock().Add(a.Timeout),
	})
}

// Lookup returns the stored answer or error of a claimed request, an error of
// KindInProgress while it runs, and one of KindNotFound if the key is unknown.
func (s *Server) Lookup(ctx context.Context, team, id string) (gauge.Response, error) {
	key, err := gauge.ParseIdempotencyKey(s.conf.Clock(), team, id)
	if err != nil {
		return gauge.Response{}, err
	}
	row, err := s.conf.Claims.Read(ctx, key)
	if err != nil {
		return gauge.Response{}, gauge.Errorf(gauge.KindOutage, "the platform's table does not answer").WithCause(err).WithRetryAfter(time.Second)
	}
	if row.Claim.State == "" {
		return gauge.Response{}, gauge.Errorf(gauge.KindNotFound, "no request is known by that key")
	}
	return s.answerFromClaim(ctx, row, row.Claim.Hash)
}

// answerFromClaim answers a request from a claim that another request or entry inserted.
func (s *Server) answerFromClaim(ctx context.Context, row claim.Row, hash uint64) (gauge.Response, error) {
	if err := s.checkReuse(row, hash); err != nil {
		return gauge.Response{}, err
	}
	if row.Claim.State == gauge.ClaimDone {
		return s.storedAnswer(ctx, row.Claim.Result)
	}
	if row.Claim.Accept == nil && !s.conf.MayBeAlive(row.Claim.Entry) {
		return gauge.Response{}, gauge.Errorf(gauge.KindUnknown, "the entry that ran the request is gone")
	}
	return gauge.Response{}, gauge.Errorf(gauge.KindInProgress, "the request is running").WithRetryAfter(time.Second)
}

// storedAnswer returns the answer or the error that a finished claim holds.
func (s *Server) storedAnswer(ctx context.Context, o *gauge.Outcome) (gauge.Response, error) {
	if err := o.Err(); err != nil {
		return gauge.Response{}, err
	}
	body, err := s.conf.Claims.FetchAnswer(ctx, o)
	if err != nil {
		return gauge.Response{}, gauge.Errorf(gauge.KindInProgress, "the stored answer can't be read now").WithCause(err).WithRetryAfter(time.Second)
	}
	return gauge.Response{Status: o.Status, Type: o.Type, Host: o.Host, Body: body}, nil
}

func outcomeOf(r gauge.Response, err error) gauge.Outcome {
	if err == nil {
		return gauge.Outcome{Status: r.Status, Type: r.Type, Host: r.Host, Body: r.Body}
	}
	e := gauge.AsError(err)
	return gauge.Outcome{Kind: e.Kind, Reason: e.Reason, Ran: e.Ran()}
}
