// Package frame reads and writes the frames that entries send each other over
// TCP: four bytes of length, then one msgpack array. A frame that is too long,
// cut short, malformed or of a later version is an error before anything of it
// is used, and its length is checked before memory is taken for it.
package frame

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/vmihailenco/msgpack/v5"

	gauge "sapphiregauge"
)

// Version is the newest frame layout that this program reads and writes.
const Version = 1

const headSize = 4

// Frame is one message. Method is empty in an answer; Fault is the error kind
// of a failed answer.
type Frame struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Version  int
	ID       uint64
	Method   string
	Fault    string
	Body     msgpack.RawMessage
}

// Write sends one frame. It returns the bytes sent.
func Write(w io.Writer, f Frame, limit int) (int, error) {
	f.Version = Version
	var buf bytes.Buffer
	buf.Write(make([]byte, headSize))
	if err := msgpack.NewEncoder(&buf).Encode(&f); err != nil {
		return 0, gauge.Fail(gauge.KindInternal, "frame.Write").Because(err)
	}
	size := buf.Len() - headSize
	if size > limit {
		return 0, gauge.Fail(gauge.KindLarge, "frame of %d bytes, limit %d", size, limit)
	}
	binary.BigEndian.PutUint32(buf.Bytes(), uint32(size))
	return w.Write(buf.Bytes())
}

// Read reads one frame.
func Read(r io.Reader, limit int) (Frame, error) {
	var f Frame
	var head [headSize]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return f, err
	}
	size := binary.BigEndian.Uint32(head[:])
	if int64(size) > int64(limit) {
		return f, gauge.Fail(gauge.KindLarge, "frame of %d bytes, limit %d", size, limit)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return f, err
	}
	if err := Decode(body, &f); err != nil {
		return f, err
	}
	if f.Version != Version {
		return f, gauge.Fail(gauge.KindInvalid, "frame version %d, this program knows %d", f.Version, Version)
	}
	return f, nil
}

// Encode makes the body of a frame.
func Encode(v any) (msgpack.RawMessage, error) {
	b, err := msgpack.Marshal(v)
	if err != nil {
		return nil, gauge.Fail(gauge.KindInternal, "frame.Encode").Because(err)
	}
	return b, nil
}

// Decode reads the body of a frame. Whatever the bytes, it returns an error
// rather than panic, and bytes left over are an error.
func Decode(b []byte, v any) error {
	r := bytes.NewReader(b)
	if err := msgpack.NewDecoder(r).Decode(v); err != nil {
		return gauge.Fail(gauge.KindInvalid, "frame.Decode").Because(err)
	}
	if r.Len() > 0 {
		return gauge.Fail(gauge.KindInvalid, "frame.Decode: %d bytes left over", r.Len())
	}
	return nil
}
