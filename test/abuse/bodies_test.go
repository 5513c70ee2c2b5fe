package abuse_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against memory that is taken for bodies beyond the configured limit that are only announced.
func TestAnnouncedBodiesBeyondTheLimit(t *testing.T) {
	h := startHost(t, smallest())
	const size = 1 << 20
	body := strings.Repeat("x", size-1)
	gather(t, h.front(), 400, func(c net.Conn, client int) error {
		if err := send(c, head(client, contentLength(size), "\r\n")); err != nil {
			return err
		}
		return send(c, body)
	})
	h.checkBears()
}

// Guards against bodies beyond the configured limit that are sent without telling their length.
func TestBodiesBeyondTheLimitInChunks(t *testing.T) {
	h := startHost(t, smallest())
	const chunk = 32 << 10
	text := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk))
	gather(t, h.front(), 400, func(c net.Conn, client int) error {
		if err := send(c, head(client, chunked, "\r\n")); err != nil {
			return err
		}
		for range 31 { // just short of what the HTTP library takes
			if err := send(c, text); err != nil {
				return err
			}
		}
		return nil
	})
	h.checkBears()
}

// Guards against memory that is held for bodies of legal size which stop just short of their end.
func TestLargeBodiesThatStopShort(t *testing.T) {
	h := startHost(t, smallest())
	body := validBody(maxBody - 1)
	gather(t, h.front(), 1000, func(c net.Conn, client int) error {
		if err := send(c, head(client, contentLength(maxBody), "\r\n")); err != nil {
			return err
		}
		return sendInPieces(c, body, 1+client%8)
	})
	h.checkBears()
}

// Guards against memory that idle connections keep from the large bodies that came on them.
func TestLargeBodiesOnConnectionsThatStayOpen(t *testing.T) {
	h := startHost(t, smallest())
	body := validBody(maxBody)
	gather(t, h.front(), 1000, func(c net.Conn, client int) error {
		// The id is invalid, so that no job is stored.
		if err := send(c, "POST "+prefix+"x HTTP/1.1\r\nHost: "+hostName+"\r\n"+contentLength(maxBody)+"\r\n"); err != nil {
			return err
		}
		return sendInPieces(c, body, 1+client%8)
	})
	h.checkBears()
}

// Guards against bodies of legal size that take many times as much memory when they are decoded.
func TestBodiesOfManySteps(t *testing.T) {
	h := startHost(t, smallest())
	bodies := []string{
		`{"spec":"x","steps":[{}` + strings.Repeat(",{}", (maxBody-100)/3) + `]}`,
		`{"spec":"x","steps":[{"count":1,"after":[9` + strings.Repeat(",9", (maxBody-100)/2) + `]}]}`,
	}
	gather(t, h.front(), 100, func(c net.Conn, client int) error {
		body := bodies[client%len(bodies)]
		return send(c, head(client, contentLength(len(body)), "\r\n")+body)
	})
	h.checkBears()
}

// Guards against limits that a single request within the users' limits meets.
func TestLargestLegalRequestsAreServed(t *testing.T) {
	h := startHost(t, smallest())
	assert.Equal(t, h.submitAs("00000000000000a1", validBody(maxBody), nil), http.StatusOK)
	header := http.Header{}
	for i := range 1800 {
		header[fmt.Sprintf("%x", i)] = []string{""} // 7 bytes a line
	}
	assert.Equal(t, h.submitAs("00000000000000a2", []byte(smallJob), header), http.StatusOK)
	assert.Equal(t, h.submitAs("00000000000000a3", validBody(maxBody+1), nil), http.StatusRequestEntityTooLarge)
	for client, framing := range []string{contentLength(maxBody), chunked} {
		assert.Equal(t, h.submitInPieces(client, framing), http.StatusOK, framing)
	}
	h.checkBears()
}

// submitInPieces submits the largest job in pieces with pauses, and returns the status.
func (h *host) submitInPieces(client int, framing string) int {
	const pieces, pause = 64, 20 * time.Millisecond
	c, err := net.Dial("tcp", h.front())
	assert.NilError(h.t, err)
	defer c.Close()
	assert.NilError(h.t, c.SetDeadline(time.Now().Add(waitTimeout)))
	assert.NilError(h.t, send(c, head(client, framing, "\r\n")))
	end := ""
	for body := validBody(maxBody); len(body) > 0; body = body[maxBody/pieces:] {
		piece := string(body[:maxBody/pieces])
		if framing == chunked {
			piece, end = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece), "0\r\n\r\n"
		}
		assert.NilError(h.t, send(c, piece))
		time.Sleep(pause)
	}
	assert.NilError(h.t, send(c, end))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(h.t, err)
	return resp.StatusCode
}
