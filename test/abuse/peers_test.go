package abuse_test

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"net"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"sapphiregauge/internal/frame"
)

// Guards against memory that is held for messages between entries which stop just short of their end.
func TestMessagesOfOtherEntriesThatStopShort(t *testing.T) {
	h := startHost(t, smallest())
	body := strings.Repeat("x", 1<<20-1)
	gather(t, h.peers(), 400, func(c net.Conn, client int) error {
		if err := proveKey(c); err != nil {
			return err
		}
		if err := send(c, string(binary.BigEndian.AppendUint32(nil, 1<<20))); err != nil {
			return err
		}
		return sendInPieces(c, []byte(body), 1+client%8)
	})
	h.checkBears()
}

// Guards against memory that is taken for lists in messages between entries, whose elements take a byte
// each before they are decoded.
func TestListsInMessagesOfOtherEntries(t *testing.T) {
	h := startHost(t, smallest())
	const steps = 1<<20 - 200
	var b bytes.Buffer
	e := msgpack.NewEncoder(&b)
	assert.NilError(t, errors.Join(
		// A frame: its version, ID, method, fault and body.
		e.EncodeArrayLen(5), e.EncodeInt(frame.Version), e.EncodeInt(1), e.EncodeString("job.submit"), e.EncodeString(""),
		// The body: a job's specification with its steps.
		e.EncodeMapLen(1), e.EncodeString("s"), e.EncodeMapLen(1), e.EncodeString("s"), e.EncodeArrayLen(steps),
	))
	for range steps {
		assert.NilError(t, e.EncodeNil())
	}
	gather(t, h.peers(), 8, func(c net.Conn, _ int) error {
		if err := proveKey(c); err != nil {
			return err
		}
		return send(c, string(binary.BigEndian.AppendUint32(nil, uint32(b.Len())))+b.String())
	})
	h.checkBears()
}

// proveKey does a caller's part of the handshake between entries that have no key.
func proveKey(c net.Conn) error {
	const limit = 256
	type proof struct {
		Nonce []byte `msgpack:"n"`
		MAC   []byte `msgpack:"m"`
	}
	f, err := frame.Read(c, limit)
	if err != nil {
		return err
	}
	var server proof
	if err := msgpack.Unmarshal(f.Body, &server); err != nil {
		return err
	}
	mac := hmac.New(sha256.New, nil)
	mac.Write([]byte("caller"))
	mac.Write(server.Nonce)
	body, err := msgpack.Marshal(&proof{Nonce: make([]byte, 16), MAC: mac.Sum(nil)})
	if err != nil {
		return err
	}
	if _, err := frame.Write(c, frame.Frame{Method: "prove", Body: body}, limit); err != nil {
		return err
	}
	_, err = frame.Read(c, limit)
	return err
}
