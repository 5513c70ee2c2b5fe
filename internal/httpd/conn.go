package httpd

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	gauge "sapphiregauge"
	"sapphiregauge/internal/budget"
)

const (
	// bufferSize is the size of the buffers for reading and writing. Most heads fit into it.
	bufferSize = 4 << 10
	// maxPooledFields bounds the header fields of a request whose memory is used again.
	maxPooledFields = 64
	// lingerBytes and lingerTimeout bound what is read after the refusal of a request, since a
	// connection that is closed with unread bytes is reset, and the client may not see the answer.
	lingerBytes   = 256 << 10
	lingerTimeout = time.Second
)

// Pools of what requests need only while they are served.
//
//nolint:gochecknoglobals // shared by all servers of the process
var (
	contexts = sync.Pool{New: func() any { return new(fasthttp.RequestCtx) }}
	writers  = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bufferSize) }}
)

// conn serves one connection.
type conn struct {
	server *Server
	share  *budget.Share
	net    net.Conn
	source *source
	reader *bufio.Reader
}

// source reads from the connection unless it is sealed.
type source struct {
	io.Reader
	sealed bool
}

// errSealed tells that a head goes on where it was taken to end.
var errSealed = errors.New("the head doesn't end")

func (s *source) Read(b []byte) (int, error) {
	if s.sealed {
		return 0, errSealed
	}
	return s.Reader.Read(b)
}

func newConn(s *Server, c net.Conn, share *budget.Share) *conn {
	src := &source{Reader: c}
	return &conn{server: s, share: share, net: c, source: src, reader: bufio.NewReaderSize(src, bufferSize)}
}

// serve answers requests until the connection is to be closed.
func (k *conn) serve() {
	defer k.share.Leave()
	defer func() { _ = k.net.Close() }()
	for k.serveNext() {
		k.share.ReleaseAll()
		k.share.Wait()
		// Close has seen the connection waiting, or is seen here.
		if k.server.isClosed() {
			return
		}
		k.shrinkReader()
	}
}

// serveNext answers one request. It reports whether another one may follow.
func (k *conn) serveNext() bool {
	fields, err := k.awaitHead()
	if err != nil {
		k.refuseHead(err)
		return false
	}
	ctx := contexts.Get().(*fasthttp.RequestCtx) //nolint:forcetypeassert // the pool has nothing else
	ctx.Init2(k.net, discardLogger{}, true)
	defer func() {
		if fields <= maxPooledFields {
			ctx.Request.Reset()
			ctx.Response.Reset()
			ctx.ResetUserValues()
			contexts.Put(ctx)
		}
	}()
	if err := k.parseHead(ctx); err != nil {
		k.refuseHead(err)
		return false
	}
	body, err := k.readBody(ctx)
	if err != nil {
		k.refuseBody(ctx, err)
		return false
	}
	ctx.Request.SetBodyRaw(body)
	if !k.share.Protect() {
		return false
	}
	k.server.conf.Handler(ctx)
	ctx.Request.ResetBody()
	k.share.ReleaseAll()
	k.share.Answer()
	return k.reserveResponse(ctx) && k.respond(ctx) && !ctx.Response.ConnectionClose()
}

// reserveResponse takes room for a response that is larger than the connection's buffers.
func (k *conn) reserveResponse(ctx *fasthttp.RequestCtx) bool {
	size := len(ctx.Response.Body())
	return size <= bufferSize || k.share.Reserve(size)
}

// respond writes the response.
func (k *conn) respond(ctx *fasthttp.RequestCtx) bool {
	if ctx.Request.Header.ConnectionClose() || k.server.isClosed() {
		ctx.Response.SetConnectionClose()
	}
	if !ctx.Request.Header.IsHTTP11() && !ctx.Response.ConnectionClose() {
		ctx.Response.Header.Set("Connection", "keep-alive")
	}
	if len(ctx.Response.Header.Server()) == 0 {
		ctx.Response.Header.SetServer(k.server.conf.Name)
	}
	ctx.Response.SkipBody = ctx.IsHead()
	w := writers.Get().(*bufio.Writer) //nolint:forcetypeassert // the pool has nothing else
	defer writers.Put(w)
	w.Reset(k.net)
	k.server.limitWrite(k)
	return ctx.Response.Write(w) == nil && w.Flush() == nil
}

// refuseHead answers a request whose head can't be used. A connection that has failed, or has been
// evicted, gets no answer.
func (k *conn) refuseHead(err error) {
	status := 0
	switch gauge.KindOf(err) {
	case gauge.KindTooLarge:
		status = http.StatusRequestHeaderFieldsTooLarge
	case gauge.KindInvalid:
		status = http.StatusBadRequest
	default:
		return
	}
	var ctx fasthttp.RequestCtx
	ctx.Init2(k.net, discardLogger{}, true)
	ctx.SetStatusCode(status)
	k.respondAndLinger(&ctx)
}

// refuseBody answers a request whose body can't be used, or isn't read.
func (k *conn) refuseBody(ctx *fasthttp.RequestCtx, err error) {
	switch gauge.KindOf(err) {
	case gauge.KindTooLarge, gauge.KindInvalid, gauge.KindUnready:
		k.server.conf.Refuse(ctx, err)
		k.respondAndLinger(ctx)
	default:
		// The connection has failed.
	}
}

// respondAndLinger writes the last response of a connection, and reads on for a short time.
func (k *conn) respondAndLinger(ctx *fasthttp.RequestCtx) {
	ctx.SetConnectionClose()
	k.share.ReleaseAll()
	if !k.respond(ctx) {
		return
	}
	if c, ok := k.net.(interface{ CloseWrite() error }); !ok || c.CloseWrite() != nil {
		return
	}
	_ = k.net.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, k.net, lingerBytes)
}

// discardLogger discards what fasthttp logs about broken connections, since clients often
// disconnect.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}
