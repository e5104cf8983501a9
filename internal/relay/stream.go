package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"buckthornpick/internal/fault"
	"buckthornpick/internal/upstream"
)

const (
	// streamBuffer is the size of one read of a stream, many events long.
	streamBuffer = 4 << 10
	// maxEvent bounds one event of a stream.
	maxEvent = 1 << 20
)

// errStalled ends a send whose stream was silent for too long.
var errStalled = errors.New("the stream was silent for too long")

// stream passes a stream of events on as they arrive, whole events only. One
// that may be resumed goes on at another server if it breaks.
func (q *request) stream(ctx context.Context, c *choice, a *upstream.Response) result {
	s := &eventStream{request: q}
	s.head = func() { q.writeHead(a.Status, a.Header); q.w.WriteHeader(a.Status) }
	for {
		err := s.copy(ctx, c, a)
		if err == nil {
			q.relay.Balancer.done(c, served)
			q.answered()
			q.reason = reasonServed
			return ended
		}
		if s.callerGone {
			q.relay.Balancer.done(c, neutral)
			q.breakOff(err)
		}
		res := q.lost(ctx, c, fault.Wrap(err, fault.Ambiguous, "relay.stream", c.target.ID, "the stream broke"))
		if !s.isStarted {
			return res
		}
		q.logAttempt(c, &res)
		if c, a = s.resume(ctx, c); a == nil {
			q.breakOff(err)
		}
	}
}

// eventStream is the caller's side of a stream.
type eventStream struct {
	request *request
	// head writes the answer's head; it is nil once written.
	head       func()
	isStarted  bool
	callerGone bool
	// lastID is the ID of the last event that was passed on.
	lastID string
}

// copy passes events on until the stream's end, and returns nil there.
func (s *eventStream) copy(ctx context.Context, c *choice, a *upstream.Response) error {
	defer func() { _ = a.Body.Close() }()
	stalled := s.watch(a)
	defer stalled.stop()
	var pending []byte
	chunk := make([]byte, streamBuffer)
	isFirst := true
	for {
		n, err := a.Body.Read(chunk)
		stalled.reset()
		pending = append(pending, chunk[:n]...)
		if end := eventsEnd(pending); end > 0 {
			if isFirst {
				isFirst = false
				s.request.began()
				s.request.relay.Balancer.firstToken(c)
			}
			if err := s.write(pending[:end]); err != nil {
				s.callerGone = true
				return err
			}
			pending = append(pending[:0], pending[end:]...)
		}
		switch {
		case err == io.EOF:
			if len(pending) > 0 && !a.Framed {
				return errors.New("the connection ended within an event")
			}
			return s.finish(pending)
		case err != nil && stalled.fired():
			return errStalled
		case err != nil:
			return err
		case len(pending) > maxEvent:
			return errors.New("an event is too long")
		}
	}
}

// finish passes on what followed the last event, if the stream was whole.
func (s *eventStream) finish(rest []byte) error {
	if err := s.write(rest); err != nil {
		s.callerGone = true
		return err
	}
	return nil
}

// write passes bytes on at once, after the head if it is still due.
func (s *eventStream) write(data []byte) error {
	if s.head != nil {
		s.head()
		s.head = nil
		s.isStarted = true
	}
	if len(data) == 0 {
		return nil
	}
	if id := lastEventID(data); id != "" {
		s.lastID = id
	}
	s.request.events += bytes.Count(data, []byte("\n\n"))
	if _, err := s.request.w.Write(data); err != nil {
		return err
	}
	return http.NewResponseController(s.request.w).Flush()
}

// resume finds another server to go on after the last event. It returns no
// answer if there is none.
func (s *eventStream) resume(ctx context.Context, from *choice) (*choice, *upstream.Response) {
	q := s.request
	q.tried[from.target.ID] = true
	for ctx.Err() == nil && q.call.Repetition == resumable && s.lastID != "" && q.sends < q.call.Attempts && !q.isStale() {
		c, err := q.relay.Balancer.pick(q.service, &q.facts, 0, q.tried)
		if err != nil || !q.relay.repeats.take(q.service, q.relay.Peers.Site().Entries) {
			if err == nil {
				q.relay.Balancer.done(c, neutral)
			}
			return nil, nil
		}
		q.tried[c.target.ID] = true
		left := time.Until(q.deadline)
		a, err := q.relay.Pool.Do(ctx, c.target, q.encode(c, s.lastID, left))
		if err != nil && !upstream.MayHaveBeenSent(err) {
			q.relay.Balancer.done(c, unsentOutcome(ctx, err))
			continue
		}
		q.sends++
		if err == nil && a.Status == http.StatusOK && q.relay.Codec.InspectResponse(a.Status, a.Header).Signed {
			q.server = c.target.ID
			q.relay.Log.Log(EvStreamResumed, "request", q.facts.AttemptID, "from", from.target.ID, "server", c.target.ID, "after", s.lastID)
			return c, a
		}
		if err == nil {
			discard(a)
		}
		q.relay.Balancer.done(c, failed)
	}
	return nil, nil
}

// eventsEnd returns the length of the whole events at the start of data.
func eventsEnd(data []byte) int {
	if i := bytes.LastIndex(data, []byte("\n\n")); i >= 0 {
		return i + len("\n\n")
	}
	return 0
}

// lastEventID returns the last ID in whole events; empty if there is none.
func lastEventID(data []byte) string {
	for {
		i := bytes.LastIndex(data, []byte("id:"))
		if i < 0 {
			return ""
		}
		if i == 0 || data[i-1] == '\n' {
			line, _, _ := bytes.Cut(data[i+len("id:"):], []byte("\n"))
			return string(bytes.TrimSpace(line))
		}
		data = data[:i]
	}
}

// stallWatch closes an answer that stays silent; only resumable streams that
// have begun are watched, since the silence of a server is no reason to end an
// answer that cannot go on elsewhere.
type stallWatch struct {
	timer *time.Timer
	limit time.Duration
	isHit chan struct{}
}

func (s *eventStream) watch(a *upstream.Response) *stallWatch {
	w := &stallWatch{isHit: make(chan struct{})}
	q := s.request
	if q.call.Repetition != resumable || q.sends >= q.call.Attempts {
		return w
	}
	w.limit = stallLimit(q.call)
	body := a.Body
	// The first event may wait in the server's queue for longer.
	w.timer = time.AfterFunc(max(w.limit, callerSilence(q.call)/2), func() { close(w.isHit); _ = body.Close() })
	return w
}

func (w *stallWatch) reset() {
	if w.timer != nil && w.timer.Stop() {
		w.timer.Reset(w.limit)
	}
}

func (w *stallWatch) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

func (w *stallWatch) fired() bool {
	select {
	case <-w.isHit:
		return true
	default:
		return false
	}
}
