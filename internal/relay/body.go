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
)

// answerRoomPatience is how long an answer waits for room in the memory budget; without room
// it is lost.
const answerRoomPatience = 2 * time.Second

// expiredDeadline is a deadline in the past, which ends reads and writes at once.
var expiredDeadline = time.Unix(1, 0)

// readContent reads the body, up to limit bytes. A body that arrives too slowly, or for
// which there is no memory, ends the request, which has not run.
func (q *request) readContent(limit int64) *refusal {
	if q.r.ContentLength == 0 {
		return nil
	}
	body, memory, err := q.relay.Memory.ReadBody(q.r.Context(), membudget.BodySource{
		Reader: http.MaxBytesReader(q.w, q.r.Body, limit), Declared: q.r.ContentLength, Group: callerHost(q.r),
		SetReadDeadline: http.NewResponseController(q.w).SetReadDeadline, End: q.deadline,
	})
	q.bodyMemory = memory
	if err == nil {
		q.body = body
		return nil
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, membudget.ErrShort):
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
		return 0, membudget.ErrShort
	}
	return n, err
}
