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

// A frame is: length of the rest (4 bytes, big endian), type (1), stream (4),
// payload. The payload of open and notify frames starts with the kind (2).
type frameType uint8

const (
	frameOpen   frameType = 1 // first message of a stream
	frameData   frameType = 2 // further message, takes one credit
	frameEnd    frameType = 3 // the sender sends no more messages
	frameDone   frameType = 4 // the handler returned; payload: RemoteError or nothing
	frameReset  frameType = 5 // the opener abandoned the stream
	frameCredit frameType = 6 // payload: number of messages consumed (4)
	frameNotify frameType = 7 // one-way message
	framePing   frameType = 8
	framePong   frameType = 9
	frameGoAway frameType = 10 // the sender opens no more streams here
)

const (
	lengthBytes       = 4
	headerBytes       = lengthBytes + 1 + 4
	kindBytes         = 2
	creditBytes       = 4
	socketBufferBytes = 64 << 10
	// pooledBytes bounds the buffers that are kept for reuse.
	maxPooledBytes = 64 << 10
)

// header is the decoded head of a frame; size is the payload's.
type header struct {
	kind   frameType
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

// newFrame returns a buffer with room for the header.
func newFrameBuffer() *bytes.Buffer {
	b := getBuffer()
	var head [headerBytes]byte
	b.Write(head[:])
	return b
}

// seal fills in the header of a frame made by newFrame.
func fillHeader(b *bytes.Buffer, kind frameType, stream uint32) {
	head := b.Bytes()
	binary.BigEndian.PutUint32(head, uint32(b.Len()-lengthBytes))
	head[lengthBytes] = byte(kind)
	binary.BigEndian.PutUint32(head[lengthBytes+1:], stream)
}

// rawFrame returns a frame with a payload that is not msgpack.
func rawFrame(kind frameType, stream uint32, payload ...byte) *bytes.Buffer {
	b := newFrameBuffer()
	b.Write(payload)
	fillHeader(b, kind, stream)
	return b
}

func creditFrame(stream uint32, n int) *bytes.Buffer {
	var p [creditBytes]byte
	binary.BigEndian.PutUint32(p[:], uint32(n))
	return rawFrame(frameCredit, stream, p[:]...)
}

// messageFrame encodes msg; limit is the largest payload in bytes.
func messageFrame(t frameType, stream uint32, prefix []byte, msg any, limit int) (*bytes.Buffer, error) {
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
	fillHeader(b, t, stream)
	return b, nil
}

func kindPrefix(k Kind) []byte { return []byte{byte(k >> 8), byte(k)} }

// decode reads one msgpack value.
func decode(payload []byte, into any) error {
	dec := msgpack.GetDecoder()
	dec.Reset(bytes.NewReader(payload))
	err := dec.Decode(into)
	msgpack.PutDecoder(dec)
	return fault.Wrap(err, fault.Protocol, "peer.decode", "", "decode %T", into)
}

// readFrame reads a frame; its payload is in a pooled buffer.
func readFrame(r *bufio.Reader, limit int) (header, *bytes.Buffer, error) {
	var head [headerBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return header{}, nil, err
	}
	length := int(binary.BigEndian.Uint32(head[:]))
	h := header{
		kind:   frameType(head[lengthBytes]),
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
