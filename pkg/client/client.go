// Package client is the client library of sapphiregauge, for programs that send requests to its
// services and for operators' tools that read and change its configuration records.
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
	Addr  string // ip:port of an entry, or of a load balancer in front of the entries
	Key   string // the operators' key; callers need none
	Team  string // the caller's team, sent with each call
	Limit int    // maximum size of a response in bytes; default 16 MiB
}

const defaultMaxResponse = 16 << 20

// Client sends calls to an entry. It keeps idle connections for reuse.
type Client struct {
	conf Config
	pool *exch.Pool
}

// New makes a Client.
func New(c Config) *Client {
	fill.Zero(&c.Limit, defaultMaxResponse)
	return &Client{conf: c, pool: exch.New(exch.Config{MaxBody: c.Limit})}
}

// Close closes the idle connections.
func (c *Client) Close() { c.pool.Close() }

// NewKey returns a new idempotency key, a UUID of version 7.
func NewKey() string { return uuid.Must(uuid.NewV7()).String() }

// Call is one request to a service.
type Call struct {
	Service string
	Path    string // path below the service's own, query included
	Key     string // idempotency key; empty: none
	Once    bool   // must not be retried after a lost response; needs a key
	Async   bool   // answered at once with the URL of the result; needs a key
	Long    bool   // of the class of long requests
	Timeout time.Duration
	Type    string // content type of Body
	Body    []byte
}

// Reply is an entry's HTTP response.
type Reply struct {
	Status int
	Host   string // the worker that ran the request
	Type   string // content type of Body
	Body   []byte
	Place  string        // for an accepted asynchronous request, the URL of its result
	Again  time.Duration // delay before a retry, in whole seconds; 0: the response has none
	Ran    gauge.Ran     // whether a worker ran the request
}

// Do sends a call and returns the response, whatever its status. The error is non-nil if no
// response was received.
func (c *Client) Do(ctx context.Context, call Call) (Reply, error) {
	req := c.request(http.MethodPost, "/v1/services/"+url.PathEscape(call.Service)+call.Path, call.Body)
	setHeader(req, "Idempotency-Key", call.Key)
	setHeader(req, "Content-Type", call.Type)
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

// Look returns the state or the result of the request with the idempotency key.
func (c *Client) Look(ctx context.Context, key string) (Reply, error) {
	return c.do(ctx, c.request(http.MethodGet, "/v1/requests/"+url.PathEscape(key), nil))
}

// Get reads an operators' endpoint and decodes the JSON response. If into is a *[]byte, it receives
// the body as it is. A response of status 400 or above becomes a *gauge.Error.
func (c *Client) Get(ctx context.Context, path string, into any) error {
	return c.doAdmin(ctx, c.request(http.MethodGet, "/admin/v1"+path, nil), into)
}

// Post sends a JSON body to an operators' endpoint and handles the response as Get does.
func (c *Client) Post(ctx context.Context, path string, body, into any) error {
	b, err := json.Marshal(body)
	if err != nil {
		return gauge.Errorf(gauge.KindInternal, "client.Post").WithCause(err)
	}
	return c.doAdmin(ctx, c.request(http.MethodPost, "/admin/v1"+path, b), into)
}

func (c *Client) doAdmin(ctx context.Context, req *fasthttp.Request, into any) error {
	r, err := c.do(ctx, req)
	if err != nil {
		return err
	}
	if r.Status >= http.StatusBadRequest {
		return decodeError(r)
	}
	if raw, ok := into.(*[]byte); ok {
		*raw = r.Body
		return nil
	}
	if err := json.Unmarshal(r.Body, into); err != nil {
		return gauge.Errorf(gauge.KindInternal, "client: decode response").WithCause(err)
	}
	return nil
}

// decodeError decodes the problem details of an error response.
func decodeError(r Reply) error {
	var p struct {
		Detail string       `json:"detail"`
		Kind   gauge.Kind   `json:"kind"`
		Faults gauge.Faults `json:"faults"`
	}
	if json.Unmarshal(r.Body, &p) != nil || p.Kind == "" {
		return gauge.Errorf(gauge.KindInternal, "client: status %d", r.Status)
	}
	return &gauge.Error{Kind: p.Kind, Reason: p.Detail, Faults: p.Faults, RetryAfter: r.Again}
}

func (c *Client) request(method, path string, body []byte) *fasthttp.Request {
	req := new(fasthttp.Request)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + c.conf.Addr + path)
	setHeader(req, "X-Team", c.conf.Team)
	if c.conf.Key != "" {
		req.Header.Set("Authorization", "Bearer "+c.conf.Key)
	}
	req.SetBodyRaw(body)
	return req
}

func setHeader(req *fasthttp.Request, name, value string) {
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
