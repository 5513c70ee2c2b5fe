package frame_test

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"

	gauge "sapphiregauge"
	"sapphiregauge/internal/broker"
	"sapphiregauge/internal/frame"
	"sapphiregauge/internal/peers"
	"sapphiregauge/internal/slots"
)

const limit = 1 << 12

func encoded(t testing.TB, f frame.Frame) []byte {
	var b bytes.Buffer
	_, err := frame.Write(&b, f, limit)
	assert.NilError(t, err)
	return b.Bytes()
}

func TestFrameRoundTrip(t *testing.T) {
	body, err := frame.Encode(&slots.LeaseRequest{Holder: "e/1", Pool: "p", Seq: 7})
	assert.NilError(t, err)
	f, err := frame.Read(bytes.NewReader(encoded(t, frame.Frame{ID: 9, Method: broker.MethodRequest, Body: body})), limit)
	assert.NilError(t, err)
	assert.Equal(t, f.ID, uint64(9))
	var req slots.LeaseRequest
	assert.NilError(t, frame.Decode(f.Body, &req))
	assert.Equal(t, req.Seq, uint64(7))
}

// A frame that is too long, truncated or malformed is an error.
func TestMalformedFramesAreErrors(t *testing.T) {
	good := encoded(t, frame.Frame{ID: 1, Method: "m"})
	tooLong := append([]byte{0xff, 0xff, 0xff, 0xff}, good[4:]...)
	for name, b := range map[string][]byte{
		"empty": {}, "truncated length": good[:3], "truncated body": good[:len(good)-1], "too long": tooLong,
		"not msgpack": {0, 0, 0, 1, 0xc1}, "trailing bytes": {0, 0, 0, 2, 0x90, 0x90},
	} {
		_, err := frame.Read(bytes.NewReader(b), limit)
		assert.Assert(t, err != nil, name)
	}
	var large bytes.Buffer
	_, err := frame.Write(&large, frame.Frame{Method: string(make([]byte, limit))}, limit)
	assert.Equal(t, gauge.KindOf(err), gauge.KindTooLarge)
}

// FuzzRead feeds arbitrary bytes to Read and to the decoders of the messages; none may
// panic or allocate memory beyond the limit.
func FuzzRead(f *testing.F) {
	heartbeat, _ := frame.Encode(&peers.Heartbeat{From: gauge.Member{ID: "e"}, ZoneLive: []string{"a"}})
	request, _ := frame.Encode(&slots.LeaseRequest{Holder: "e/1", Slots: []slots.HostSlots{{Host: "h", Quick: 1}}})
	grant, _ := frame.Encode(&slots.Grant{Pool: "p", Slots: []slots.HostSlots{{Host: "h"}}})
	for _, body := range [][]byte{heartbeat, request, grant, nil} {
		f.Add(encoded(f, frame.Frame{ID: 1, Method: "m", Body: body}))
	}
	f.Add([]byte{0, 0, 0, 5, 0xdd, 0xff, 0xff, 0xff, 0xff}) // an array whose header claims a huge length
	f.Fuzz(func(t *testing.T, b []byte) {
		got, err := frame.Read(bytes.NewReader(b), limit)
		if err != nil {
			return
		}
		if got.Version != frame.Version {
			t.Fatalf("version %d was accepted", got.Version)
		}
		_ = frame.Decode(got.Body, &peers.Heartbeat{})
		_ = frame.Decode(got.Body, &slots.LeaseRequest{})
		_ = frame.Decode(got.Body, &slots.Grant{})
	})
}
