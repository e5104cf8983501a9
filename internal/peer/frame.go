package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"sync"

	"github.com/vmihailenco/msgpack/v5"

	"buckthornpick/internal/fault"
)

// frameType is the type of a frame. A frame consists of the length of the
// remaining bytes (4 bytes, big endian), the type (1 byte), the stream ID
// (4 bytes) and the payload. The payload of open and notify frames starts with
// the Kind (2 bytes).
type frameType uint8

const (
	frameOpen   frameType = 1 // opens a stream and carries its first message
	frameData   frameType = 2 // subsequent message; consumes one credit
	frameEnd    frameType = 3 // the sender sends no more messages
	frameDone   frameType = 4 // the handler returned; payload: a RemoteError, or empty on success
	frameReset  frameType = 5 // the opener closed the stream early
	frameCredit frameType = 6 // payload: number of messages consumed (4 bytes)
	frameNotify frameType = 7 // one-way message
	framePing   frameType = 8
	framePong   frameType = 9
	frameGoAway frameType = 10 // the sender opens no more streams on this connection
)

const (
	lengthBytes       = 4
	headerBytes       = lengthBytes + 1 + 4
	kindBytes         = 2
	creditBytes       = 4
	socketBufferBytes = 64 << 10
	// maxPooledBytes is the largest capacity of a buffer that is kept for reuse.
	maxPooledBytes = 64 << 10
)

// header is a decoded frame header; size is the payload size in bytes.
type header struct {
	typ    frameType
	stream uint32
	size   int
}

var bufferPool = sync.Pool{New: func() any { return new(bytes.Buffer) }}

func getBuffer() *bytes.Buffer {
	b := bufferPool.Get().(*bytes.Buffer)
	b.Reset()
	return b
}

func putBuffer(b *bytes.Buffer) {
	if b != nil && b.Cap() <= maxPooledBytes {
		bufferPool.Put(b)
	}
}

// newFrameBuffer returns a pooled buffer with space reserved for the header.
func newFrameBuffer() *bytes.Buffer {
	b := getBuffer()
	var head [headerBytes]byte
	b.Write(head[:])
	return b
}

// fillHeader writes the header of a frame whose buffer was made by newFrameBuffer;
// b must hold the whole payload.
func fillHeader(b *bytes.Buffer, typ frameType, stream uint32) {
	head := b.Bytes()
	binary.BigEndian.PutUint32(head, uint32(b.Len()-lengthBytes))
	head[lengthBytes] = byte(typ)
	binary.BigEndian.PutUint32(head[lengthBytes+1:], stream)
}

// rawFrame returns a frame whose payload is not encoded with msgpack.
func rawFrame(typ frameType, stream uint32, payload ...byte) *bytes.Buffer {
	b := newFrameBuffer()
	b.Write(payload)
	fillHeader(b, typ, stream)
	return b
}

func creditFrame(stream uint32, n int) *bytes.Buffer {
	var p [creditBytes]byte
	binary.BigEndian.PutUint32(p[:], uint32(n))
	return rawFrame(frameCredit, stream, p[:]...)
}

// messageFrame returns a frame with prefix and the encoded msg as its payload.
// limit is the maximum payload size in bytes.
func messageFrame(typ frameType, stream uint32, prefix []byte, msg any, limit int) (*bytes.Buffer, error) {
	b := newFrameBuffer()
	b.Write(prefix)
	enc := msgpack.GetEncoder()
	enc.Reset(b)
	err := enc.Encode(msg)
	msgpack.PutEncoder(enc)
	if err != nil {
		putBuffer(b)
		return nil, fault.Wrap(err, fault.Invalid, "peer.encode", "", "encode %T", msg)
	}
	if size := b.Len() - headerBytes; size > limit {
		putBuffer(b)
		return nil, fault.New(fault.Invalid, "peer.encode", "", "message of %d bytes exceeds the limit of %d", size, limit)
	}
	fillHeader(b, typ, stream)
	return b, nil
}

func kindPrefix(k Kind) []byte { return []byte{byte(k >> 8), byte(k)} }

// decode decodes one msgpack value from payload.
func decode(payload []byte, into any) error {
	dec := msgpack.GetDecoder()
	dec.Reset(bytes.NewReader(payload))
	err := dec.Decode(into)
	msgpack.PutDecoder(dec)
	return fault.Wrap(err, fault.Protocol, "peer.decode", "", "decode %T", into)
}

// readFrame reads one frame. The payload is in a pooled buffer owned by the
// caller, nil if it is empty. limit is the maximum payload size in bytes.
func readFrame(r *bufio.Reader, limit int) (header, *bytes.Buffer, error) {
	var head [headerBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return header{}, nil, err
	}
	length := int(binary.BigEndian.Uint32(head[:]))
	h := header{
		typ:    frameType(head[lengthBytes]),
		stream: binary.BigEndian.Uint32(head[lengthBytes+1:]),
		size:   length - (headerBytes - lengthBytes),
	}
	if h.size < 0 || h.size > limit {
		return h, nil, fault.New(fault.Protocol, "peer.read", "", "frame of %d bytes exceeds the limit of %d", h.size, limit)
	}
	if h.size == 0 {
		return h, nil, nil
	}
	b := getBuffer()
	if _, err := io.CopyN(b, r, int64(h.size)); err != nil {
		putBuffer(b)
		return h, nil, err
	}
	return h, b, nil
}
