package serve

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	gauge "sapphiregauge"
	"sapphiregauge/internal/claim"
)

// hashOf tells two requests under one key apart.
func hashOf(r *gauge.Request) uint64 {
	h := xxhash.New()
	for _, s := range []string{r.Service, r.Path, r.Type} {
		_, _ = h.WriteString(s + "\x00")
	}
	_, _ = h.Write(r.Body)
	return h.Sum64()
}

// Accept stores an asynchronous request and starts it. From then on it is run
// even if this entry dies.
func (p *Path) Accept(ctx context.Context, r *gauge.Request) (gauge.ClaimKey, error) {
	if err := p.begin(); err != nil {
		return gauge.ClaimKey{}, err
	}
	defer p.running.Done()
	t, err := p.admit(r)
	if err != nil {
		return gauge.ClaimKey{}, err
	}
	key, err := gauge.Key(p.conf.Clock(), r.Team, r.ID)
	if err != nil {
		return key, gauge.Refuse(nil, gauge.KindInvalid, gauge.AsError(err).Reason, 0)
	}
	held, mine, err := p.claim(ctx, key, gauge.ClaimAccepted, r, &gauge.Accepted{
		Service: r.Service, Path: r.Path, Type: r.Type, Class: t.declared, Repeatable: r.Repeatable,
		Timeout: r.Deadline.Sub(t.began), Body: r.Body,
	})
	if err != nil {
		return key, err
	}
	if !mine {
		return key, p.reused(held, hashOf(r))
	}
	p.after(func(context.Context) { p.finish(t, held) })
	return key, nil
}

func (p *Path) reused(h claim.Held, hash uint64) error {
	if h.Claim.Hash != hash {
		return gauge.Refuse(nil, gauge.KindReused, "the idempotency key belongs to another request", 0)
	}
	return nil
}

// finish runs an accepted request to its end. Before anything is dispatched the
// claim is moved on; if another entry has taken it over, nothing is done here.
func (p *Path) finish(t *task, held claim.Held) {
	ctx, cancel := context.WithDeadline(context.Background(), t.req.Deadline)
	defer cancel()
	moved, mine, err := p.conf.Claims.Move(ctx, held, gauge.ClaimRunning)
	if err != nil || !mine {
		// Left as accepted, the claim is found by the search for orphans.
		p.conf.Logs.Info("accepted request not started here", "request", held.Key.ID, "mine", mine)
		return
	}
	resp, _, err := p.run(ctx, t)
	p.ended(t, resp, err)
	store, stop := context.WithTimeout(context.Background(), storeFor)
	defer stop()
	if err := p.conf.Claims.Finish(store, moved, outcomeOf(resp, err)); err != nil {
		p.conf.Logs.Error(err, "answer not stored", "request", held.Key.ID)
	}
}

// Takeover goes on with a claim whose entry is gone. What was not dispatched
// yet is run; what may have been dispatched is run again only if it may be
// repeated, else it ends as unknown. The move of the claim fences the old
// entry: should it only have been paused, its own move fails.
func (p *Path) Takeover(ctx context.Context, key gauge.ClaimKey) error {
	if err := p.begin(); err != nil {
		return err
	}
	defer p.running.Done()
	held, err := p.conf.Claims.Read(ctx, key)
	if err != nil {
		return err
	}
	a := held.Claim.Accept
	if a == nil || held.Claim.State == gauge.ClaimDone || p.conf.Lives(held.Claim.Entry) {
		return nil
	}
	if held.Claim.State == gauge.ClaimRunning && !a.Repeatable {
		moved, mine, err := p.conf.Claims.Move(ctx, held, gauge.ClaimRunning)
		if err != nil || !mine {
			return err
		}
		lost := gauge.Fail(gauge.KindUnknown, "the entry that ran the request is gone")
		return p.conf.Claims.Finish(ctx, moved, outcomeOf(gauge.Response{}, lost))
	}
	t, err := p.revive(ctx, key, a)
	if err != nil {
		return err
	}
	p.conf.Logs.Info("request taken over", "request", key.ID, "from", held.Claim.Entry)
	p.after(func(context.Context) { p.finish(t, held) })
	return nil
}

func (p *Path) revive(ctx context.Context, key gauge.ClaimKey, a *gauge.Accepted) (*task, error) {
	body, err := p.conf.Claims.Body(ctx, a)
	if err != nil {
		return nil, err
	}
	return p.admit(&gauge.Request{
		ID: key.ID, Team: key.Team, Service: a.Service, Path: a.Path, Type: a.Type,
		Class: a.Class, Repeatable: a.Repeatable, Async: true, Body: body,
		Deadline: p.conf.Clock().Add(a.Timeout),
	})
}

// Lookup returns what became of a claimed request.
func (p *Path) Lookup(ctx context.Context, team, id string) (gauge.Response, error) {
	key, err := gauge.Key(p.conf.Clock(), team, id)
	if err != nil {
		return gauge.Response{}, err
	}
	held, err := p.conf.Claims.Read(ctx, key)
	if err != nil {
		return gauge.Response{}, gauge.Fail(gauge.KindOutage, "the platform's table does not answer").Because(err).After(time.Second)
	}
	if held.Claim.State == "" {
		return gauge.Response{}, gauge.Fail(gauge.KindMissing, "no request is known by that key")
	}
	return p.told(ctx, held, held.Claim.Hash)
}

// told answers from a claim that is somebody else's.
func (p *Path) told(ctx context.Context, h claim.Held, hash uint64) (gauge.Response, error) {
	if err := p.reused(h, hash); err != nil {
		return gauge.Response{}, err
	}
	if h.Claim.State == gauge.ClaimDone {
		return p.stored(ctx, h.Claim.Result)
	}
	if h.Claim.Accept == nil && !p.conf.Lives(h.Claim.Entry) {
		return gauge.Response{}, gauge.Fail(gauge.KindUnknown, "the entry that ran the request is gone")
	}
	return gauge.Response{}, gauge.Fail(gauge.KindProgress, "the request is running").After(time.Second)
}

func (p *Path) stored(ctx context.Context, o *gauge.Outcome) (gauge.Response, error) {
	if err := o.Err(); err != nil {
		return gauge.Response{}, err
	}
	body, err := p.conf.Claims.Answer(ctx, o)
	if err != nil {
		return gauge.Response{}, gauge.Fail(gauge.KindProgress, "the stored answer can't be read now").Because(err).After(time.Second)
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
