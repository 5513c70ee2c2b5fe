package httpd_test

import (
	"bytes"
	"compress/gzip"
	"compress/zlib"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/budget"
	"sapphiregauge/internal/httpd"
)

const (
	maxBody = 100
	maxHead = 6000
	// timeout bounds each wait; no check depends on it.
	timeout = 10 * time.Second
)

func echo(c *fasthttp.RequestCtx) {
	c.SetBodyString(fmt.Sprintf("%s %s %s", c.Method(), c.Path(), c.PostBody()))
}

func start(t *testing.T, c httpd.Config) (*httpd.Server, string) {
	t.Helper()
	if c.Handler == nil {
		c.Handler = echo
	}
	c.MaxBody, c.MaxHead = func() int { return maxBody }, maxHead
	c.Refuse = func(r *fasthttp.RequestCtx, err error) {
		r.SetStatusCode(gauge.KindOf(err).Answer().Status)
		r.SetBodyString("refused " + string(r.Path()))
	}
	s := httpd.New(c)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		_ = s.Close(ctx)
	})
	return s, l.Addr().String()
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(timeout)))
	return c
}

// statuses returns the status lines and the bodies of responses.
func statuses(text string) []string {
	var out []string
	for _, response := range strings.Split(text, "HTTP/1.1 ")[1:] {
		head, body, _ := strings.Cut(response, "\r\n\r\n")
		out = append(out, strings.TrimSpace(head[:3]+" "+body))
	}
	return out
}

const host = "Host: x\r\n"

