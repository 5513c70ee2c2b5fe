package httpd

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http/httputil"
	"time"

	"github.com/valyala/fasthttp"

	gauge "sapphiregauge"
)

// Lengths of bodies that aren't told in their head, as fasthttp gives them.
const (
	lengthChunked = -1
	lengthNone    = -2
)

// readBody reads the body of a request, and decompresses it if that is asked for. Errors are of the
// kinds that Config.Refuse takes, or those of the connection.
func (k *conn) readBody(ctx *fasthttp.RequestCtx) ([]byte, error) {
	limit := k.server.conf.MaxBody()
	body, err := k.receiveBody(ctx, limit)
	if err != nil || !k.server.conf.Decompress {
		return body, err
	}
	return k.decompress(ctx, body, limit)
}

// receiveBody reads the body of a request as it was sent.
func (k *conn) receiveBody(ctx *fasthttp.RequestCtx, limit int) ([]byte, error) {
	length := ctx.Request.Header.ContentLength()
	if length == lengthNone || length == 0 {
		return nil, nil
	}
	if length > limit {
		return nil, gauge.Errorf(gauge.KindTooLarge, "body of %d bytes, limit %d", length, limit)
	}
	_ = k.net.SetReadDeadline(time.Now().Add(k.server.conf.BodyTimeout))
	if ctx.Request.MayContinue() {
		_ = k.net.SetWriteDeadline(time.Now().Add(k.server.conf.WriteTimeout))
		if _, err := io.WriteString(k.net, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, err
		}
	}
	if length != lengthChunked {
		body, err := k.readAll(k.reader, length)
		if err == nil && len(body) < length {
			err = io.ErrUnexpectedEOF
		}
		return body, err
	}
	return k.readChunked(limit)
}

func (k *conn) readChunked(limit int) ([]byte, error) {
	body, err := k.readAll(httputil.NewChunkedReader(k.reader), limit+1)
	if len(body) > limit {
		return nil, gauge.Errorf(gauge.KindTooLarge, "body of over %d bytes", limit)
	}
	if err == nil {
		err = k.skipTrailers()
	}
	if err != nil && !isConnError(err) && gauge.KindOf(err) == gauge.KindInternal {
		err = gauge.Errorf(gauge.KindInvalid, "body: %s", err).WithCause(err)
	}
	return body, err
}

// isConnError reports whether an error is that of the connection, which gets no answer.
func isConnError(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) || errors.Is(err, net.ErrClosed) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF)
}

// readAll reads up to the end of r, but at most limit bytes. It takes room as the bytes arrive.
func (k *conn) readAll(r io.Reader, limit int) ([]byte, error) {
	var body []byte
	for len(body) < limit {
		if len(body) == cap(body) {
			size := min(max(2*cap(body), bufferSize), limit)
			if !k.share.Reserve(size - cap(body)) {
				return nil, errNoRoom()
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
	return body, nil
}

// skipTrailers discards the lines after the last chunk of a body.
func (k *conn) skipTrailers() error {
	for left := k.server.conf.MaxHead; left > 0; {
		line, err := k.reader.ReadSlice('\n')
		if err != nil {
			return err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return nil
		}
		left -= len(line)
	}
	return gauge.Errorf(gauge.KindInvalid, "trailers of over %d bytes", k.server.conf.MaxHead)
}
