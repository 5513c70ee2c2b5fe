// Package send sends a request to one worker and reads its answer. It reports whether the worker
// may have run the request, and rejects an answer that is truncated, too long or bears the ID of
// another request. It never retries; that is up to its caller.
package send

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	gauge "sapphiregauge"
	"sapphiregauge/internal/exch"
)

// Config sets up a Sender.
type Config struct {
	MaxAnswer int           // bytes
	MaxIdle   time.Duration // after which an idle connection is closed
	Clock     gauge.Clock
}

// Headers of the protocol between entries and workers. A worker echoes the id; with
// "X-Ran: no" it states that it did not run the request.
const (
	headerID       = "X-Request-Id"
	headerRan      = "X-Ran"
	headerTeam     = "X-Team"
	headerClass    = "X-Class"
	headerDeadline = "X-Timeout-Ms"
	headerTrace    = "Traceparent"
	ranNo          = "no"
)

// maxStatus is the highest status code of HTTP.
const maxStatus = 599

// Sender implements gauge.Dispatcher.
type Sender struct {
	conf Config
	pool *exch.Pool
}

// New returns a Sender.
func New(c Config) *Sender {
	return &Sender{conf: c, pool: exch.New(exch.Config{MaxBody: c.MaxAnswer, IdleTimeout: c.MaxIdle, Clock: c.Clock})}
}

// Close closes the idle connections.
func (s *Sender) Close() { s.pool.Close() }

// Drop closes the idle connections to a worker that left or stopped answering.
func (s *Sender) Drop(addr string) { s.pool.CloseIdle(addr) }

// Dispatch sends r to t. A request that is not repeatable gets a new connection: the worker may
// have closed an idle one, and then it is unknown whether it read the request. The error's kind
// is also in the Attempt.
func (s *Sender) Dispatch(ctx context.Context, t gauge.Target, r *gauge.Request) (gauge.Response, gauge.Attempt, error) {
	req, resp := new(fasthttp.Request), new(fasthttp.Response)
	s.fillRequest(req, t, r)
	sent, err := s.pool.Do(ctx, t.Addr, req, resp, !r.Repeatable)
	a := gauge.Attempt{Target: t, Sent: sent}
	if err != nil {
		s.dropIdle(t.Addr, sent)
		a.Kind = kindOf(ctx, sent)
		return gauge.Response{}, a, gauge.Errorf(a.Kind, "worker %s gave no whole answer", t.Host).WithCause(err)
	}
	return s.readAnswer(t, r, resp, a)
}

func (s *Sender) fillRequest(req *fasthttp.Request, t gauge.Target, r *gauge.Request) {
	req.Header.SetMethod(http.MethodPost)
	req.SetRequestURI("http://" + t.Addr + "/" + r.Service + r.Path)
	req.Header.Set(headerID, r.ID)
	req.Header.Set(headerTeam, r.Team)
	req.Header.Set(headerClass, string(r.Class))
	left := max(0, r.Deadline.Sub(s.conf.Clock()))
	req.Header.Set(headerDeadline, strconv.FormatInt(left.Milliseconds(), 10))
	if r.Trace != "" {
		req.Header.Set(headerTrace, r.Trace)
	}
	if r.Type != "" {
		req.Header.SetContentType(r.Type)
	}
	req.SetBodyRaw(r.Body)
}

func (s *Sender) readAnswer(t gauge.Target, r *gauge.Request, resp *fasthttp.Response, a gauge.Attempt) (gauge.Response, gauge.Attempt, error) {
	if id := string(resp.Header.Peek(headerID)); id != r.ID {
		// The answer to another request: requests and answers on the connection don't match.
		s.pool.CloseIdle(t.Addr)
		a.Kind = gauge.KindUnknown
		return gauge.Response{}, a, gauge.Errorf(a.Kind, "worker %s answered for request %q", t.Host, id)
	}
	if string(resp.Header.Peek(headerRan)) == ranNo {
		a.Refused = true
		a.Kind = gauge.KindNoSlot
		return gauge.Response{}, a, gauge.Errorf(a.Kind, "worker %s refused the request", t.Host)
	}
	out := gauge.Response{
		Status: resp.StatusCode(),
		Type:   string(resp.Header.ContentType()),
		Host:   t.Host,
		Body:   resp.Body(), // not copied, as resp is not reused
	}
	if out.Status < http.StatusOK || out.Status > maxStatus {
		s.pool.CloseIdle(t.Addr)
		a.Kind = gauge.KindUnknown
		return gauge.Response{}, a, gauge.Errorf(a.Kind, "worker %s answered with status %d, which is none", t.Host, out.Status)
	}
	if out.Status >= http.StatusInternalServerError {
		a.Kind = gauge.KindFailed
		return out, a, gauge.Errorf(a.Kind, "worker %s answered with status %d", t.Host, out.Status)
	}
	return out, a, nil
}

// kindOf returns the kind of a dispatch without an answer.
func kindOf(ctx context.Context, sent bool) gauge.Kind {
	switch {
	case !sent:
		return gauge.KindOutage
	case ctx.Err() == context.Canceled:
		return gauge.KindCancelled
	case ctx.Err() != nil:
		return gauge.KindExpired
	default:
		return gauge.KindUnknown
	}
}

// dropIdle handles a connection that gave no answer. The idle connections to the worker may be
// broken for the same reason while new ones work, and a request on each of them would wait until
// its deadline. So all of them are closed, at the cost of connecting again.
func (s *Sender) dropIdle(addr string, sent bool) {
	if sent {
		s.pool.CloseIdle(addr)
	}
}
