package frame

import (
	"encoding/binary"

	"github.com/vmihailenco/msgpack/v5/msgpcode"

	gauge "sapphiregauge"
)

// countValues returns how many values an encoded value has in it, itself included: elements of arrays,
// and keys and values of maps.
func countValues(b []byte) (int, error) {
	count := 0
	for left := 1; left > 0; left-- {
		size, elements := measure(b)
		// An element has at least one byte.
		if size == 0 || size > len(b) || elements > len(b)-size {
			return 0, gauge.Errorf(gauge.KindInvalid, "frame: malformed value %d", count)
		}
		b = b[size:]
		left += elements
		count++
	}
	return count, nil
}

// measure returns the size of the value that b begins with, without its elements, and the number of
// these. The size is 0 if b is too short to tell, or begins with no value.
func measure(b []byte) (size, elements int) {
	if len(b) == 0 {
		return 0, 0
	}
	switch c := b[0]; {
	case msgpcode.IsFixedNum(c), c == msgpcode.Nil, c == msgpcode.False, c == msgpcode.True:
		return 1, 0
	case msgpcode.IsFixedMap(c):
		return 1, 2 * int(c&msgpcode.FixedMapMask)
	case msgpcode.IsFixedArray(c):
		return 1, int(c & msgpcode.FixedArrayMask)
	case msgpcode.IsFixedString(c):
		return 1 + int(c&msgpcode.FixedStrMask), 0
	case c >= msgpcode.FixExt1 && c <= msgpcode.FixExt16:
		return 2 + 1<<(c-msgpcode.FixExt1), 0
	default:
		return measureLong(b)
	}
}

// measureLong is measure for values whose first byte doesn't tell their size.
func measureLong(b []byte) (size, elements int) {
	switch b[0] {
	case msgpcode.Uint8, msgpcode.Int8:
		return 2, 0
	case msgpcode.Uint16, msgpcode.Int16:
		return 3, 0
	case msgpcode.Uint32, msgpcode.Int32, msgpcode.Float:
		return 5, 0
	case msgpcode.Uint64, msgpcode.Int64, msgpcode.Double:
		return 9, 0
	case msgpcode.Str8, msgpcode.Bin8:
		return sized(b, 1, 0)
	case msgpcode.Str16, msgpcode.Bin16:
		return sized(b, 2, 0)
	case msgpcode.Str32, msgpcode.Bin32:
		return sized(b, 4, 0)
	case msgpcode.Ext8:
		return sized(b, 1, 1)
	case msgpcode.Ext16:
		return sized(b, 2, 1)
	case msgpcode.Ext32:
		return sized(b, 4, 1)
	case msgpcode.Array16:
		return 3, length(b, 2)
	case msgpcode.Array32:
		return 5, length(b, 4)
	case msgpcode.Map16:
		return 3, 2 * length(b, 2)
	case msgpcode.Map32:
		return 5, 2 * length(b, 4)
	default:
		return 0, 0
	}
}

// sized returns the size of a value whose length stands in so many bytes after the first one, and is
// followed by more bytes than it counts.
func sized(b []byte, lengthBytes, more int) (size, elements int) {
	return 1 + lengthBytes + more + length(b, lengthBytes), 0
}

// length returns the number in the bytes after the first one; 0 if there are too few.
func length(b []byte, bytes int) int {
	if len(b) <= bytes {
		return 0
	}
	switch bytes {
	case 1:
		return int(b[1])
	case 2:
		return int(binary.BigEndian.Uint16(b[1:]))
	default:
		return int(binary.BigEndian.Uint32(b[1:]))
	}
}
