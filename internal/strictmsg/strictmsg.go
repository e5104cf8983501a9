// Package strictmsg decodes msgpack from writers that are not trusted, such as strangers who connect
// to a node and other writers of the store.
package strictmsg

import (
	"encoding/binary"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"

	"buckthornpick/internal/fault"
)

// maxDepth limits the nesting of values. The decoder is recursive, and takes some 250 bytes of
// stack for each level.
const maxDepth = 32

// Unmarshal decodes b after Check.
func Unmarshal(b []byte, into any) error {
	if err := Check(b); err != nil {
		return err
	}
	return msgpack.Unmarshal(b, into)
}

// Check returns an error unless b holds one msgpack value, all parts of which are as long as
// they state, and whose nesting is limited. The decoder allocates by what is stated, up to a
// megabyte for each part.
func Check(b []byte) error {
	var missing [maxDepth]int // values at each level
	missing[0] = 1
	for depth := 0; depth >= 0; {
		if missing[depth] == 0 {
			depth--
			continue
		}
		missing[depth]--
		size, values, ok := valueSize(b)
		if !ok || size > len(b) || values > len(b) {
			return fault.New(fault.Protocol, "strictmsg.check", "", "message is shorter than it states")
		}
		b = b[size:]
		if values > 0 {
			if depth++; depth == maxDepth {
				return fault.New(fault.Protocol, "strictmsg.check", "", "message is nested in more than %d levels", maxDepth)
			}
			missing[depth] = values
		}
	}
	return nil
}

// valueSize returns the size in bytes of the value at the start of b without the values that it
// contains, and the number of these. ok is false if b is too short to tell, or is no value.
func valueSize(b []byte) (size, values int, ok bool) {
	if len(b) == 0 {
		return 0, 0, false
	}
	c := b[0]
	// length returns the number of the given bytes after the first one.
	length := func(bytes int) int {
		if len(b) < 1+bytes {
			ok = false
			return 0
		}
		var wide [8]byte
		copy(wide[len(wide)-bytes:], b[1:1+bytes])
		return int(binary.BigEndian.Uint64(wide[:]))
	}
	ok = true
	switch {
	case msgpcode.IsFixedNum(c), c == msgpcode.Nil, c == msgpcode.False, c == msgpcode.True:
		return 1, 0, true
	case msgpcode.IsFixedMap(c):
		return 1, 2 * int(c&msgpcode.FixedMapMask), true
	case msgpcode.IsFixedArray(c):
		return 1, int(c & msgpcode.FixedArrayMask), true
	case msgpcode.IsFixedString(c):
		return 1 + int(c&msgpcode.FixedStrMask), 0, true
	}
	switch c {
	case msgpcode.Uint8, msgpcode.Int8:
		size = 2
	case msgpcode.Uint16, msgpcode.Int16:
		size = 3
	case msgpcode.Uint32, msgpcode.Int32, msgpcode.Float:
		size = 5
	case msgpcode.Uint64, msgpcode.Int64, msgpcode.Double:
		size = 9
	case msgpcode.Bin8, msgpcode.Str8:
		size = 2 + length(1)
	case msgpcode.Bin16, msgpcode.Str16:
		size = 3 + length(2)
	case msgpcode.Bin32, msgpcode.Str32:
		size = 5 + length(4)
	case msgpcode.Array16:
		size, values = 3, length(2)
	case msgpcode.Array32:
		size, values = 5, length(4)
	case msgpcode.Map16:
		size, values = 3, 2*length(2)
	case msgpcode.Map32:
		size, values = 5, 2*length(4)
	default: // extensions are not used
		return 0, 0, false
	}
	return size, values, ok
}
