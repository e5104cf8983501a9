package peer

import (
	"bufio"
	"bytes"
	"context"
	"sync"
	"time"

	"buckthornpick/internal/fault"
)

func (c *conn) writeLoop() {
	w := bufio.NewWriterSize(c.nc, socketBufferBytes)
	for {
		b, ok := c.nextFrame(w)
		if !ok {
			return
		}
		_, err := w.Write(b.Bytes())
		putBuffer(b)
		if err != nil {
			c.fail(fault.Wrap(err, fault.Unavailable, "peer.write", c.remote.ID, "write"))
			return
		}
	}
}

// nextFrame returns the next frame to write. It flushes w before it blocks.
func (c *conn) nextFrame(w *bufio.Writer) (*bytes.Buffer, bool) {
	select {
	case b := <-c.ctrl:
		return b, true
	case b := <-c.queue:
		return b, true
	default:
	}
	if err := w.Flush(); err != nil {
		c.fail(fault.Wrap(err, fault.Unavailable, "peer.write", c.remote.ID, "flush"))
		return nil, false
	}
	select {
	case b := <-c.ctrl:
		return b, true
	case b := <-c.queue:
		return b, true
	case <-c.done:
		return nil, false
	}
}

func (c *conn) readLoop(ctx context.Context, wg *sync.WaitGroup) error {
	r := bufio.NewReaderSize(c.nc, socketBufferBytes)
	limit := c.t.options.MaxFrameBytes + kindBytes
	for {
		hdr, b, err := readFrame(r, limit)
		if err != nil {
			if fault.Is(err, fault.Protocol) {
				return err
			}
			return fault.Wrap(err, fault.Unavailable, "peer.read", c.remote.ID, "read")
		}
		c.lastRead.Store(time.Now().UnixNano())
		if err := c.handleFrame(ctx, wg, hdr, b); err != nil {
			return err
		}
	}
}

// handleFrame processes one received frame. It takes ownership of payload,
// which may be nil.
func (c *conn) handleFrame(ctx context.Context, wg *sync.WaitGroup, h header, payload *bytes.Buffer) error {
	switch h.typ {
	case frameOpen:
		return c.acceptStream(ctx, wg, h.stream, payload)
	case frameNotify:
		return c.handleNotify(payload)
	case frameData:
		if s := c.stream(h.stream); s != nil {
			return s.push(payload)
		}
		putBuffer(payload) // the stream has already ended on this side
		return nil
	}
	defer putBuffer(payload)
	switch h.typ {
	case framePing:
		c.enqueueControl(rawFrame(framePong, 0))
	case framePong:
	case frameGoAway:
		return c.handleGoAway()
	case frameEnd, frameDone, frameReset, frameCredit:
		s := c.stream(h.stream)
		if s == nil {
			return nil
		}
		return s.handleControl(h.typ, payload)
	default:
		return fault.New(fault.Protocol, "peer.read", c.remote.ID, "unknown frame type %d", h.typ)
	}
	return nil
}
