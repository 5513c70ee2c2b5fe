package mesh

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"net"

	gauge "sapphiregauge"
	"sapphiregauge/internal/frame"
)

const (
	nonceSize  = 16
	proveLimit = 256 // bytes of a frame before the key is proved
)

// proof is one step of the handshake: a nonce for the other end and, from the
// second step on, the other end's nonce under the shared key.
type proof struct {
	Nonce []byte `msgpack:"n"`
	Mac   []byte `msgpack:"m"`
}

// The roles are part of what is signed, so that an answer can't be reflected.
const (
	roleCaller = "caller"
	roleServer = "server"
)

func (n *Node) mac(role string, nonce []byte) []byte {
	h := hmac.New(sha256.New, n.conf.Key)
	h.Write([]byte(role))
	h.Write(nonce)
	return h.Sum(nil)
}

func newNonce() []byte {
	b := make([]byte, nonceSize)
	_, _ = rand.Read(b) // never fails, see crypto/rand
	return b
}

// proveAsServer sends a nonce, checks the caller's proof and gives its own.
func (n *Node) proveAsServer(c net.Conn) error {
	nonce := newNonce()
	if err := sendProof(c, proof{Nonce: nonce}); err != nil {
		return err
	}
	p, err := readProof(c)
	if err != nil {
		return err
	}
	if !hmac.Equal(p.Mac, n.mac(roleCaller, nonce)) {
		return gauge.Fail(gauge.KindDenied, "peer at %s has another key", c.RemoteAddr())
	}
	return sendProof(c, proof{Mac: n.mac(roleServer, p.Nonce)})
}

func (n *Node) proveAsCaller(c net.Conn) error {
	theirs, err := readProof(c)
	if err != nil {
		return err
	}
	nonce := newNonce()
	if err := sendProof(c, proof{Nonce: nonce, Mac: n.mac(roleCaller, theirs.Nonce)}); err != nil {
		return err
	}
	p, err := readProof(c)
	if err != nil {
		return gauge.Fail(gauge.KindDenied, "peer at %s did not accept the key", c.RemoteAddr()).Because(err)
	}
	if !hmac.Equal(p.Mac, n.mac(roleServer, nonce)) {
		return gauge.Fail(gauge.KindDenied, "peer at %s has another key", c.RemoteAddr())
	}
	return nil
}

func sendProof(c net.Conn, p proof) error {
	body, err := frame.Encode(&p)
	if err != nil {
		return err
	}
	_, err = frame.Write(c, frame.Frame{Method: "prove", Body: body}, proveLimit)
	return err
}

func readProof(c net.Conn) (proof, error) {
	var p proof
	f, err := frame.Read(c, proveLimit)
	if err != nil {
		return p, err
	}
	return p, frame.Decode(f.Body, &p)
}
