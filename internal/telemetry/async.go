package telemetry

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"sync"
	"time"
)

// EvLinesDropped is logged by the process that lost log lines.
var EvLinesDropped = Register(1010, "log-lines-dropped", slog.LevelWarn, "Log lines were dropped because the log could not be written as fast as they came.")

const (
	// DefaultMaxLines and DefaultMaxBytes bound the lines that wait.
	DefaultMaxLines = 8192
	DefaultMaxBytes = 8 << 20

	asyncBufferBytes = 64 << 10
	// flushWait bounds the wait for waiting lines at the end.
	flushTimeout = 2 * time.Second
)

// AsyncWriter passes lines on to a slow writer without holding up those who
// log: a line that finds too many waiting is dropped and counted. It is safe
// for concurrent use.
//
// Invariant, under mu: bytes is the size of lines, and of the lines that Run
// is writing.
type AsyncWriter struct {
	w        io.Writer
	maxLines int
	maxBytes int

	mu           sync.Mutex
	queued       [][]byte
	pendingBytes int
	dropped      int
	isStopped    bool
	// written is closed when no line waits any more; nil if nobody waits.
	flushed chan struct{}

	wake chan struct{}
}

// NewAsyncWriter returns a writer in front of w that keeps at most maxLines
// lines of maxBytes together.
func NewAsyncWriter(w io.Writer, maxLines, maxBytes int) *AsyncWriter {
	return &AsyncWriter{w: w, maxLines: maxLines, maxBytes: maxBytes, wake: make(chan struct{}, 1)}
}

// Write implements io.Writer for one line. It never fails. Outside Run's time
// lines wait, but after Run's end they are written at once.
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

// Run writes lines until ctx ends, and then those that wait. report writes a
// line about a number of dropped lines to w, after the lines before the gap.
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

// drain writes all lines that wait.
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

// settle tells those in Flush if no line has come meanwhile.
func (a *AsyncWriter) signalFlushed() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.flushed != nil && len(a.queued) == 0 {
		close(a.flushed)
		a.flushed = nil
	}
}

// Flush waits, not for long, until every line has been written.
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
