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

	asyncBuffer = 64 << 10
	// flushWait bounds the wait for waiting lines at the end.
	flushWait = 2 * time.Second
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

	mu      sync.Mutex
	lines   [][]byte
	bytes   int
	dropped int
	isEnded bool
	// written is closed when no line waits any more; nil if nobody waits.
	written chan struct{}

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
	if a.isEnded {
		return a.w.Write(line)
	}
	if len(a.lines) >= a.maxLines || a.bytes+len(line) > a.maxBytes {
		a.dropped++
		return len(line), nil
	}
	a.lines = append(a.lines, append([]byte(nil), line...))
	a.bytes += len(line)
	select {
	case a.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Run writes lines until ctx ends, and then those that wait. report writes a
// line about a number of dropped lines to w, after the lines before the gap.
func (a *AsyncWriter) Run(ctx context.Context, report func(w io.Writer, dropped int)) error {
	out := bufio.NewWriterSize(a.w, asyncBuffer)
	for ctx.Err() == nil {
		select {
		case <-a.wake:
			a.drain(out, report)
		case <-ctx.Done():
		}
	}
	a.drain(out, report)
	a.mu.Lock()
	a.isEnded = true
	a.mu.Unlock()
	a.drain(out, report)
	return nil
}

// drain writes all lines that wait.
func (a *AsyncWriter) drain(out *bufio.Writer, report func(w io.Writer, dropped int)) {
	for {
		lines, dropped := a.take()
		if len(lines) == 0 && dropped == 0 {
			_ = out.Flush()
			a.settle()
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
		a.release(size)
	}
}

func (a *AsyncWriter) take() (lines [][]byte, dropped int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	lines, dropped = a.lines, a.dropped
	a.lines, a.dropped = nil, 0
	return lines, dropped
}

func (a *AsyncWriter) release(size int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bytes -= size
}

// settle tells those in Flush if no line has come meanwhile.
func (a *AsyncWriter) settle() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.written != nil && len(a.lines) == 0 {
		close(a.written)
		a.written = nil
	}
}

// Flush waits, not for long, until every line has been written.
func (a *AsyncWriter) Flush() {
	a.mu.Lock()
	if a.isEnded || a.bytes == 0 {
		a.mu.Unlock()
		return
	}
	if a.written == nil {
		a.written = make(chan struct{})
	}
	written := a.written
	a.mu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
	t := time.NewTimer(flushWait)
	defer t.Stop()
	select {
	case <-written:
	case <-t.C:
	}
}
