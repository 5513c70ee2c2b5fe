package claim

import (
	"context"
	"strings"

	"github.com/cenkalti/backoff/v5"

	gauge "sapphiregauge"
)

// storeLongBody moves a long body into the object store. The object's name holds the whole key, so
// a retry writes the same object.
func (c *Claims) storeLongBody(ctx context.Context, k gauge.ClaimKey, a *gauge.AcceptedRequest) error {
	if a == nil || len(a.Body) <= c.conf.Inline {
		return nil
	}
	name := "body/" + k.Day + "/" + k.Team + "/" + k.ID
	if err := c.conf.Objects.Store(ctx, name, a.Body); err != nil {
		return gauge.Errorf(gauge.KindOutage, "the body could not be stored").WithCause(err)
	}
	a.Object, a.Body = name, nil
	return nil
}

func (c *Claims) storeLongOutcome(ctx context.Context, k gauge.ClaimKey, o *gauge.Outcome) error {
	if len(o.Body) <= c.conf.Inline {
		return nil
	}
	name := "answer/" + k.Day + "/" + k.Team + "/" + k.ID
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		return struct{}{}, c.conf.Objects.Store(ctx, name, o.Body)
	}, backoff.WithBackOff(retryBackOff()), backoff.WithMaxElapsedTime(0))
	if err != nil {
		return err
	}
	o.Object, o.Body = name, nil
	return nil
}

// FetchBody returns the body of an accepted request.
func (c *Claims) FetchBody(ctx context.Context, a *gauge.AcceptedRequest) ([]byte, error) {
	if a.Object == "" {
		return a.Body, nil
	}
	return c.conf.Objects.Fetch(ctx, a.Object)
}

// FetchAnswer returns the body of a stored answer.
func (c *Claims) FetchAnswer(ctx context.Context, o *gauge.Outcome) ([]byte, error) {
	if o.Object == "" {
		return o.Body, nil
	}
	return c.conf.Objects.Fetch(ctx, o.Object)
}

// UnfinishedByEntry lists the asynchronous claims that aren't done, by entry (ID/start ID).
func (c *Claims) UnfinishedByEntry(ctx context.Context) (map[string][]gauge.ClaimKey, error) {
	rows, err := c.conf.Table.Scan(ctx, "async/")
	if err != nil {
		return nil, err
	}
	out := make(map[string][]gauge.ClaimKey)
	for _, r := range rows {
		const parts = 6 // async, ID, start ID, day, team, key
		p := strings.Split(r.Key, "/")
		if len(p) != parts {
			continue
		}
		entry := p[1] + "/" + p[2]
		out[entry] = append(out[entry], gauge.ClaimKey{Day: p[3], Team: p[4], ID: p[5]})
	}
	return out, nil
}

// sweepBatch bounds one transaction of a sweep.
const sweepBatch = 100

// Sweep deletes the claims of a day whose keys are no longer accepted. It returns how many it
// deleted.
func (c *Claims) Sweep(ctx context.Context, day string) (int, error) {
	rows, err := c.conf.Table.Scan(ctx, "claim/"+day+"/")
	if err != nil {
		return 0, err
	}
	for begin := 0; begin < len(rows); begin += sweepBatch {
		var t gauge.Txn
		for _, r := range rows[begin:min(begin+sweepBatch, len(rows))] {
			t.Puts = append(t.Puts, gauge.Put{Key: r.Key})
		}
		if err := c.conf.Table.Commit(ctx, t); err != nil {
			return begin, err
		}
	}
	return len(rows), nil
}