// Each text is sent as a whole, and then byte by byte.
func TestRequests(t *testing.T) {
	_, addr := start(t, httpd.Config{})
	last := "GET /last HTTP/1.1\r\nConnection: close\r\n" + host + "\r\n"
	const lastAnswer = "200 GET /last"
	for _, tt := range []struct {
		name, text string
		want       []string
	}{
		{"no body", last, []string{lastAnswer}},
		{"after empty lines", "\r\n\r\n" + last, []string{lastAnswer}},
		{"two at once", "GET /a HTTP/1.1\r\n" + host + "\r\n" + last, []string{"200 GET /a", lastAnswer}},
		{"body", "POST /a HTTP/1.1\r\n" + host + "Content-Length: 3\r\n\r\nxyz" + last, []string{"200 POST /a xyz", lastAnswer}},
		{"largest body", "POST /a HTTP/1.1\r\n" + host + "Content-Length: 100\r\n\r\n" + strings.Repeat("x", maxBody) + last, []string{"200 POST /a " + strings.Repeat("x", maxBody), lastAnswer}},
		{"no length", "POST /a HTTP/1.1\r\n" + host + "\r\n" + last, []string{"200 POST /a", lastAnswer}},
		{"chunks", "POST /a HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n2\r\nxy\r\n1;e=1\r\nz\r\n0\r\n\r\n" + last, []string{"200 POST /a xyz", lastAnswer}},
		{"largest chunk", "POST /a HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n64\r\n" + strings.Repeat("x", maxBody) + "\r\n0\r\n\r\n" + last, []string{"200 POST /a " + strings.Repeat("x", maxBody), lastAnswer}},
		{"trailers", "POST /a HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nA: b\r\nC: d\r\n\r\n" + last, []string{"200 POST /a x", lastAnswer}},
		{"expectation", "POST /a HTTP/1.1\r\n" + host + "Expect: 100-continue\r\nContent-Length: 1\r\n\r\nx" + last, []string{"100", "200 POST /a x", lastAnswer}},
		{"long head", "GET /a HTTP/1.1\r\n" + host + "A: " + strings.Repeat("x", maxHead-100) + "\r\n\r\n" + last, []string{"200 GET /a", lastAnswer}},
		{"two long heads", strings.Repeat("GET /a HTTP/1.1\r\n"+host+"A: "+strings.Repeat("x", maxHead-100)+"\r\n\r\n", 2) + last, []string{"200 GET /a", "200 GET /a", lastAnswer}},
		{"first version", "GET /a HTTP/1.0\r\n\r\n", []string{"200 GET /a"}},
		{"first version, kept alive", "GET /a HTTP/1.0\r\nConnection: keep-alive\r\n\r\n" + last, []string{"200 GET /a", lastAnswer}},
		{"head only", "HEAD /a HTTP/1.1\r\n" + host + "\r\n" + last, []string{"200", lastAnswer}},
		{"announced body too large", "POST /a HTTP/1.1\r\n" + host + "Content-Length: 101\r\n\r\n", []string{"413 refused /a"}},
		{"refused expectation", "POST /a HTTP/1.1\r\n" + host + "Expect: 100-continue\r\nContent-Length: 101\r\n\r\n", []string{"413 refused /a"}},
		{"chunks too large", "POST /a HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n65\r\n" + strings.Repeat("x", maxBody+1), []string{"413 refused /a"}},
		{"malformed chunk", "POST /a HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\nx\r\n", []string{"400 refused /a"}},
		{"endless trailers", "POST /a HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + strings.Repeat("a: b\r\n", maxHead), []string{"400 refused /a"}},
		{"head too long", "GET /a HTTP/1.1\r\nA: " + strings.Repeat("x", maxHead), []string{"431"}},
		{"malformed head", "GET\r\n\r\n", []string{"400"}},
		{"malformed length", "POST /a HTTP/1.1\r\n" + host + "Content-Length: -1\r\n\r\n", []string{"400"}},
		{"two lengths", "POST /a HTTP/1.1\r\n" + host + "Content-Length: 1\r\nContent-Length: 2\r\n\r\n", []string{"400"}},
		{"body that stops short", "POST /a HTTP/1.1\r\n" + host + "Content-Length: 3\r\n\r\nxy", nil},
		{"head that stops short", "POST /a HTTP/1.1\r\n" + host, nil},
		{"nothing", "", nil},
	} {
		for _, size := range []int{max(1, len(tt.text)), 1} {
			t.Run(fmt.Sprintf("%s in pieces of %d", tt.name, size), func(t *testing.T) {
				c := dial(t, addr)
				go func() {
					for text := tt.text; text != ""; text = text[min(size, len(text)):] {
						if _, err := io.WriteString(c, text[:min(size, len(text))]); err != nil {
							return
						}
					}
					_ = c.(*net.TCPConn).CloseWrite()
				}()
				answer, err := io.ReadAll(c)
				assert.NilError(t, err)
				assert.DeepEqual(t, statuses(string(answer)), tt.want)
			})
		}
	}
}

// Guards against memory that is taken for what a body is once it is decompressed.
func TestCompressedBodies(t *testing.T) {
	_, addr := start(t, httpd.Config{Decompress: true})
	compressed := func(newWriter func(io.Writer) io.WriteCloser, size int) string {
		var b bytes.Buffer
		w := newWriter(&b)
		_, err := w.Write(bytes.Repeat([]byte("x"), size))
		assert.NilError(t, err)
		assert.NilError(t, w.Close())
		return b.String()
	}
	inGzip := func(w io.Writer) io.WriteCloser { return gzip.NewWriter(w) }
	inDeflate := func(w io.Writer) io.WriteCloser { return zlib.NewWriter(w) }
	whole := "200 POST /a " + strings.Repeat("x", maxBody)
	for _, tt := range []struct{ name, encoding, body, want string }{
		{"not compressed", "identity", "x", "200 POST /a x"},
		{"gzip", "gzip", compressed(inGzip, maxBody), whole},
		{"deflate", "Deflate", compressed(inDeflate, maxBody), whole},
		{"too large", "gzip", compressed(inGzip, maxBody+1), "413 refused /a"},
		{"malformed", "gzip", "x", "400 refused /a"},
		{"cut off", "gzip", compressed(inGzip, maxBody)[:20], "400 refused /a"},
		{"twice", "gzip, gzip", compressed(inGzip, 1), "400 refused /a"},
		{"unknown", "br", "x", "400 refused /a"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := dial(t, addr)
			_, err := fmt.Fprintf(c, "POST /a HTTP/1.1\r\n%sConnection: close\r\nContent-Encoding: %s\r\nContent-Length: %d\r\n\r\n%s", host, tt.encoding, len(tt.body), tt.body)
			assert.NilError(t, err)
			assert.NilError(t, c.(*net.TCPConn).CloseWrite())
			answer, err := io.ReadAll(c)
			assert.NilError(t, err)
			assert.DeepEqual(t, statuses(string(answer)), []string{tt.want})
		})
	}
}

