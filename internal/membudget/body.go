package membudget

import (
	"context"
	"errors"
	"io"
	"os"
	"time"
)

const (
	// The parts in which a body is held have firstPartBytes at first, or firstChunkedBytes if
	// its length is unknown, then partGrowth times that of the one before, and maxPartBytes at
	// most, so that memory is taken by what has arrived.
	firstPartBytes    = 16 << 10
	firstChunkedBytes = 1 << 10
	partGrowth        = 4
	maxPartBytes      = 64 << 10
	// bodyPatience is how long a body may arrive at less than LeastRate.
	bodyPatience = 10 * time.Second
	// roomPatience is how long a body waits for room.
	roomPatience = time.Second
)

// ErrShort ends the read of a body for which there is no room. The request has not run.
var ErrShort = errors.New("no room in the memory budget")

// expiredDeadline is a deadline in the past, which ends reads at once.
var expiredDeadline = time.Unix(1, 0)

// BodySource is a body that arrives.
type BodySource struct {
	io.Reader
	// Declared is the length in bytes, negative if it is unknown.
	Declared int64
	// Group is the group of the holder, see Budget.Open.
	Group string
	// SetReadDeadline sets the deadline of reads on the body's connection.
	SetReadDeadline func(time.Time) error
	// End is when the body must have arrived.
	End time.Time
}

// ReadBody reads a body to its end, in parts. The holder has its memory and must be closed
// also after an error. Errors are ErrShort, os.ErrDeadlineExceeded if the body arrives too
// slowly, and those of the source. After a success the connection has no read deadline. A
// nil Budget has no bound.
func (b *Budget) ReadBody(ctx context.Context, s BodySource) ([][]byte, *Holder, error) {
	h := b.Open(Bodies, s.Group, func() { _ = s.SetReadDeadline(expiredDeadline) })
	parts, err := s.readParts(ctx, h)
	switch {
	case err == nil && !h.Keep(), errors.Is(err, os.ErrDeadlineExceeded) && h.HasYielded():
		return nil, h, ErrShort
	case err != nil:
		return nil, h, err
	}
	_ = s.SetReadDeadline(time.Time{}) // fails if the connection is closed
	return parts, h, nil
}

func (s *BodySource) readParts(ctx context.Context, h *Holder) ([][]byte, error) {
	var parts [][]byte
	size, read := int64(firstPartBytes), int64(0)
	if s.Declared < 0 {
		size = firstChunkedBytes
	}
	for s.Declared < 0 || read < s.Declared {
		if s.Declared >= 0 {
			size = min(size, s.Declared-read)
		}
		if !h.Reserve(ctx, size, roomPatience) {
			return nil, ErrShort
		}
		part := make([]byte, size)
		n, err := s.fill(h, part)
		read += int64(n)
		if n > 0 {
			parts = append(parts, part[:n])
		}
		switch {
		case err == io.EOF && read < s.Declared:
			return nil, io.ErrUnexpectedEOF
		case err == io.EOF:
			return parts, nil
		case err != nil:
			return nil, err
		}
		size = min(partGrowth*size, maxPartBytes)
	}
	return parts, nil
}

// fill reads until the part is full.
func (s *BodySource) fill(h *Holder, part []byte) (int, error) {
	filled := 0
	for filled < len(part) {
		now := time.Now()
		deadline := now.Add(bodyPatience - h.StalledFor(now))
		if deadline.After(s.End) {
			deadline = s.End
		}
		if h.HasYielded() {
			return filled, ErrShort
		}
		_ = s.SetReadDeadline(deadline) // fails if the connection is closed
		n, err := s.Read(part[filled:])
		filled += n
		h.Progress(n)
		if err != nil {
			return filled, err
		}
	}
	return filled, nil
}
