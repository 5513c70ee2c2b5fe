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
	nonceSize    = 16
	maxProofSize = 256 // maximum size of a handshake frame, in bytes
)

// proof is one message of the handshake: a nonce for the other end, if it has yet to prove the key,
// and, from the second message on, the MAC of the other end's nonce.
type proof struct {
	Nonce []byte `msgpack:"n"`
	MAC   []byte `msgpack:"m"`
}

// The role is part of the MAC's input, so that a proof can't be reflected to its sender.
const (
	roleCaller = "caller"
	roleServer = "server"
)

// mac returns the HMAC-SHA256 of the sender's role and the receiver's nonce under the shared key.
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

// proveAsServer sends a nonce, checks the caller's proof and sends its own.
func (n *Node) proveAsServer(c net.Conn) error {
	nonce := newNonce()
	if err := sendProof(c, proof{Nonce: nonce}); err != nil {
		return err
	}
	p, err := readProof(c)
	if err != nil {
		return err
	}
	if !hmac.Equal(p.MAC, n.mac(roleCaller, nonce)) {
		return gauge.Errorf(gauge.KindDenied, "peer at %s has another key", c.RemoteAddr())
	}
	return sendProof(c, proof{MAC: n.mac(roleServer, p.Nonce)})
}

// proveAsCaller answers the server's nonce with a proof and a nonce, and checks the server's proof.
func (n *Node) proveAsCaller(c net.Conn) error {
	serverProof, err := readProof(c)
	if err != nil {
		return err
	}
	nonce := newNonce()
	if err := sendProof(c, proof{Nonce: nonce, MAC: n.mac(roleCaller, serverProof.Nonce)}); err != nil {
		return err
	}
	p, err := readProof(c)
	if err != nil {
		return gauge.Errorf(gauge.KindDenied, "peer at %s did not accept the key", c.RemoteAddr()).WithCause(err)
	}
	if !hmac.Equal(p.MAC, n.mac(roleServer, nonce)) {
		return gauge.Errorf(gauge.KindDenied, "peer at %s has another key", c.RemoteAddr())
	}
	return nil
}

func sendProof(c net.Conn, p proof) error {
	body, err := frame.Encode(&p)
	if err != nil {
		return err
	}
	_, err = frame.Write(c, frame.Frame{Method: "prove", Body: body}, maxProofSize)
	return err
}

func readProof(c net.Conn) (proof, error) {
	var p proof
	f, err := frame.Read(c, maxProofSize)
	if err != nil {
		return p, err
	}
	return p, frame.Decode(f.Body, &p)
}
