package relay

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"

	"buckthornpick/internal/fault"
	"buckthornpick/internal/membudget"
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

// errNoEvents ends a response that was to continue a stream and holds something else.
var errNoEvents = errors.New("the response is no continuation of the stream")

// errOtherVersion ends a send that was to continue a stream, at a server whose software
// version is not known to be that of the stream.
var errOtherVersion = errors.New("the server may be of another software version than the stream")

// forwardEvents forwards a stream of server-sent events as they arrive, complete
// events only until the stream ends regularly. A resumable stream that breaks is
// continued on another server.
func (q *request) forwardEvents(ctx context.Context, c *choice, resp *upstream.Response) sendResult {
	if q.origin != nil && !q.canContinue(ctx, c, resp) {
		_ = resp.Body.Close()
		q.relay.Balancer.finishCall(c, signalNeutral)
		return sendResult{outcome: outcomeUnknown, refusal: badGateway(reasonAnswerLost), err: errOtherVersion}
	}
	s := &eventStream{request: q, isContinued: q.info.LastEventID != ""}
	s.sendHead = func() { q.setHead(resp.Status, resp.Header); q.w.WriteHeader(resp.Status) }
	for {
		next, err := s.copy(ctx, c, resp)
		if err == nil {
			q.relay.Balancer.finishCall(c, signalServed)
			q.judgePace(c)
			q.recordAnswered(c, resp)
			q.reason = reasonServed
			return responseForwarded
		}
		if s.callerLeft {
			q.relay.Balancer.finishCall(c, signalNeutral)
			q.abortConnection(err)
		}
		res := q.recordLostResponse(ctx, c, err)
		res.err = fault.Wrap(err, fault.Ambiguous, "relay.stream", c.target.ID, "stream ended early")
		if !s.isHeadSent && next.resp == nil {
			return res
		}
		q.logFailedSend(c, &res)
		if next.resp == nil {
			next.choice, next.resp = s.resume(ctx, c, nil)
		}
		if next.resp == nil {
			q.abortConnection(err)
		}
		c, resp = next.choice, next.resp
		s.isContinued = true
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
	// isContinued is set if the response continues a stream that another one has begun.
	isContinued bool
}

// continuation is the response of another server that continues a stream.
type continuation struct {
	choice *choice
	resp   *upstream.Response
}

// copy forwards the events of one response until its end. The error is nil if the
// stream ended regularly. If another server continues the stream, copy returns its
// response and errStreamStalled.
func (s *eventStream) copy(ctx context.Context, c *choice, resp *upstream.Response) (continuation, error) {
	defer func() { _ = resp.Body.Close() }()
	stall := s.newStallTimer(ctx, c, resp)
	pending := eventBuffer{memory: s.request.relay.Memory.Open(membudget.Answers, callerHost(s.request.r), nil)}
	defer pending.memory.Close()
	chunk := make([]byte, streamReadSize)
	isFirst, hasEvent := true, false
	for {
		stall.start()
		n, err := resp.Body.Read(chunk)
		if !pending.append(ctx, chunk[:n]) {
			err = membudget.ErrShort
		}
		end := completeEventsLength(pending.data)
		if s.isContinued && !areEvents(pending.data[:end]) {
			end, err = 0, errNoEvents
		}
		hasEvent = hasEvent || end > 0
		isRegularEnd := err == io.EOF && end == len(pending.data) && (resp.Framed || hasEvent)
		if next := stall.stop(err == nil || isRegularEnd); next.resp != nil {
			return next, errStreamStalled
		}
		if end > 0 {
			if isFirst {
				isFirst = false
				s.request.recordStarted()
				s.request.recordOrigin(c, resp)
				s.request.judgeAnswer(c, false)
				s.request.relay.Balancer.recordFirstToken(c)
			}
			s.request.settleOrigin(true)
			if err := s.write(pending.data[:end]); err != nil {
				s.callerLeft = true
				return continuation{}, err
			}
			pending.data = append(pending.data[:0], pending.data[end:]...)
		}
		switch {
		case isRegularEnd:
			return continuation{}, s.writeHead()
		case err == io.EOF:
			return continuation{}, errors.New("stream ended within an event or before the first one")
		case err != nil:
			return continuation{}, err
		case len(pending.data) > maxEventBytes:
			return continuation{}, errors.New("event exceeds the size limit")
		}
	}
}

// eventBuffer holds what has arrived of events that are not complete.
type eventBuffer struct {
	data []byte
	// memory holds the bytes beyond unreservedEventBytes.
	memory   *membudget.Holder
	reserved int64
}

// unreservedEventBytes is the size up to which a buffer is not reserved, as for nearly all
// events.
const unreservedEventBytes = 2 * streamReadSize

// append appends the bytes. It returns false if there is no room in the memory budget.
func (b *eventBuffer) append(ctx context.Context, more []byte) bool {
	// Twice the size, since buffers grow by doubling.
	if size := 2 * int64(len(b.data)+len(more)); size > max(b.reserved, unreservedEventBytes) {
		if !b.memory.Reserve(ctx, size-b.reserved, answerRoomPatience) {
			return false
		}
		b.reserved = size
	}
	b.data = append(b.data, more...)
	return true
}

// writeHead sends the status and headers of a stream that ended without an event.
func (s *eventStream) writeHead() error {
	if err := s.write(nil); err != nil {
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

// resume requests the stream after the last forwarded event from another server of
// its origin. The response is nil, and the reason logged, if the stream cannot be
// continued: it is not resumable, its sends or the retry budget are used up, or no
// server accepted it. contest is nil unless the previous response may still go on;
// that one is closed once another server has responded, and no server is asked once
// it has gone on.
func (s *eventStream) resume(ctx context.Context, previous *choice, contest *contest) (*choice, *upstream.Response) {
	q := s.request
	q.tried[previous.target.ID] = true
	if !awaitSettled(ctx, func() bool { return q.settleOrigin(false) }) {
		return s.logNotResumed(previous, cmp.Or(s.obstacleToResume(ctx, contest), "version-unclear"), nil)
	}
	for {
		if obstacle := s.obstacleToResume(ctx, contest); obstacle != "" {
			return s.logNotResumed(previous, obstacle, nil)
		}
		c, err := q.pick(ctx, 0)
		if err != nil {
			return s.logNotResumed(previous, "no-server", err)
		}
		if !q.relay.retries.takeRetry(q.service, q.relay.Peers.Site().Entries) {
			q.relay.Balancer.finishCall(c, signalNeutral)
			return s.logNotResumed(previous, "retry-budget", nil)
		}
		q.tried[c.target.ID] = true
		resp, err := q.do(ctx, c, s.lastEventID)
		if err != nil && !upstream.MayHaveBeenSent(err) {
			q.relay.Balancer.finishCall(c, unsentSignal(ctx, err))
			q.logFailedSend(c, &sendResult{outcome: outcomeNotSent, err: err})
			continue
		}
		q.sends++
		info := ResponseInfo{}
		if err == nil {
			info = q.inspect(c, resp)
		}
		hasContinued := err == nil && resp.Status == http.StatusOK && info.Signed && !info.NotRun
		isOtherVersion := hasContinued && q.origin != nil && !q.canContinue(ctx, c, resp)
		if hasContinued && !isOtherVersion && contest.takeOver() {
			q.serverID, q.serverVersion, q.via = c.target.ID, c.version, c.via
			q.relay.Log.Log(EvStreamResumed, "request", q.info.AttemptID, "from", previous.target.ID, "from_version", previous.version,
				"server", c.target.ID, "version", c.version, "after", s.lastEventID)
			return c, resp
		}
		res := sendResult{outcome: outcomeUnknown, err: err}
		if err == nil {
			discardBody(resp)
			res.err = fault.New(fault.Ambiguous, "relay.stream", c.target.ID, "server did not continue the stream, status %d", resp.Status)
		}
		if isOtherVersion {
			res.err = errOtherVersion
		}
		if contest.hasGoneOn() {
			res.err = fault.New(fault.Ambiguous, "relay.stream", c.target.ID, "the silent server has gone on")
		}
		if info.NotRun {
			res.outcome = outcomeNotRun
		}
		signal := signalFailed
		if info.NotRun || isOtherVersion || q.r.Context().Err() != nil || contest.hasGoneOn() {
			signal = signalNeutral
		}
		q.relay.Balancer.finishCall(c, signal)
		q.logFailedSend(c, &res)
	}
}

// obstacleToResume returns why the stream cannot be requested from another server;
// empty if it can.
func (s *eventStream) obstacleToResume(ctx context.Context, contest *contest) string {
	q := s.request
	switch {
	case q.r.Context().Err() != nil:
		return reasonCallerLeft
	case contest.hasGoneOn():
		return "went-on"
	case ctx.Err() != nil:
		return reasonTimeout
	case q.policy.Repetition != resumable:
		return "not-resumable"
	case s.isHeadSent && s.lastEventID == "":
		return "no-event-id"
	case q.sends >= q.policy.Attempts:
		return "attempts-used"
	case q.isDocumentStale():
		return reasonDocumentTooOld
	case q.judgeFurtherSend().IsBlocked:
		return reasonCrashesServers
	}
	return ""
}

// logNotResumed logs why the stream was not resumed. It returns no response.
func (s *eventStream) logNotResumed(previous *choice, reason string, err error) (*choice, *upstream.Response) {
	attrs := []any{"request", s.request.info.AttemptID, "from", previous.target.ID, "after", s.lastEventID, "sends", s.request.sends, "reason", reason}
	if err != nil {
		attrs = append(attrs, "error", err.Error())
	}
	s.request.relay.Log.Log(EvStreamNotResumed, attrs...)
	return nil, nil
}

// completeEventsLength returns the length of the complete events at the start of
// data.
func completeEventsLength(data []byte) int {
	length := 0
	for _, blankLine := range []string{"\n\n", "\n\r\n"} {
		if i := bytes.LastIndex(data, []byte(blankLine)); i >= 0 {
			length = max(length, i+len(blankLine))
		}
	}
	return length
}

// areEvents reports whether data, which ends with a blank line, holds nothing but events of a
// resumable stream. An event has an ID, or consists of comments and standard fields; the text of an
// error has other lines.
func areEvents(data []byte) bool {
	hasID, isStandard := false, true
	for line := range bytes.Lines(data) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			if !hasID && !isStandard {
				return false
			}
			hasID, isStandard = false, true
			continue
		}
		switch name, _, _ := bytes.Cut(line, []byte(":")); string(name) {
		case "id":
			hasID = true
		case "", "data", "event", "retry": // a comment has no name
		default:
			isStandard = false
		}
	}
	return true
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
