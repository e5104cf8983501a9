package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"buckthornpick/internal/membudget"
	"buckthornpick/internal/upstream"
)

const (
	// firstPartBytes and maxPartBytes are the sizes of the parts in which a body is held.
	// Each is twice the one before, so that memory is taken by what has arrived.
	firstPartBytes = 16 << 10
	maxPartBytes   = 64 << 10
	// bodyPatience is how long a body may arrive at less than membudget.LeastRate.
	bodyPatience = 10 * time.Second
	// roomPatience is how long the body of a request waits for room in the memory budget,
	// and answerRoomPatience how long an answer does, which would be lost.
	roomPatience       = time.Second
	answerRoomPatience = 2 * time.Second
)

// errMemoryShort ends the read of a body or an answer for which there is no room.
var errMemoryShort = errors.New("no room in the memory budget")

// expiredDeadline is a deadline in the past, which ends reads and writes at once.
var expiredDeadline = time.Unix(1, 0)

// readContent reads the body, up to limit bytes. A body that arrives too slowly, or for
// which there is no memory, ends the request, which has not run.
func (q *request) readContent(limit int64) *refusal {
	if q.r.ContentLength == 0 {
		return nil
	}
	connection := http.NewResponseController(q.w)
	q.bodyMemory = q.relay.Memory.Open(membudget.Bodies, callerHost(q.r), func() { _ = connection.SetReadDeadline(expiredDeadline) })
	body, err := q.readParts(http.MaxBytesReader(q.w, q.r.Body, limit))
	if err == nil && !q.bodyMemory.Keep() {
		err = errMemoryShort
	}
	if err == nil {
		_ = connection.SetReadDeadline(time.Time{}) // fails if the connection is closed
		q.body = body
		return nil
	}
	var tooLarge *http.MaxBytesError
	switch {
	case q.bodyMemory.HasYielded() || errors.Is(err, errMemoryShort):
		q.w.Header().Set("Connection", "close") // else net/http waits for the rest before it responds
		return unavailable(reasonMemoryShort, retryAfterBusy)
	case errors.Is(err, os.ErrDeadlineExceeded):
		q.w.Header().Set("Connection", "close")
		return &refusal{status: http.StatusRequestTimeout, reason: reasonBodyTimeout}
	case errors.As(err, &tooLarge):
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: reasonBodyTooLarge}
	}
	q.detail = err.Error()
	return &refusal{status: http.StatusBadRequest, reason: reasonBadRequest}
}

// readParts reads a body to its end.
func (q *request) readParts(r io.Reader) (upstream.Body, error) {
	var body upstream.Body
	declared, size, read := q.r.ContentLength, int64(firstPartBytes), int64(0)
	for declared < 0 || read < declared {
		if declared >= 0 {
			size = min(size, declared-read)
		}
		if !q.bodyMemory.Reserve(q.r.Context(), size, roomPatience) {
			return nil, errMemoryShort
		}
		part := make([]byte, size)
		n, err := q.fillPart(r, part)
		read += int64(n)
		if n > 0 {
			body = append(body, part[:n])
		}
		switch {
		case err == io.EOF && read < declared:
			return nil, io.ErrUnexpectedEOF
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, err
		}
		size = min(2*size, maxPartBytes)
	}
	return body, nil
}

// fillPart reads from r until the part is full.
func (q *request) fillPart(r io.Reader, part []byte) (int, error) {
	connection := http.NewResponseController(q.w)
	filled := 0
	for filled < len(part) {
		now := time.Now()
		deadline := now.Add(bodyPatience - q.bodyMemory.StalledFor(now))
		if deadline.After(q.deadline) {
			deadline = q.deadline
		}
		if q.bodyMemory.HasYielded() {
			return filled, errMemoryShort
		}
		_ = connection.SetReadDeadline(deadline) // fails if the connection is closed
		n, err := r.Read(part[filled:])
		filled += n
		q.bodyMemory.Progress(n)
		if err != nil {
			return filled, err
		}
	}
	return filled, nil
}

// callerHost returns the host of the caller's address.
func callerHost(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// releaseMemory gives back what the request holds.
func (q *request) releaseMemory() {
	q.bodyMemory.Close()
	q.answerMemory.Close()
}

// reserveAnswer returns a reader of an answer that reserves room for what is read, twice,
// since buffers grow by doubling.
func (q *request) reserveAnswer(ctx context.Context, r io.Reader) io.Reader {
	if q.answerMemory == nil {
		q.answerMemory = q.relay.Memory.Open(membudget.Answers, callerHost(q.r), nil)
	}
	return &reservedReader{ctx: ctx, source: r, memory: q.answerMemory}
}

// reservedReader reserves memory for the bytes that it reads.
type reservedReader struct {
	ctx    context.Context
	source io.Reader
	memory *membudget.Holder
}

// Read implements io.Reader.
func (r *reservedReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	if n > 0 && !r.memory.Reserve(r.ctx, 2*int64(n), answerRoomPatience) {
		return 0, errMemoryShort
	}
	return n, err
}
