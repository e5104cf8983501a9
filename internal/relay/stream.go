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
	streamReadSize = 4 << 10
	// maxEvent bounds one event of a stream.
	maxEventBytes = 1 << 20
)

// errStalled ends a send whose stream was silent for too long.
var errStreamStalled = errors.New("the stream was silent for too long")

// stream passes a stream of events on as they arrive, whole events only. One
// that may be resumed goes on at another server if it breaks.
func (q *request) forwardEvents(ctx context.Context, c *choice, resp *upstream.Response) sendResult {
	s := &eventStream{request: q}
	s.sendHead = func() { q.writeHead(resp.Status, resp.Header); q.w.WriteHeader(resp.Status) }
	for {
		err := s.copy(ctx, c, resp)
		if err == nil {
			q.relay.Balancer.finishCall(c, signalServed)
			q.recordAnswered()
			q.reason = reasonServed
			return responseForwarded
		}
		if s.callerLeft {
			q.relay.Balancer.finishCall(c, signalNeutral)
			q.abortConnection(err)
		}
		res := q.recordLostResponse(ctx, c, fault.Wrap(err, fault.Ambiguous, "relay.stream", c.target.ID, "the stream broke"))
		if !s.isHeadWritten {
			return res
		}
		q.logAttempt(c, &res)
		if c, resp = s.resume(ctx, c); resp == nil {
			q.abortConnection(err)
		}
	}
}

// eventStream is the caller's side of a stream.
type eventStream struct {
	request *request
	// head writes the answer's head; it is nil once written.
	sendHead      func()
	isHeadWritten bool
	callerLeft    bool
	// lastID is the ID of the last event that was passed on.
	lastEventID string
}

// copy passes events on until the stream's end, and returns nil there.
func (s *eventStream) copy(ctx context.Context, c *choice, resp *upstream.Response) error {
	defer func() { _ = resp.Body.Close() }()
	stall := s.startStallTimer(resp)
	defer stall.stop()
	var pending []byte
	chunk := make([]byte, streamReadSize)
	isFirst := true
	for {
		n, err := resp.Body.Read(chunk)
		stall.reset()
		pending = append(pending, chunk[:n]...)
		if end := completeEventsLength(pending); end > 0 {
			if isFirst {
				isFirst = false
				s.request.recordStarted()
				s.request.relay.Balancer.recordFirstToken(c)
			}
			if err := s.write(pending[:end]); err != nil {
				s.callerLeft = true
				return err
			}
			pending = append(pending[:0], pending[end:]...)
		}
		switch {
		case err == io.EOF:
			if len(pending) > 0 && !resp.Framed {
				return errors.New("the connection ended within an event")
			}
			return s.writeRemainder(pending)
		case err != nil && stall.hasExpired():
			return errStreamStalled
		case err != nil:
			return err
		case len(pending) > maxEventBytes:
			return errors.New("an event is too long")
		}
	}
}

// finish passes on what followed the last event, if the stream was whole.
func (s *eventStream) writeRemainder(rest []byte) error {
	if err := s.write(rest); err != nil {
		s.callerLeft = true
		return err
	}
	return nil
}

// write passes bytes on at once, after the head if it is still due.
func (s *eventStream) write(data []byte) error {
	if s.sendHead != nil {
		s.sendHead()
		s.sendHead = nil
		s.isHeadWritten = true
	}
	if len(data) == 0 {
		return nil
	}
	if id := lastEventID(data); id != "" {
		s.lastEventID = id
	}
	s.request.eventsForwarded += bytes.Count(data, []byte("\n\n"))
	if _, err := s.request.w.Write(data); err != nil {
		return err
	}
	return http.NewResponseController(s.request.w).Flush()
}

// resume finds another server to go on after the last event. It returns no
// answer if there is none.
func (s *eventStream) resume(ctx context.Context, previous *choice) (*choice, *upstream.Response) {
	q := s.request
	q.tried[previous.target.ID] = true
	for ctx.Err() == nil && q.policy.Repetition == resumable && s.lastEventID != "" && q.sends < q.policy.Attempts && !q.isDocumentStale() {
		c, err := q.relay.Balancer.pick(q.service, &q.info, 0, q.tried)
		if err != nil || !q.relay.retries.takeRetry(q.service, q.relay.Peers.Site().Entries) {
			if err == nil {
				q.relay.Balancer.finishCall(c, signalNeutral)
			}
			return nil, nil
		}
		q.tried[c.target.ID] = true
		remaining := time.Until(q.deadline)
		resp, err := q.relay.Pool.Do(ctx, c.target, q.buildRequest(c, s.lastEventID, remaining))
		if err != nil && !upstream.MayHaveBeenSent(err) {
			q.relay.Balancer.finishCall(c, unsentSignal(ctx, err))
			continue
		}
		q.sends++
		if err == nil && resp.Status == http.StatusOK && q.relay.Codec.InspectResponse(resp.Status, resp.Header).Signed {
			q.serverID = c.target.ID
			q.relay.Log.Log(EvStreamResumed, "request", q.info.AttemptID, "from", previous.target.ID, "server", c.target.ID, "after", s.lastEventID)
			return c, resp
		}
		if err == nil {
			discardBody(resp)
		}
		q.relay.Balancer.finishCall(c, signalFailed)
	}
	return nil, nil
}

// eventsEnd returns the length of the whole events at the start of data.
func completeEventsLength(data []byte) int {
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
type stallTimer struct {
	timer   *time.Timer
	timeout time.Duration
	expired chan struct{}
}

func (s *eventStream) startStallTimer(resp *upstream.Response) *stallTimer {
	t := &stallTimer{expired: make(chan struct{})}
	q := s.request
	if q.policy.Repetition != resumable || q.sends >= q.policy.Attempts {
		return t
	}
	t.timeout = stallTimeout(q.policy)
	body := resp.Body
	// The first event may wait in the server's queue for longer.
	t.timer = time.AfterFunc(max(t.timeout, callerStreamTimeout(q.policy)/2), func() { close(t.expired); _ = body.Close() })
	return t
}

func (t *stallTimer) reset() {
	if t.timer != nil && t.timer.Stop() {
		t.timer.Reset(t.timeout)
	}
}

func (t *stallTimer) stop() {
	if t.timer != nil {
		t.timer.Stop()
	}
}

func (t *stallTimer) hasExpired() bool {
	select {
	case <-t.expired:
		return true
	default:
		return false
	}
}
