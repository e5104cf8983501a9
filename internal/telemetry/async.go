package telemetry

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"sync"
	"time"
)

// EvLinesDropped is logged in place of dropped log lines.
var EvLinesDropped = Register(1010, "log-lines-dropped", slog.LevelWarn, "Log lines were dropped because they were produced faster than they could be written.")

const (
	// DefaultMaxLines and DefaultMaxBytes bound the queue of lines to write.
	DefaultMaxLines = 8192
	DefaultMaxBytes = 8 << 20

	asyncBufferBytes = 64 << 10
	// flushTimeout bounds the time that Flush waits.
	flushTimeout = 2 * time.Second
)

// AsyncWriter decouples logging from a slow writer: lines are queued and written
// by Run. A line that does not fit into the queue is dropped and counted, so
// that callers never block. It is safe for concurrent use.
//
// Invariant, under mu: pendingBytes is the total size of the queued lines and of
// those that Run is writing.
type AsyncWriter struct {
	w        io.Writer
	maxLines int
	maxBytes int

	mu           sync.Mutex
	queued       [][]byte
	pendingBytes int
	dropped      int
	isStopped    bool
	// flushed is closed when all lines are written; nil if no Flush is waiting.
	flushed chan struct{}

	wake chan struct{}
}

// NewAsyncWriter returns a writer in front of w that queues at most maxLines
// lines with a total of maxBytes.
func NewAsyncWriter(w io.Writer, maxLines, maxBytes int) *AsyncWriter {
	return &AsyncWriter{w: w, maxLines: maxLines, maxBytes: maxBytes, wake: make(chan struct{}, 1)}
}

// Write implements io.Writer for one line. Until Run ends, also before it starts,
// Write queues the line, or drops it if the queue is full, and returns no error;
// after that it writes directly.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.isStopped {
		return a.w.Write(line)
	}
	if len(a.queued) >= a.maxLines || a.pendingBytes+len(line) > a.maxBytes {
		a.dropped++
		return len(line), nil
	}
	a.queued = append(a.queued, append([]byte(nil), line...))
	a.pendingBytes += len(line)
	select {
	case a.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Run writes queued lines until ctx ends, then writes the remaining ones and
// returns. report writes a line to w that gives the number of dropped lines; it is
// called after the lines that were queued before them have been written.
func (a *AsyncWriter) Run(ctx context.Context, report func(w io.Writer, dropped int)) error {
	out := bufio.NewWriterSize(a.w, asyncBufferBytes)
	for ctx.Err() == nil {
		select {
		case <-a.wake:
			a.drain(out, report)
		case <-ctx.Done():
		}
	}
	a.drain(out, report)
	a.mu.Lock()
	a.isStopped = true
	a.mu.Unlock()
	a.drain(out, report)
	return nil
}

// drain writes all queued lines.
func (a *AsyncWriter) drain(out *bufio.Writer, report func(w io.Writer, dropped int)) {
	for {
		lines, dropped := a.takeQueued()
		if len(lines) == 0 && dropped == 0 {
			_ = out.Flush()
			a.signalFlushed()
			return
		}
		size := 0
		for _, line := range lines {
			_, _ = out.Write(line)
			size += len(line)
		}
		if dropped > 0 {
			report(out, dropped)
		}
		_ = out.Flush()
		a.releaseBytes(size)
	}
}

func (a *AsyncWriter) takeQueued() (lines [][]byte, dropped int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	lines, dropped = a.queued, a.dropped
	a.queued, a.dropped = nil, 0
	return lines, dropped
}

func (a *AsyncWriter) releaseBytes(size int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pendingBytes -= size
}

// signalFlushed wakes callers of Flush unless another line was queued meanwhile.
func (a *AsyncWriter) signalFlushed() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.flushed != nil && len(a.queued) == 0 {
		close(a.flushed)
		a.flushed = nil
	}
}

// Flush waits until all lines have been written, for at most flushTimeout.
func (a *AsyncWriter) Flush() {
	a.mu.Lock()
	if a.isStopped || a.pendingBytes == 0 {
		a.mu.Unlock()
		return
	}
	if a.flushed == nil {
		a.flushed = make(chan struct{})
	}
	flushed := a.flushed
	a.mu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
	t := time.NewTimer(flushTimeout)
	defer t.Stop()
	select {
	case <-flushed:
	case <-t.C:
	}
}
