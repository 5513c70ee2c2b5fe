// Package client is for programs that call sapphiregauge: callers who want a
// request served, and operators who change and look at records.
package client

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	gauge "sapphiregauge"
	"sapphiregauge/internal/exch"
	"sapphiregauge/internal/fill"
)

// Config sets up a Client.
type Config struct {
	Addr  string // ip:port of an entry or of the balancer before the entries
	Key   string // the operators' key; callers need none
	Team  string // sent with each call
	Limit int    // bytes of the longest answer; default 16 MiB
}

const defaultLimit = 16 << 20

// Client talks to an entry.
type Client struct {
	conf Config
	pool *exch.Pool
}

// New makes a Client.
func New(c Config) *Client {
	fill.Zero(&c.Limit, defaultLimit)
	return &Client{conf: c, pool: exch.New(exch.Config{Answer: c.Limit})}
}

// Close drops the resting connections.
func (c *Client) Close() { c.pool.Close() }

// NewKey makes an idempotency key.
func NewKey() string { return uuid.Must(uuid.NewV7()).String() }

// Call is one request to a service.
type Call struct {
	Service string
	Path    string // below the service, with the query
	Key     string // idempotency key; empty: none
	Once    bool   // must not be repeated; needs a key
	Async   bool   // answered with a place to look; needs a key
	Long    bool
	Timeout time.Duration
	Type    string
	Body    []byte
}

// Reply is an answer as it came.
type Reply struct {
	Status int
	Host   string // the worker that ran it
	Type   string
	Body   []byte
	Place  string        // of an accepted request
	Again  time.Duration // when to ask again; 0: not said
	Ran    gauge.Ran
}

// Do makes a call and returns the answer, also if it is an error's.
func (c *Client) Do(ctx context.Context, call Call) (Reply, error) {
	req := c.request(http.MethodPost, "/v1/services/"+url.PathEscape(call.Service)+call.Path, call.Body)
	set(req, "Idempotency-Key", call.Key)
	set(req, "Content-Type", call.Type)
	if call.Once {
		req.Header.Set("X-Repeatable", "no")
	}
	if call.Async {
		req.Header.Set("Prefer", "respond-async")
	}
	if call.Long {
		req.Header.Set("X-Class", string(gauge.ClassLong))
	}
	if call.Timeout > 0 {
		req.Header.Set("X-Timeout", call.Timeout.String())
	}
	return c.do(ctx, req)
}

// Look asks what became of a request.
func (c *Client) Look(ctx context.Context, key string) (Reply, error) {
	return c.do(ctx, c.request(http.MethodGet, "/v1/requests/"+url.PathEscape(key), nil))
}

// Get asks an operators' question and decodes the answer.
func (c *Client) Get(ctx context.Context, path string, into any) error {
	return c.operate(ctx, c.request(http.MethodGet, "/admin/v1"+path, nil), into)
}

// Post gives an operators' command and decodes the answer.
func (c *Client) Post(ctx context.Context, path string, body, into any) error {
	b, err := json.Marshal(body)
	if err != nil {
		return gauge.Fail(gauge.KindInternal, "client.Post").Because(err)
	}
	return c.operate(ctx, c.request(http.MethodPost, "/admin/v1"+path, b), into)
}

func (c *Client) operate(ctx context.Context, req *fasthttp.Request, into any) error {
	r, err := c.do(ctx, req)
	if err != nil {
		return err
	}
	if r.Status >= http.StatusBadRequest {
		return errorOf(r)
	}
	if raw, ok := into.(*[]byte); ok {
		*raw = r.Body
		return nil
	}
	if err := json.Unmarshal(r.Body, into); err != nil {
		return gauge.Fail(gauge.KindInternal, "client: malformed answer").Because(err)
	}
	return nil
}

// errorOf reads the problem that an entry answered with.
func errorOf(r Reply) error {
	var p struct {
		Detail string       `json:"detail"`
		Kind   gauge.Kind   `json:"kind"`
		Faults gauge.Faults `json:"faults"`
	}
	if json.Unmarshal(r.Body, &p) != nil || p.Kind == "" {
		return gauge.Fail(gauge.KindInternal, "client: status %d", r.Status)
	}
	return &gauge.Error{Kind: p.Kind, Reason: p.Detail, Faults: p.Faults, Retry: r.Again}
}

func (c *Client) request(method, path string, body []byte) *fasthttp.Request {
	req := new(fasthttp.Request)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + c.conf.Addr + path)
	set(req, "X-Team", c.conf.Team)
	if c.conf.Key != "" {
		req.Header.Set("Authorization", "Bearer "+c.conf.Key)
	}
	req.SetBodyRaw(body)
	return req
}

func set(req *fasthttp.Request, name, value string) {
	if value != "" {
		req.Header.Set(name, value)
	}
}

func (c *Client) do(ctx context.Context, req *fasthttp.Request) (Reply, error) {
	resp := new(fasthttp.Response)
	if _, err := c.pool.Do(ctx, c.conf.Addr, req, resp, true); err != nil {
		return Reply{}, err
	}
	r := Reply{
		Status: resp.StatusCode(), Body: resp.Body(),
		Type: string(resp.Header.ContentType()), Host: string(resp.Header.Peek("X-Worker")),
		Place: string(resp.Header.Peek("Location")), Ran: gauge.Ran(resp.Header.Peek("X-Ran")),
	}
	if n, err := strconv.Atoi(string(resp.Header.Peek("Retry-After"))); err == nil {
		r.Again = time.Duration(n) * time.Second
	}
	return r, nil
}
