package memnet

import (
	"io"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// pipeBytes is the largest number of bytes in flight in one direction of a
// connection.
const pipeBytes = 256 << 10

// segment holds bytes of one write and the time at which they arrive.
type segment struct {
	data []byte
	due  time.Time
}

// pipe is one direction of a connection.
type pipe struct {
	mu   sync.Mutex
	cond sync.Cond
	rng  *rand.Rand

	segments []segment
	size     int
	lastDue  time.Time // keeps segments in order under jitter

	writeClosed   bool // the writer has closed its end
	writeCloseDue time.Time
	readClosed    bool // the reader has closed its end
	readCloseDue  time.Time
	reset         bool // seen by both ends while the path is not stalled
	resetAtReader bool // the reader sees a reset even while stalled
	resetAtWriter bool // the writer sees a reset even while stalled
	stalled       bool // the path is partitioned or a host is paused

	readDeadline, writeDeadline deadline
}

func newPipe(rng *rand.Rand) *pipe {
	p := &pipe{rng: rng}
	p.cond.L = &p.mu
	return p
}

// deadline is a read or write deadline with the timer that wakes blocked calls.
type deadline struct {
	at    time.Time
	timer *time.Timer
}

func (d *deadline) expired() bool { return !d.at.IsZero() && !time.Now().Before(d.at) }

func (p *pipe) setDeadline(d *deadline, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if d.timer != nil {
		d.timer.Stop()
	}
	*d = deadline{at: at}
	if !at.IsZero() {
		d.timer = time.AfterFunc(time.Until(at), p.wake)
	}
	p.cond.Broadcast()
}

// wake unblocks waiting reads and writes so that they check the state again.
func (p *pipe) wake() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cond.Broadcast()
}

func arrived(due time.Time) bool { return !time.Now().Before(due) }

func (p *pipe) read(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		switch {
		case p.readClosed:
			return 0, net.ErrClosed
		case p.resetAtReader || p.reset && !p.stalled:
			return 0, syscall.ECONNRESET
		case p.readDeadline.expired():
			return 0, os.ErrDeadlineExceeded
		case len(b) == 0:
			return 0, nil
		}
		if !p.stalled {
			if n := p.take(b); n > 0 {
				return n, nil
			}
			if p.writeClosed && len(p.segments) == 0 && arrived(p.writeCloseDue) {
				return 0, io.EOF
			}
		}
		p.cond.Wait()
	}
}

// take copies arrived bytes into b and removes them from the pipe.
func (p *pipe) take(b []byte) int {
	n := 0
	for n < len(b) && len(p.segments) > 0 && arrived(p.segments[0].due) {
		head := &p.segments[0]
		c := copy(b[n:], head.data)
		n += c
		head.data = head.data[c:]
		if len(head.data) == 0 {
			p.segments = p.segments[1:]
		}
	}
	if n > 0 {
		p.size -= n
		p.cond.Broadcast()
	}
	return n
}

func (p *pipe) write(b []byte, latency, jitter time.Duration) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	written := 0
	for {
		switch {
		case p.writeClosed:
			return written, net.ErrClosed
		case p.resetAtWriter || p.reset && !p.stalled:
			return written, syscall.ECONNRESET
		case p.readClosed && !p.stalled && arrived(p.readCloseDue):
			return written, syscall.EPIPE
		case p.writeDeadline.expired():
			return written, os.ErrDeadlineExceeded
		case written == len(b):
			return written, nil
		}
		free := pipeBytes - p.size
		if p.readClosed || p.reset {
			return len(b), nil // the bytes are lost, but the writer does not see the error yet
		}
		if free == 0 {
			p.cond.Wait()
			continue
		}
		chunk := b[written:min(len(b), written+free)]
		p.push(chunk, latency, jitter)
		written += len(chunk)
	}
}

// push queues a segment.
func (p *pipe) push(b []byte, latency, jitter time.Duration) {
	due := p.nextDue(latency, jitter)
	p.segments = append(p.segments, segment{data: append([]byte(nil), b...), due: due})
	p.size += len(b)
	p.cond.Broadcast()
}

// nextDue returns the arrival time of bytes or a close sent now, and schedules a
// wake-up of blocked calls at that time.
func (p *pipe) nextDue(latency, jitter time.Duration) time.Time {
	delay := latency
	if jitter > 0 {
		delay += time.Duration(p.rng.Int64N(int64(jitter)))
	}
	due := time.Now().Add(delay)
	if due.Before(p.lastDue) {
		due = p.lastDue
	}
	p.lastDue = due
	if wait := time.Until(due); wait > 0 {
		time.AfterFunc(wait, p.wake)
	}
	return due
}

// closeWrite closes the writer's end; the reader sees io.EOF after the last byte.
func (p *pipe) closeWrite(latency time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.writeClosed {
		return
	}
	p.writeClosed = true
	p.writeCloseDue = p.nextDue(latency, 0)
	p.cond.Broadcast()
}

// closeRead closes the reader's end; the writer sees the close after latency.
func (p *pipe) closeRead(latency time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.readClosed {
		return
	}
	p.readClosed = true
	p.readCloseDue = time.Now().Add(latency)
	p.segments, p.size = nil, 0
	p.cond.Broadcast()
}

func (p *pipe) setStalled(stalled bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stalled = stalled
	p.cond.Broadcast()
}

// setReset resets the pipe. The ends whose argument is true see the reset even
// while the pipe is stalled.
func (p *pipe) setReset(reader, writer bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reset = true
	p.resetAtReader = p.resetAtReader || reader
	p.resetAtWriter = p.resetAtWriter || writer
	p.segments, p.size = nil, 0
	p.cond.Broadcast()
}

// failReads makes all reads fail, and failWrites all writes; the other end is not told.
func (p *pipe) failReads() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resetAtReader = true
	p.cond.Broadcast()
}

func (p *pipe) failWrites() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resetAtWriter = true
	p.cond.Broadcast()
}
