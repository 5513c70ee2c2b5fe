package abuse_test

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"net"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

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
