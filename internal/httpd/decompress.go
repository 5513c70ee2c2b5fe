package httpd

import (
	"bytes"
	"compress/gzip"
	"compress/zlib"
	"io"
	"strings"

	"github.com/valyala/fasthttp"

	gauge "sapphiregauge"
)

// decompressorBytes is what decompressing takes beside the compressed and the decompressed body.
const decompressorBytes = 64 << 10

// decompress returns the body as it was before its Content-Encoding, whose header it then removes. The limit of a
// body holds for what is decompressed, too: a body may grow a thousandfold.
func (k *conn) decompress(ctx *fasthttp.RequestCtx, body []byte, limit int) ([]byte, error) {
	encoding := strings.ToLower(string(ctx.Request.Header.ContentEncoding()))
	if encoding == "" || encoding == "identity" {
		return body, nil
	}
	if !k.share.Reserve(decompressorBytes) {
		return nil, errNoRoom()
	}
	var r io.ReadCloser
	var err error
	switch encoding {
	case "gzip", "x-gzip":
		r, err = gzip.NewReader(bytes.NewReader(body))
	case "deflate":
		r, err = zlib.NewReader(bytes.NewReader(body))
	default:
		return nil, gauge.Errorf(gauge.KindInvalid, "Content-Encoding: %q is neither gzip nor deflate", encoding)
	}
	if err != nil {
		return nil, gauge.Errorf(gauge.KindInvalid, "Content-Encoding: %s", err).WithCause(err)
	}
	defer func() { _ = r.Close() }()
	plain, err := k.readAll(r, limit+1)
	switch {
	case gauge.KindOf(err) == gauge.KindUnready:
		return nil, err
	case err != nil:
		return nil, gauge.Errorf(gauge.KindInvalid, "Content-Encoding: %s", err).WithCause(err)
	case len(plain) > limit:
		return nil, gauge.Errorf(gauge.KindTooLarge, "body of over %d bytes, decompressed", limit)
	}
	ctx.Request.Header.Del(fasthttp.HeaderContentEncoding)
	return plain, nil
}
