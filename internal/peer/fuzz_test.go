package peer

import (
	"bufio"
	"bytes"
	"io"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"buckthornpick/internal/strictmsg"
)

// allocated returns how many bytes f allocates.
func allocated(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// Strangers can send any bytes to the port of the inner protocol. Their handshake ends without a
// panic, and takes little more memory than what they send.
func FuzzHandshake(f *testing.F) {
	var sound bytes.Buffer
	require.NoError(f, writeHandshake(&sound, true, hello{ID: "a", Zone: "z", Address: "a:1", Nonce: make([]byte, nonceBytes), Window: 64}))
	f.Add(sound.Bytes(), true)
	f.Add(sound.Bytes()[preambleBytes:], false)
	f.Add([]byte("\x00\x0b\x86\xa1i\xdb\x01\x00\x00\x00xyz"), false)
	f.Add([]byte("\x00\x06\xdd\xff\xff\xff\xff\x00"), false)
	f.Add([]byte("\x00\x06\xdf\xff\xff\xff\xff\x00"), false)
	f.Fuzz(func(t *testing.T, text []byte, preamble bool) {
		var into hello
		bytesTaken := allocated(func() { _ = readHandshake(bytes.NewReader(text), preamble, &into) })
		require.Less(t, bytesTaken, uint64(maxHandshakeBytes+4*len(text)+(64<<10)))
	})
}

// A frame is read without a panic, and takes memory by what has arrived, not by the length that
// it states. Its message, of an authenticated node, is decoded without a panic.
func FuzzReadFrame(f *testing.F) {
	f.Add([]byte("\x00\x00\x00\x08\x02\x00\x00\x00\x01abc"))
	f.Add([]byte("\x7f\xff\xff\xff\x02\x00\x00\x00\x01abc"))
	f.Add([]byte("\x00\x7f\xff\xff\x02\x00\x00\x00\x01abc"))
	f.Add([]byte("\x00\x00\x00\x00\x02"))
	f.Fuzz(func(t *testing.T, text []byte) {
		var h header
		var b *bytes.Buffer
		var err error
		bytesTaken := allocated(func() { h, b, err = readFrame(bufio.NewReader(bytes.NewReader(text)), defaultMaxFrameBytes) })
		require.Less(t, bytesTaken, uint64(4*len(text)+(64<<10)))
		if err == nil && b != nil {
			require.Equal(t, h.size, b.Len())
			var into any
			_ = decode(b.Bytes(), &into)
			putBuffer(b)
		}
	})
}

// What was encoded passes the check of its lengths, and what passes is decoded or refused without
// reading beyond its end.
func FuzzCheckLengths(f *testing.F) {
	f.Add([]byte("\xdb\x7f\xff\xff\xff"), "text", int64(-7), uint64(1<<40), true)
	f.Add([]byte("\xdd\xff\xff\xff\xff"), "", int64(1<<33), uint64(0), false)
	f.Add([]byte("\x82\xa1a\xc4\x03xyz\xa1b\x93\x01\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xc0"), "x", int64(0), uint64(300), true)
	f.Fuzz(func(t *testing.T, text []byte, s string, i int64, u uint64, isTrue bool) {
		sound, err := msgpack.Marshal(map[string]any{s: []any{i, u, isTrue, nil, 1.5, float32(2), text}, "m": map[string]string{s: s}})
		require.NoError(t, err)
		require.NoError(t, strictmsg.Check(sound))
		require.Error(t, strictmsg.Check(sound[:len(sound)-1]))
		if strictmsg.Check(text) == nil {
			var into any
			require.NotErrorIs(t, msgpack.Unmarshal(text, &into), io.ErrUnexpectedEOF)
		}
	})
}
