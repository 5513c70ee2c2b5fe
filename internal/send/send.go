// Package send hands a request to one worker and takes its whole answer. It
// knows whether a worker may have run the request, and trusts no answer that is
// cut short, too long or labelled with another request's id. It never repeats:
// that is decided by its caller alone.
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
	Answer int           // bytes of the longest answer
	Idle   time.Duration // longest rest of a connection
	Clock  gauge.Clock
}

// Headers of the protocol between entries and workers. A worker echoes the id;
// "X-Ran: no" is its proof that it did not run the request.
const (
	headerID       = "X-Request-Id"
	headerRan      = "X-Ran"
	headerTeam     = "X-Team"
	headerClass    = "X-Class"
	headerDeadline = "X-Timeout-Ms"
	headerTrace    = "Traceparent"
	ranNo          = "no"
)

// lastStatus is the highest status that HTTP knows.
const lastStatus = 599

// Sender implements gauge.Dispatcher.
type Sender struct {
	conf Config
	pool *exch.Pool
}

// New makes a Sender.
func New(c Config) *Sender {
	return &Sender{conf: c, pool: exch.New(exch.Config{Answer: c.Answer, Idle: c.Idle, Clock: c.Clock})}
}

// Close drops the resting connections.
func (s *Sender) Close() { s.pool.Close() }

// Drop closes the resting connections to a worker that left or fell silent.
func (s *Sender) Drop(addr string) { s.pool.Drop(addr) }

// Dispatch sends r to t. A request that must not be repeated gets a fresh
// connection: a resting one may have been closed at the other end, and then
// nobody can tell whether the request was read.
func (s *Sender) Dispatch(ctx context.Context, t gauge.Target, r *gauge.Request) (gauge.Response, gauge.Attempt, error) {
	req, resp := new(fasthttp.Request), new(fasthttp.Response)
	s.fill(req, t, r)
	sent, err := s.pool.Do(ctx, t.Addr, req, resp, !r.Repeatable)
	a := gauge.Attempt{Target: t, Sent: sent}
	if err != nil {
		s.suspect(t.Addr, sent)
		a.Kind = kindOf(ctx, sent)
		return gauge.Response{}, a, gauge.Fail(a.Kind, "worker %s gave no whole answer", t.Host).Because(err)
	}
	return s.read(t, r, resp, a)
}

func (s *Sender) fill(req *fasthttp.Request, t gauge.Target, r *gauge.Request) {
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

func (s *Sender) read(t gauge.Target, r *gauge.Request, resp *fasthttp.Response, a gauge.Attempt) (gauge.Response, gauge.Attempt, error) {
	if id := string(resp.Header.Peek(headerID)); id != r.ID {
		// Somebody else's answer: the connection is out of step.
		s.pool.Drop(t.Addr)
		a.Kind = gauge.KindUnknown
		return gauge.Response{}, a, gauge.Fail(a.Kind, "worker %s answered for request %q", t.Host, id)
	}
	if string(resp.Header.Peek(headerRan)) == ranNo {
		a.Refused = true
		a.Kind = gauge.KindFull
		return gauge.Response{}, a, gauge.Fail(a.Kind, "worker %s refused the request", t.Host)
	}
	out := gauge.Response{
		Status: resp.StatusCode(),
		Type:   string(resp.Header.ContentType()),
		Host:   t.Host,
		Body:   resp.Body(), // resp is not reused: the body is ours
	}
	if out.Status < http.StatusOK || out.Status > lastStatus {
		s.pool.Drop(t.Addr)
		a.Kind = gauge.KindUnknown
		return gauge.Response{}, a, gauge.Fail(a.Kind, "worker %s answered with status %d, which is none", t.Host, out.Status)
	}
	if out.Status >= http.StatusInternalServerError {
		a.Kind = gauge.KindFailed
		return out, a, gauge.Fail(a.Kind, "worker %s answered with status %d", t.Host, out.Status)
	}
	return out, a, nil
}

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

// suspect handles a connection that gave no answer: other connections to the
// worker may be silent for the same reason while new ones work, and would each
// cost a request its deadline. All resting ones are closed; it costs a connect
// each.
func (s *Sender) suspect(addr string, sent bool) {
	if sent {
		s.pool.Drop(addr)
	}
}
