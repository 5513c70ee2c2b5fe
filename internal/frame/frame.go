// Package frame reads and writes the frames that entries send each other over
// TCP: four bytes of length, then one msgpack array. A frame that is too long,
// truncated, malformed or of another version is rejected before any of it is
// used, and its length is checked before memory is allocated for it.
package frame

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"

	"github.com/vmihailenco/msgpack/v5"

	gauge "sapphiregauge"
)

// Version is the version of the frame layout that this package reads and writes.
const Version = 1

const prefixSize = 4

// Frame is one message, encoded as an array in the order of the fields. ID pairs an answer with its
// request. Method is empty in an answer. Fault is the gauge.Kind of an error answer, whose body is
// the error text; otherwise it is empty.
type Frame struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Version  int
	ID       uint64
	Method   string
	Fault    string
	Body     msgpack.RawMessage
}

// Write sends one frame of at most limit bytes without its length prefix, and returns the number of
// bytes sent. A longer frame is an error of gauge.KindTooLarge.
func Write(w io.Writer, f Frame, limit int) (int, error) {
	f.Version = Version
	var buf bytes.Buffer
	buf.Write(make([]byte, prefixSize))
	if err := msgpack.NewEncoder(&buf).Encode(&f); err != nil {
		return 0, gauge.Errorf(gauge.KindInternal, "frame.Write").WithCause(err)
	}
	size := buf.Len() - prefixSize
	if size > limit {
		return 0, gauge.Errorf(gauge.KindTooLarge, "frame of %d bytes, limit %d", size, limit)
	}
	binary.BigEndian.PutUint32(buf.Bytes(), uint32(size))
	return w.Write(buf.Bytes())
}

// Read reads one frame. A frame of more than limit bytes is an error of gauge.KindTooLarge, a
// malformed one or one of another version of gauge.KindInvalid; errors of r are returned as they
// are.
func Read(r io.Reader, limit int) (Frame, error) {
	return ReadReserved(r, limit, func(int) error { return nil })
}

// valueBytes is what a value of a frame takes once it is decoded, at most: an element of one byte may
// become a struct.
const valueBytes = 256

// ReadReserved is Read, and calls reserve with a number of bytes before that much memory is taken: as
// the frame arrives, not for what its prefix announces, and then for its decoded values. An error of
// reserve is returned as it is.
func ReadReserved(r io.Reader, limit int, reserve func(bytes int) error) (Frame, error) {
	var f Frame
	var prefix [prefixSize]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return f, err
	}
	size := binary.BigEndian.Uint32(prefix[:])
	if int64(size) > int64(limit) {
		return f, gauge.Errorf(gauge.KindTooLarge, "frame of %d bytes, limit %d", size, limit)
	}
	body, err := readBody(r, int(size), reserve)
	if err != nil {
		return f, err
	}
	values, err := countValues(body)
	if err != nil {
		return f, err
	}
	if err := reserve(values * valueBytes); err != nil {
		return f, err
	}
	if err := Decode(body, &f); err != nil {
		return f, err
	}
	if f.Version != Version {
		return f, gauge.Errorf(gauge.KindInvalid, "frame version %d, supported version is %d", f.Version, Version)
	}
	return f, nil
}

// firstPiece is the memory that is taken, in bytes, before the first byte of a longer body has come.
const firstPiece = 4 << 10

// readBody reads size bytes into memory that doubles as they arrive.
func readBody(r io.Reader, size int, reserve func(bytes int) error) ([]byte, error) {
	var body []byte
	for read := 0; read < size; read = len(body) {
		next := min(max(2*read, firstPiece), size)
		if err := reserve(next - read); err != nil {
			return nil, err
		}
		body = append(make([]byte, 0, next), body...)[:next]
		_, err := io.ReadFull(r, body[read:])
		if errors.Is(err, io.EOF) && read > 0 {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
	}
	return body, nil
}

// Encode encodes a value as the body of a frame.
func Encode(v any) (msgpack.RawMessage, error) {
	b, err := msgpack.Marshal(v)
	if err != nil {
		return nil, gauge.Errorf(gauge.KindInternal, "frame.Encode").WithCause(err)
	}
	return b, nil
}

// Decode decodes the body of a frame into v. It never panics, whatever the input; trailing bytes
// are an error.
func Decode(b []byte, v any) error {
	r := bytes.NewReader(b)
	if err := msgpack.NewDecoder(r).Decode(v); err != nil {
		return gauge.Errorf(gauge.KindInvalid, "frame.Decode").WithCause(err)
	}
	if r.Len() > 0 {
		return gauge.Errorf(gauge.KindInvalid, "frame.Decode: %d trailing bytes", r.Len())
	}
	return nil
}
