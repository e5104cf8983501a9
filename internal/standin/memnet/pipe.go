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

// pipeBytes bounds the bytes in flight in one direction of a connection.
const pipeBytes = 256 << 10

// segment is one write on its way to the reader.
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

	finished   bool // the writer sent its last byte
	finDue     time.Time
	readClosed bool // the reader closed its end
	readGone   time.Time
	reset      bool // seen by the reader and writer once the path is open
	localRead  bool // a reset that the reader sees even while stalled
	localWrite bool // a reset that the writer sees even while stalled
	stalled    bool // the path is cut or a host is paused

	readDeadline, writeDeadline deadline
}

func newPipe(rng *rand.Rand) *pipe {
	p := &pipe{rng: rng}
	p.cond.L = &p.mu
	return p
}

// deadline wakes the pipe's waiters when it passes.
type deadline struct {
	at    time.Time
	timer *time.Timer
}

func (d *deadline) passed() bool { return !d.at.IsZero() && !time.Now().Before(d.at) }

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
		case p.localRead || p.reset && !p.stalled:
			return 0, syscall.ECONNRESET
		case p.readDeadline.passed():
			return 0, os.ErrDeadlineExceeded
		case len(b) == 0:
			return 0, nil
		}
		if !p.stalled {
			if n := p.take(b); n > 0 {
				return n, nil
			}
			if p.finished && len(p.segments) == 0 && arrived(p.finDue) {
				return 0, io.EOF
			}
		}
		p.cond.Wait()
	}
}

// take moves arrived bytes into b.
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
		case p.finished:
			return written, net.ErrClosed
		case p.localWrite || p.reset && !p.stalled:
			return written, syscall.ECONNRESET
		case p.readClosed && !p.stalled && arrived(p.readGone):
			return written, syscall.EPIPE
		case p.writeDeadline.passed():
			return written, os.ErrDeadlineExceeded
		case written == len(b):
			return written, nil
		}
		room := pipeBytes - p.size
		if p.readClosed || p.reset {
			return len(b), nil // lost on the way; the writer does not know yet
		}
		if room == 0 {
			p.cond.Wait()
			continue
		}
		chunk := b[written:min(len(b), written+room)]
		p.push(chunk, latency, jitter)
		written += len(chunk)
	}
}

func (p *pipe) push(b []byte, latency, jitter time.Duration) {
	due := p.nextDue(latency, jitter)
	p.segments = append(p.segments, segment{data: append([]byte(nil), b...), due: due})
	p.size += len(b)
	p.cond.Broadcast()
}

// nextDue returns the arrival time of something sent now and arranges that
// waiters are woken at that time.
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

// finish ends the writer's side; the reader sees io.EOF after the last byte.
func (p *pipe) finish(latency time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.finished {
		return
	}
	p.finished = true
	p.finDue = p.nextDue(latency, 0)
	p.cond.Broadcast()
}

// closeRead ends the reader's side; the writer learns of it after latency.
func (p *pipe) closeRead(latency time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.readClosed {
		return
	}
	p.readClosed = true
	p.readGone = time.Now().Add(latency)
	p.segments, p.size = nil, 0
	p.cond.Broadcast()
}

func (p *pipe) setStalled(stalled bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stalled = stalled
	p.cond.Broadcast()
}

// breakOff resets the pipe. The named ends see it even while it is stalled.
func (p *pipe) breakOff(reader, writer bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reset = true
	p.localRead = p.localRead || reader
	p.localWrite = p.localWrite || writer
	p.segments, p.size = nil, 0
	p.cond.Broadcast()
}
