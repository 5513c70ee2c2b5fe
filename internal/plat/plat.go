// Package plat is a client of the platform's HTTP protocol: table, object store and host list.
// docs/PLATFORM.md describes the protocol; a site whose platform has another one replaces this
// package.
package plat

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/valyala/fasthttp"

	gauge "sapphiregauge"
	"sapphiregauge/internal/exch"
	"sapphiregauge/internal/fill"
)

// Config sets up a Client.
type Config struct {
	Addr    string        // ip:port of the platform's service
	Key     string        // sent as a bearer token; empty: no token is sent
	Timeout time.Duration // of one call; default 2 s
	Clock   gauge.Clock
}

const (
	defaultTimeout = 2 * time.Second
	answerLimit    = 64 << 20
)

// Client implements gauge.Table, gauge.Objects and gauge.Platform.
type Client struct {
	conf Config
	pool *exch.Pool
}

// New returns a Client.
func New(c Config) *Client {
	fill.Zero(&c.Timeout, defaultTimeout)
	return &Client{conf: c, pool: exch.New(exch.Config{MaxBody: answerLimit, Clock: c.Clock})}
}

// Close closes the idle connections.
func (c *Client) Close() { c.pool.Close() }

// Get returns one row.
func (c *Client) Get(ctx context.Context, key string) (gauge.Row, error) {
	rows, err := c.readRows(ctx, "/table/row?key="+url.QueryEscape(key))
	if err != nil {
		return gauge.Row{}, err
	}
	if len(rows) != 1 {
		return gauge.Row{}, gauge.Errorf(gauge.KindOutage, "plat.Get: %d rows for one key", len(rows))
	}
	return rows[0], nil
}

// Scan returns all rows whose keys have a prefix.
func (c *Client) Scan(ctx context.Context, prefix string) ([]gauge.Row, error) {
	return c.readRows(ctx, "/table/rows?prefix="+url.QueryEscape(prefix))
}

func (c *Client) readRows(ctx context.Context, path string) ([]gauge.Row, error) {
	var body rowsBody
	if err := c.readJSON(ctx, path, &body); err != nil {
		return nil, err
	}
	return body.Rows, nil
}

// Commit sends a transaction. If the answer is lost, the error is of KindUnknown.
func (c *Client) Commit(ctx context.Context, t gauge.Txn) error {
	body, err := json.Marshal(t)
	if err != nil {
		return gauge.Errorf(gauge.KindInternal, "plat.Commit").WithCause(err)
	}
	_, err = c.call(ctx, http.MethodPost, "/table/commit", body)
	return err
}

// Fetch returns an object.
func (c *Client) Fetch(ctx context.Context, name string) ([]byte, error) {
	b, err := c.call(ctx, http.MethodGet, "/objects/"+url.PathEscape(name), nil)
	return b, readError(err)
}

// Store writes an object. If the answer is lost, the error is of KindUnknown.
func (c *Client) Store(ctx context.Context, name string, body []byte) error {
	_, err := c.call(ctx, http.MethodPut, "/objects/"+url.PathEscape(name), body)
	return err
}

// List returns the host list.
func (c *Client) List(ctx context.Context) (gauge.HostList, error) {
	var body hostsBody
	if err := c.readJSON(ctx, "/hosts", &body); err != nil {
		return nil, err
	}
	return body.Hosts, nil
}

// Reboot requests a reboot of a host. Calls with the same token cause one reboot.
func (c *Client) Reboot(ctx context.Context, host, token string) error {
	body, err := json.Marshal(tokenBody{Token: token})
	if err != nil {
		return gauge.Errorf(gauge.KindInternal, "plat.Reboot").WithCause(err)
	}
	_, err = c.call(ctx, http.MethodPost, "/hosts/"+url.PathEscape(host)+"/reboot", body)
	return err
}

func (c *Client) readJSON(ctx context.Context, path string, value any) error {
	b, err := c.call(ctx, http.MethodGet, path, nil)
	if err != nil {
		return readError(err)
	}
	if err := json.Unmarshal(b, value); err != nil {
		return gauge.Errorf(gauge.KindOutage, "plat: answer of %s", path).WithCause(err)
	}
	return nil
}

// readError converts the error of a lost answer to KindOutage: a read has no effect that could be
// unknown.
func readError(err error) error {
	if gauge.IsKind(err, gauge.KindUnknown) {
		return gauge.Errorf(gauge.KindOutage, "read got no answer").WithCause(err)
	}
	return err
}

func (c *Client) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.conf.Timeout)
	defer cancel()
	req, resp := new(fasthttp.Request), new(fasthttp.Response)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + c.conf.Addr + path)
	if c.conf.Key != "" {
		req.Header.Set("Authorization", "Bearer "+c.conf.Key)
	}
	if body != nil {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(body)
	}
	sent, err := c.pool.Do(ctx, c.conf.Addr, req, resp, false)
	if err != nil {
		// If one connection gets no answer, the other idle ones are often broken too.
		c.pool.CloseIdle(c.conf.Addr)
		if sent {
			return nil, gauge.Errorf(gauge.KindUnknown, "plat: %s %s", method, path).WithCause(err)
		}
		return nil, gauge.Errorf(gauge.KindOutage, "plat: %s %s", method, path).WithCause(err)
	}
	return resp.Body(), statusError(resp.StatusCode(), method, path, resp.Body())
}

func statusError(status int, method, path string, body []byte) error {
	switch status {
	case http.StatusOK, http.StatusNoContent, http.StatusCreated:
		return nil
	case http.StatusConflict:
		return gauge.Errorf(gauge.KindConflict, "plat: %s", body)
	case http.StatusNotFound:
		return gauge.Errorf(gauge.KindNotFound, "plat: %s", path)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return gauge.Errorf(gauge.KindOutage, "plat: %s %s: status %d", method, path, status)
	default:
		// The service may have carried out the call before it failed.
		return gauge.Errorf(gauge.KindUnknown, "plat: %s %s: status %d", method, path, status)
	}
}
