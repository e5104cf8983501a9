package strictmsg

import (
	"bytes"
	"runtime"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

type message struct {
	A int            `msgpack:"a"`
	B []any          `msgpack:"b,omitempty"`
	C map[string]any `msgpack:"c,omitempty"`
}

// Deeply nested values of the largest size that the store takes need no more stack than others.
func TestDeepNestingIsAnError(t *testing.T) {
	const size = 1 << 20
	for name, data := range map[string][]byte{
		"unknown field":  append([]byte{0x81, 0xa1, 'x'}, bytes.Repeat([]byte{0x91}, size)...),
		"known field":    append([]byte{0x81, 0xa1, 'b'}, bytes.Repeat([]byte{0x91}, size)...),
		"maps":           append([]byte{0x81, 0xa1, 'x'}, bytes.Repeat([]byte{0x81, 0xa1, 'x'}, size/3)...),
		"whole":          append(append([]byte{0x81, 0xa1, 'x'}, bytes.Repeat([]byte{0x91}, size)...), 0x01),
		"at the top":     bytes.Repeat([]byte{0x91}, size),
		"just too deep":  append(append([]byte{0x81, 0xa1, 'x'}, bytes.Repeat([]byte{0x91}, maxDepth-1)...), 0x01),
		"stated as long": {0x81, 0xa1, 'b', 0xdd, 0x00, 0xff, 0xff, 0xff},
	} {
		t.Run(name, func(t *testing.T) {
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			var m message
			require.Error(t, Unmarshal(data, &m))
			runtime.ReadMemStats(&after)
			require.Less(t, after.Sys-before.Sys, uint64(1<<20))
		})
	}
}

func TestSoundMessagesAreDecoded(t *testing.T) {
	var nested any = 1
	for range maxDepth - 3 {
		nested = []any{nested}
	}
	for _, m := range []message{{}, {A: -7, B: []any{nil, true, "text", 1.5, []any{}}, C: map[string]any{"x": map[string]any{}}}, {B: []any{nested}}} {
		data, err := msgpack.Marshal(&m)
		require.NoError(t, err)
		var got message
		require.NoError(t, Unmarshal(data, &got))
		require.Equal(t, m.A, got.A)
		for length := range len(data) {
			require.Error(t, Check(slices.Clone(data[:length])))
		}
	}
}
