package httpd

import (
	"bufio"
	"bytes"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	gauge "sapphiregauge"
)

// fieldBytes is what a header line, or an element of a list in one, takes once it is parsed.
const fieldBytes = 160

// awaitHead waits until the reader has a whole head, and takes room for its fields, whose number it
// returns. Errors of other kinds than gauge.KindInvalid and gauge.KindTooLarge are those of the
// connection, or tell that there is no room.
func (k *conn) awaitHead() (fields int, err error) {
	_ = k.net.SetReadDeadline(time.Now().Add(k.server.conf.IdleTimeout))
	if _, err := k.reader.Peek(1); err != nil {
		return 0, err
	}
	k.share.Wait()
	_ = k.net.SetReadDeadline(time.Now().Add(k.server.conf.HeadTimeout))
	if err := k.skipEmptyLines(); err != nil {
		return 0, err
	}
	head, err := k.peekHead()
	if err != nil {
		return 0, err
	}
	fields = bytes.Count(head, []byte("\n")) + bytes.Count(head, []byte(","))
	if !k.share.Reserve(fields * fieldBytes) {
		return 0, errNoRoom()
	}
	return fields, nil
}

func errNoRoom() error {
	return gauge.Errorf(gauge.KindUnready, "there is no room for the request at the moment")
}

// skipEmptyLines discards what may come before a request line.
func (k *conn) skipEmptyLines() error {
	for {
		b, err := k.reader.Peek(1)
		if err != nil {
			return err
		}
		if b[0] != '\r' && b[0] != '\n' {
			return nil
		}
		_, _ = k.reader.Discard(1)
	}
}

// peekHead returns the head that comes next, without consuming it.
func (k *conn) peekHead() ([]byte, error) {
	searched := 0
	for {
		b, _ := k.reader.Peek(k.reader.Buffered())
		if end := headEnd(b, searched); end > 0 {
			return b[:end], nil
		}
		if len(b) >= k.server.conf.MaxHead {
			return nil, gauge.Errorf(gauge.KindTooLarge, "head of over %d bytes", k.server.conf.MaxHead)
		}
		if len(b) == k.reader.Size() && !k.growReader() {
			return nil, errNoRoom()
		}
		searched = len(b)
		if _, err := k.reader.Peek(len(b) + 1); err != nil {
			return nil, err
		}
	}
}

// headEnd returns the length of the head that b begins with, 0 if it hasn't ended. No empty line is
// completed by the bytes before the position searched.
func headEnd(b []byte, searched int) int {
	for i := max(0, searched-len("\n\r")); i < len(b); i++ {
		if b[i] != '\n' {
			continue
		}
		switch rest := b[i+1:]; {
		case bytes.HasPrefix(rest, []byte("\n")):
			return i + len("\n\n")
		case bytes.HasPrefix(rest, []byte("\r\n")):
			return i + len("\n\r\n")
		}
	}
	return 0
}

// growReader makes room for the longest head.
func (k *conn) growReader() bool {
	if !k.share.Reserve(k.server.conf.MaxHead) {
		return false
	}
	k.resizeReader(k.server.conf.MaxHead)
	return true
}

// shrinkReader gives back the room for long heads, unless the next one has been received already.
func (k *conn) shrinkReader() {
	if k.reader.Size() > bufferSize && k.reader.Buffered() <= bufferSize {
		k.resizeReader(bufferSize)
	}
}

// resizeReader replaces the reader by one of another size, with the same bytes before it.
func (k *conn) resizeReader(size int) {
	buffered, _ := k.reader.Peek(k.reader.Buffered())
	k.source.Reader = io.MultiReader(bytes.NewReader(bytes.Clone(buffered)), k.net)
	k.reader = bufio.NewReaderSize(k.source, size)
	_, _ = k.reader.Peek(len(buffered))
}

// parseHead parses a head that has been waited for, and consumes it.
func (k *conn) parseHead(ctx *fasthttp.RequestCtx) error {
	k.source.sealed = true
	err := ctx.Request.Header.Read(k.reader)
	k.source.sealed = false
	if err != nil {
		return gauge.Errorf(gauge.KindInvalid, "httpd: head").WithCause(err)
	}
	return nil
}