// Guards against a stop that waits for clients that stall.
func TestCloseDoesNotWaitForStalledClients(t *testing.T) {
	began, release := make(chan struct{}), make(chan struct{})
	s, addr := start(t, httpd.Config{Handler: func(c *fasthttp.RequestCtx) {
		if string(c.Path()) == "/slow" {
			close(began)
			<-release
		}
	}})
	var stalled []net.Conn
	for _, text := range []string{"", "GET / HT", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nx", "GET / HTTP/1.1\r\nHost: x\r\n\r\n"} {
		c := dial(t, addr)
		_, err := io.WriteString(c, text)
		assert.NilError(t, err)
		stalled = append(stalled, c)
	}
	slow := dial(t, addr)
	_, err := io.WriteString(slow, "GET /slow HTTP/1.1\r\nHost: x\r\n\r\n")
	assert.NilError(t, err)
	<-began
	closed := make(chan error, 1)
	go func() { closed <- s.Close(context.Background()) }()
	for _, c := range stalled {
		_, _ = io.ReadAll(c) // until it is closed, long before any time-out
	}
	close(release)
	answer, err := io.ReadAll(slow)
	assert.NilError(t, err)
	assert.DeepEqual(t, statuses(string(answer)), []string{"200"})
	assert.NilError(t, <-closed)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, s.Serve(l), "a server that is closed serves nothing more")
}

// body is a response's body that is made when it is read for the first time.
type body func()

func (b body) Read([]byte) (int, error) {
	b()
	return 0, io.EOF
}

// Guards against an answer that is lost because the server is closed after the request has been
// handled and before the answer is written.
func TestCloseWaitsForAnswersThatAreBeingWritten(t *testing.T) {
	var s *httpd.Server
	var addr string
	closed := make(chan error, 1)
	s, addr = start(t, httpd.Config{Handler: func(c *fasthttp.RequestCtx) {
		c.SetBodyStream(body(func() {
			go func() { closed <- s.Close(context.Background()) }()
			for { // until it has begun
				c, err := net.Dial("tcp", addr)
				if err != nil {
					break
				}
				_ = c.Close()
			}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.Check(t, err)
			assert.Check(t, s.Serve(l)) // until it has gone through all connections
		}), -1)
	}})
	c := dial(t, addr)
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	assert.NilError(t, err)
	answer, err := io.ReadAll(c)
	assert.NilError(t, err)
	assert.Equal(t, len(statuses(string(answer))), 1, "%s", answer)
	assert.NilError(t, <-closed)
}

// Guards against a stop that waits for a client that doesn't read its answer.
func TestCloseDoesNotWaitForClientsThatDoNotRead(t *testing.T) {
	handled := make(chan struct{})
	s, addr := start(t, httpd.Config{WriteTimeout: time.Hour, Handler: func(c *fasthttp.RequestCtx) {
		c.SetBody(make([]byte, 16<<20))
		close(handled)
	}})
	c := dial(t, addr)
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	assert.NilError(t, err)
	<-handled
	assert.NilError(t, s.Close(context.Background()))
}

// Guards against a client that stalls and keeps out those that come after it.
func TestStalledClientMakesWay(t *testing.T) {
	_, addr := start(t, httpd.Config{Budget: budget.New(budget.Config{Conns: 1, MinWait: time.Nanosecond})})
	stalled := dial(t, addr)
	_, err := io.WriteString(stalled, "GET / HT")
	assert.NilError(t, err)
	c := dial(t, addr)
	_, err = io.WriteString(c, "GET /a HTTP/1.1\r\nConnection: close\r\nHost: x\r\n\r\n")
	assert.NilError(t, err)
	answer, err := io.ReadAll(c)
	assert.NilError(t, err)
	assert.DeepEqual(t, statuses(string(answer)), []string{"200 GET /a"})
	answer, _ = io.ReadAll(stalled)
	assert.Equal(t, string(answer), "")
}
