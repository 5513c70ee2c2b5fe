package front_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gofiber/fiber/v3"
	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/front"
)

func newApp(serve func(ctx context.Context, r *gauge.Request) (gauge.Response, error)) *fiber.App {
	a := fiber.New(fiber.Config{Immutable: true})
	front.New(front.Config{
		Serve: serve, Clock: time.Now,
		Accept: func(context.Context, *gauge.Request) (gauge.ClaimKey, error) { return gauge.ClaimKey{ID: "k"}, nil },
		Lookup: func(context.Context, string, string) (gauge.Response, error) {
			return gauge.Response{}, gauge.Errorf(gauge.KindNotFound, "x")
		},
	}).Register(a)
	return a
}

// Guards against workers that are busy for callers that have left: a caller sends a request and
// closes its connection, and the handler doesn't notice.
func TestDisconnectCancelsRequest(t *testing.T) {
	began, ended := make(chan struct{}), make(chan error, 1)
	a := newApp(func(ctx context.Context, _ *gauge.Request) (gauge.Response, error) {
		close(began)
		<-ctx.Done()
		ended <- ctx.Err()
		return gauge.Response{}, gauge.Refuse(nil, gauge.KindCancelled, "left", 0)
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = a.Listener(l, fiber.ListenConfig{DisableStartupMessage: true}) }()
	defer func() { _ = a.Shutdown() }()
	c, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	_, err = io.WriteString(c, "POST /v1/services/s HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nx")
	assert.NilError(t, err)
	<-began
	assert.NilError(t, c.Close())
	assert.Equal(t, <-ended, context.Canceled)
}

// Every invalid header of a request is named, and the request is not served.
func TestInvalidHeadersAreRefused(t *testing.T) {
	a := newApp(func(context.Context, *gauge.Request) (gauge.Response, error) {
		t.Error("served")
		return gauge.Response{}, nil
	})
	req := httptest.NewRequest(http.MethodPost, "/v1/services/s", strings.NewReader("x"))
	req.Header.Set("X-Class", "soon")
	req.Header.Set("X-Repeatable", "maybe")
	req.Header.Set("X-Timeout", "-1s")
	resp, err := a.Test(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	body, _ := io.ReadAll(bufio.NewReader(resp.Body))
	assert.Equal(t, resp.StatusCode, http.StatusBadRequest)
	assert.Equal(t, resp.Header.Get("X-Ran"), string(gauge.RanNo))
	for _, field := range []string{"X-Class", "X-Repeatable", "X-Timeout", "Idempotency-Key"} {
		assert.Assert(t, strings.Contains(string(body), field), string(body))
	}
}

// FuzzHeaders sends arbitrary headers: requests that reach the service are valid.
func FuzzHeaders(f *testing.F) {
	f.Add("team", "quick", "yes", "1s", "respond-async", "key")
	f.Add("a/b", "long", "no", "-1h", ",,", "01890a5d-ac96-774b-bcce-b302099a8057")
	f.Add("\x00", "", "", "999999h", "respond-async;x", "")
	f.Fuzz(func(t *testing.T, team, class, repeatable, timeout, prefer, key string) {
		a := newApp(func(_ context.Context, r *gauge.Request) (gauge.Response, error) {
			if r.Class != gauge.ClassQuick && r.Class != gauge.ClassLong {
				t.Errorf("class %q", r.Class)
			}
			if r.ID == "" || strings.ContainsAny(r.Team, "/\x00") {
				t.Errorf("id %q, team %q", r.ID, r.Team)
			}
			return gauge.Response{Status: http.StatusOK}, nil
		})
		req := httptest.NewRequest(http.MethodPost, "/v1/services/s/x", strings.NewReader("x"))
		for name, value := range map[string]string{
			"X-Team": team, "X-Class": class, "X-Repeatable": repeatable,
			"X-Timeout": timeout, "Prefer": prefer, "Idempotency-Key": key,
		} {
			if !strings.ContainsAny(value, "\r\n\x00") {
				req.Header.Set(name, value)
			}
		}
		resp, err := a.Test(req)
		if err != nil {
			return // the HTTP library refused it
		}
		_ = resp.Body.Close()
		if resp.StatusCode >= http.StatusInternalServerError {
			t.Errorf("status %d", resp.StatusCode)
		}
	})
}
