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
	// streamReadSize is the size of one read of a stream, enough for many events.
	streamReadSize = 4 << 10
	// maxEventBytes limits the size of one event of a stream.
	maxEventBytes = 1 << 20
)

// errStreamStalled ends a send whose stream was silent for longer than its stall
// timeout.
var errStreamStalled = errors.New("stream exceeded its stall timeout")

// forwardEvents forwards a stream of server-sent events as they arrive, complete
// events only until the stream ends regularly. A resumable stream that breaks is
// continued on another server.
func (q *request) forwardEvents(ctx context.Context, c *choice, resp *upstream.Response) sendResult {
	s := &eventStream{request: q}
	s.sendHead = func() { q.setHead(resp.Status, resp.Header); q.w.WriteHeader(resp.Status) }
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
		res := q.recordLostResponse(ctx, c, fault.Wrap(err, fault.Ambiguous, "relay.stream", c.target.ID, "stream ended early"))
		if !s.isHeadSent {
			return res
		}
		q.logFailedSend(c, &res)
		if c, resp = s.resume(ctx, c); resp == nil {
			q.abortConnection(err)
		}
	}
}

// eventStream is the caller's side of a stream.
type eventStream struct {
	request *request
	// sendHead writes the status and headers to the caller; nil once called.
	sendHead   func()
	isHeadSent bool
	// callerLeft is set once a write to the caller failed.
	callerLeft bool
	// lastEventID is the ID of the last event that was forwarded.
	lastEventID string
}

// copy forwards the events of one response until its end. It returns nil if the
// stream ended regularly.
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
				return errors.New("connection closed within an event")
			}
			return s.writeRemainder(pending)
		case err != nil && stall.hasExpired():
			return errStreamStalled
		case err != nil:
			return err
		case len(pending) > maxEventBytes:
			return errors.New("event exceeds the size limit")
		}
	}
}

// writeRemainder forwards the bytes after the last complete event of a stream that
// ended regularly.
func (s *eventStream) writeRemainder(rest []byte) error {
	if err := s.write(rest); err != nil {
		s.callerLeft = true
		return err
	}
	return nil
}

// write sends data of the stream to the caller and flushes it, after the status
// and headers if these were not sent yet.
func (s *eventStream) write(data []byte) error {
	if s.sendHead != nil {
		s.sendHead()
		s.sendHead = nil
		s.isHeadSent = true
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

// resume requests the stream after the last forwarded event from another server.
// The response is nil if the stream cannot be continued: it is not resumable, its
// sends or the retry budget are used up, or no server accepted it.
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
		if err == nil && q.inspect(c, resp).Signed && resp.Status == http.StatusOK {
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

// completeEventsLength returns the length of the complete events at the start of
// data.
func completeEventsLength(data []byte) int {
	if i := bytes.LastIndex(data, []byte("\n\n")); i >= 0 {
		return i + len("\n\n")
	}
	return 0
}

// lastEventID returns the last event ID in data, which holds complete events;
// empty if there is none.
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

// stallTimer closes a response that is silent for longer than a timeout. It is
// inactive for streams that cannot be resumed on another server, since ending
// such a stream would gain nothing.
type stallTimer struct {
	timer   *time.Timer
	timeout time.Duration
	// expired is closed before the timer closes the response.
	expired chan struct{}
}

// startStallTimer starts the timer of a response, or returns an inactive one if
// the stream cannot be moved to another server.
func (s *eventStream) startStallTimer(resp *upstream.Response) *stallTimer {
	t := &stallTimer{expired: make(chan struct{})}
	q := s.request
	if q.policy.Repetition != resumable || q.sends >= q.policy.Attempts {
		return t
	}
	t.timeout = stallTimeout(q.policy)
	body := resp.Body
	// The first event may take longer, since the request may be queued at the
	// server.
	t.timer = time.AfterFunc(max(t.timeout, callerStreamTimeout(q.policy)/2), func() { close(t.expired); _ = body.Close() })
	return t
}

// reset restarts the timeout after data has arrived.
func (t *stallTimer) reset() {
	if t.timer != nil && t.timer.Stop() {
		t.timer.Reset(t.timeout)
	}
}

// stop ends the timer.
func (t *stallTimer) stop() {
	if t.timer != nil {
		t.timer.Stop()
	}
}

// hasExpired reports whether the timer has closed the response.
func (t *stallTimer) hasExpired() bool {
	select {
	case <-t.expired:
		return true
	default:
		return false
	}
}
