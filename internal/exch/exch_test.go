package exch_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"sapphiregauge/internal/exch"
)

// server starts a server that passes each request's number, its body and its connection to answer.
// It returns its address and the number of accepted connections.
func server(t *testing.T, answer func(n int64, body string, c net.Conn)) (addr string, conns *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	var count, requests atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			count.Add(1)
			go func() {
				br := bufio.NewReader(c)
				for {
					req := new(fasthttp.Request)
					if req.Read(br) != nil {
						_ = c.Close()
						return
					}
					answer(requests.Add(1), string(req.Body()), c)
				}
			}()
		}
	}()
	return l.Addr().String(), &count
}

func okResponse(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func do(ctx context.Context, p *exch.Pool, addr, body string, fresh bool) (string, bool, error) {
	req, resp := new(fasthttp.Request), new(fasthttp.Response)
	req.Header.SetMethod("POST")
	req.SetRequestURI("http://" + addr + "/")
	req.SetBodyString(body)
	sent, err := p.Do(ctx, addr, req, resp, fresh)
	return string(resp.Body()), sent, err
}

// Guards against a caller that gets the answer to another caller's request: a request is
// cancelled, its answer comes late, and the next request to the same worker reuses a connection
// or a buffer for which that answer is still to come.
func TestLateAnswerIsDiscarded(t *testing.T) {
	got, late := make(chan struct{}), make(chan struct{})
	addr, _ := server(t, func(n int64, body string, c net.Conn) {
		if n == 1 {
			close(got)
			<-late
		}
		_, _ = c.Write([]byte(okResponse(body)))
	})
	p := exch.New(exch.Config{})
	ctx, cancel := context.WithCancel(context.Background())
	first := make(chan error)
	go func() {
		_, sent, err := do(ctx, p, addr, "first", false)
		assert.Check(t, sent)
		first <- err
	}()
	<-got
	cancel()
	assert.Assert(t, <-first != nil)
	close(late)
	for i := range 20 {
		want := fmt.Sprint("other ", i)
		answer, _, err := do(context.Background(), p, addr, want, false)
		assert.NilError(t, err)
		assert.Equal(t, answer, want)
	}
}

// Guards against callers that each get the answer to the previous request: a worker sends one
// answer too many, and the connection is reused with unexpected bytes to read.
func TestUnexpectedAnswerIsDiscarded(t *testing.T) {
	addr, _ := server(t, func(n int64, body string, c net.Conn) {
		text := okResponse(body)
		if n == 1 {
			text += okResponse("stray")
		}
		_, _ = c.Write([]byte(text))
	})
	p := exch.New(exch.Config{})
	for i := range 5 {
		want := fmt.Sprint(i)
		got, _, err := do(context.Background(), p, addr, want, false)
		assert.NilError(t, err)
		assert.Equal(t, got, want)
	}
}

// An answer that is truncated or too long is an error, and none of it is used.
func TestIncompleteAnswersAreErrors(t *testing.T) {
	for _, tt := range []struct{ name, answer string }{
		{"truncated header", "HTTP/1.1 200 OK\r\nConte"},
		{"truncated body", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"},
		{"truncated between chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"},
		{"too long", okResponse(strings.Repeat("x", 2000))},
		{"not HTTP", "hello\r\n\r\n"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			addr, _ := server(t, func(_ int64, _ string, c net.Conn) {
				_, _ = c.Write([]byte(tt.answer))
				_ = c.Close()
			})
			p := exch.New(exch.Config{MaxBody: 1000})
			_, sent, err := do(context.Background(), p, addr, "x", false)
			assert.Assert(t, err != nil)
			assert.Assert(t, sent)
		})
	}
}

// Guards against a print job that is printed twice: the worker closes the connection after it has
// read the request, and a client library retries by itself.
func TestRequestIsNotRetried(t *testing.T) {
	var requests atomic.Int64
	addr, _ := server(t, func(_ int64, _ string, c net.Conn) {
		requests.Add(1)
		_ = c.Close()
	})
	p := exch.New(exch.Config{})
	_, sent, err := do(context.Background(), p, addr, "x", true)
	assert.Assert(t, err != nil && sent)
	assert.Equal(t, requests.Load(), int64(1))
}

// Idle connections are reused, but not one that the other end has closed, and not for
// a fresh exchange.
func TestIdleConnectionsAreReused(t *testing.T) {
	closed := make(chan struct{})
	addr, conns := server(t, func(n int64, body string, c net.Conn) {
		_, _ = c.Write([]byte(okResponse(body)))
		if n == 2 {
			_ = c.Close()
			close(closed)
		}
	})
	p := exch.New(exch.Config{})
	for i, want := range []int64{1, 1, 2, 2} {
		_, _, err := do(context.Background(), p, addr, "x", false)
		assert.NilError(t, err)
		assert.Equal(t, conns.Load(), want, "after exchange %d", i+1)
		if i == 1 {
			<-closed
		}
	}
	_, _, err := do(context.Background(), p, addr, "x", true)
	assert.NilError(t, err)
	assert.Equal(t, conns.Load(), int64(3))
}

// A worker that can't be reached is distinguished from one that didn't answer.
func TestFailedConnectIsReportedAsUnsent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := l.Addr().String()
	_ = l.Close()
	p := exch.New(exch.Config{})
	_, sent, err := do(context.Background(), p, addr, "x", false)
	assert.Assert(t, err != nil)
	assert.Assert(t, !sent)
}

// Guards against an entry that runs out of file descriptors after some thousand workers have
// come and gone: no call goes to the address of a worker that has ended, so its idle connections
// would never be closed if that happened only when they are reused.
func TestIdleConnectionsToUnusedAddressesAreClosed(t *testing.T) {
	now := time.Unix(0, 0)
	pool := exch.New(exch.Config{IdleTimeout: time.Second, Clock: func() time.Time { return now }})
	defer pool.Close()
	serve := func() (string, chan struct{}) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		t.Cleanup(func() { _ = l.Close() })
		ended := make(chan struct{})
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer close(ended)
			for buf := make([]byte, 1024); ; {
				if _, err := c.Read(buf); err != nil {
					return
				}
				_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
			}
		}()
		return l.Addr().String(), ended
	}
	call := func(addr string) {
		req, resp := new(fasthttp.Request), new(fasthttp.Response)
		req.SetRequestURI("http://" + addr + "/")
		_, err := pool.Do(context.Background(), addr, req, resp, false)
		assert.NilError(t, err)
	}
	unused, ended := serve()
	other, _ := serve()
	call(unused)
	now = now.Add(2 * time.Second)
	call(other)
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Fatal("the idle connection to the unused address stays open")
	}
}
