package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"buckthornpick/internal/gateway"
	"buckthornpick/internal/request"
	"buckthornpick/internal/standin/engine"
	"buckthornpick/internal/wait"
)

// Balancer returns the base URL of an entry for one connection of a call. attempt
// counts the connections of the call from 0, so that a balancer can choose another
// entry after a failure.
type Balancer func(call, attempt int) string

// Result is the outcome of one call and its measurements.
type Result struct {
	Call    Call
	ID      string
	Outcome request.Outcome
	// IsAccepted is true if the system sent an answer, a redirect, or an error
	// with an outcome other than "not-run".
	IsAccepted bool
	// CutOff counts connections that ended without an outcome and without a
	// request to attach at another entry.
	CutOff int
	// Attached counts the connections that attached to the answer of the request
	// instead of sending it.
	Attached int
	// Problem says why the call did not complete or its answer is wrong.
	Problem string
	// FirstToken is the time to the first event or, if the answer is not
	// streamed, to its end.
	FirstToken time.Duration
	// Gaps are the times between consecutive events of a stream.
	Gaps   []time.Duration
	Tokens int
	Total  time.Duration
}

// Client makes calls the way a well-behaved caller does: it reattaches after a lost
// connection or a redirect, and retries after the time in Retry-After.
type Client struct {
	HTTP     *http.Client
	Balancer Balancer
	// MaxAttempts bounds the connections of one call; default 8.
	MaxAttempts int
}

const (
	defaultMaxAttempts = 8
	reconnectDelay     = 100 * time.Millisecond
	maxLineBytes       = 1 << 20
)

// callState is the state of one call across its connections.
type callState struct {
	result       Result
	started      time.Time
	lastEventAt  time.Time
	lastSequence int
	// lastEventID is the ID of the last event, as received.
	lastEventID string
	text        strings.Builder
	isComplete  bool
}

// Do makes one call and checks its answer.
func (c *Client) Do(ctx context.Context, call Call) Result {
	s := &callState{result: Result{Call: call}, started: time.Now()}
	maxAttempts := c.MaxAttempts
	if maxAttempts == 0 {
		maxAttempts = defaultMaxAttempts
	}
	for attempt := range maxAttempts {
		delay, isDone := c.connect(ctx, s, attempt)
		if isDone || ctx.Err() != nil {
			break
		}
		wait.For(ctx, delay)
	}
	s.result.Total = time.Since(s.started)
	s.verifyAnswer()
	return s.result
}

// connect makes one connection. isDone is false if the call needs another
// connection, to be made after delay.
func (c *Client) connect(ctx context.Context, s *callState, attempt int) (delay time.Duration, isDone bool) {
	req, err := c.newRequest(ctx, s, attempt)
	if err != nil {
		s.result.Problem = err.Error()
		return 0, true
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return s.connectionLost(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if id := resp.Header.Get(gateway.HeaderRequestID); id != "" {
		s.result.ID = id
	}
	switch {
	case resp.StatusCode == http.StatusSeeOther:
		return s.redirected(resp)
	case strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream"):
		return s.readStream(resp)
	case resp.StatusCode < http.StatusBadRequest:
		return s.readBody(resp)
	}
	return s.readProblem(resp)
}

func (c *Client) newRequest(ctx context.Context, s *callState, attempt int) (*http.Request, error) {
	call := s.result.Call
	base := c.Balancer(call.Number, attempt)
	method, path, body := http.MethodPost, "/v1/chat/completions", call.Body
	if call.Class.Path != "" {
		method, path = call.Class.Method, call.Class.Path
	}
	if s.result.ID != "" {
		method, path, body = http.MethodGet, "/v1/requests/"+s.result.ID, nil
		s.result.Attached++
	}
	req, err := http.NewRequestWithContext(ctx, method, base+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	h := req.Header
	h.Set("Authorization", "Bearer "+call.Caller.Key)
	h.Set(gateway.HeaderIdempotencyKey, call.Key)
	if call.Context != "" {
		h.Set(gateway.HeaderContext, call.Context)
	}
	if call.Class.NonRepeatable {
		h.Set(gateway.HeaderNonRepeatable, "true")
	}
	if call.Class.Priority != "" {
		h.Set(gateway.HeaderPriority, call.Class.Priority)
	}
	if s.lastSequence > 0 {
		h.Set(gateway.HeaderLastEventID, s.lastEventID)
	}
	return req, nil
}

// connectionLost counts a connection that ended without an outcome and returns the
// delay before the next one.
func (s *callState) connectionLost(err error) (time.Duration, bool) {
	s.result.CutOff++
	s.result.Problem = "connection lost: " + err.Error()
	return reconnectDelay, false
}

// redirected stores the request ID from the Location of a redirect.
func (s *callState) redirected(resp *http.Response) (time.Duration, bool) {
	s.result.IsAccepted = true
	s.result.ID = strings.TrimPrefix(resp.Header.Get("Location"), "/v1/requests/")
	return 0, false
}

// readProblem reads an error answer. The call is retried if the request is no longer
// known (404 to an attach), on 409 Conflict, and if the answer has a Retry-After
// in seconds.
func (s *callState) readProblem(resp *http.Response) (time.Duration, bool) {
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxLineBytes))
	s.result.Outcome = request.Outcome(resp.Header.Get(gateway.HeaderOutcome))
	s.result.Problem = fmt.Sprintf("%d %s", resp.StatusCode, body)
	isLost := resp.StatusCode == http.StatusNotFound && s.result.ID != "" || resp.StatusCode == http.StatusConflict
	if isLost {
		s.restart()
		return reconnectDelay, false
	}
	if s.result.Outcome != request.NotRun {
		s.result.IsAccepted = true
	}
	seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil {
		return 0, true
	}
	return time.Duration(seconds) * time.Second, false
}

// restart resets the call so that the next connection sends the request again,
// under the same idempotency key.
func (s *callState) restart() {
	s.result.ID = ""
	s.lastSequence = 0
	s.text.Reset()
	s.result.Tokens = 0
}

// readBody reads an answer that is not streamed.
func (s *callState) readBody(resp *http.Response) (time.Duration, bool) {
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return s.connectionLost(err)
	}
	s.recordEventTime(time.Now())
	s.result.IsAccepted = true
	s.result.Outcome = request.Outcome(resp.Header.Get(gateway.HeaderOutcome))
	s.result.Problem = ""
	s.isComplete = true
	if s.result.Call.Class.Model != "" {
		s.text.WriteString(messageText(body))
	}
	return 0, true
}

// readStream reads server-sent events to the end of the stream.
func (s *callState) readStream(resp *http.Response) (time.Duration, bool) {
	s.result.IsAccepted = true
	events := &eventReader{lines: bufio.NewScanner(resp.Body)}
	events.lines.Buffer(nil, maxLineBytes)
	for {
		ev, err := events.next()
		if err != nil {
			return s.connectionLost(err)
		}
		switch {
		case ev.name == "reattach":
			return 0, false
		case ev.name == "error":
			s.result.Outcome = request.Unknown
			s.result.Problem = string(ev.data)
			return 0, true
		case string(ev.data) == "[DONE]":
			_, _ = io.Copy(io.Discard, resp.Body)
			s.result.Outcome = request.Outcome(resp.Trailer.Get(gateway.HeaderOutcome))
			s.result.Problem = ""
			s.isComplete = true
			return 0, true
		}
		if err := s.addEvent(ev); err != nil {
			s.result.Problem = err.Error()
			return 0, true
		}
	}
}

var errSequence = errors.New("events are not in sequence")

// addEvent checks the sequence number of an event and appends its text.
func (s *callState) addEvent(ev event) error {
	if ev.sequence != s.lastSequence+1 {
		return fmt.Errorf("%w: %d after %d", errSequence, ev.sequence, s.lastSequence)
	}
	s.lastSequence, s.lastEventID = ev.sequence, ev.lastEventID
	s.recordEventTime(time.Now())
	s.text.WriteString(chunkText(ev.data))
	return nil
}

// recordEventTime records the arrival of an event and counts it as a token.
func (s *callState) recordEventTime(now time.Time) {
	if s.lastEventAt.IsZero() {
		s.result.FirstToken = now.Sub(s.started)
	} else {
		s.result.Gaps = append(s.result.Gaps, now.Sub(s.lastEventAt))
	}
	s.lastEventAt = now
	s.result.Tokens++
}

// verifyAnswer compares the text of a completed chat answer with the expected one.
func (s *callState) verifyAnswer() {
	class := s.result.Call.Class
	if !s.isComplete || s.result.Outcome != request.Completed || class.Model == "" {
		return
	}
	err := engine.VerifyText(engine.PromptOf(s.result.Call.Body), s.text.String(), class.MaxTokens)
	if err != nil {
		s.result.Problem = "wrong answer: " + err.Error()
	}
}

func messageText(body []byte) string {
	var a struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	if json.Unmarshal(body, &a) != nil || len(a.Choices) == 0 {
		return ""
	}
	return a.Choices[0].Message.Content
}

func chunkText(data []byte) string {
	var c struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if json.Unmarshal(data, &c) != nil || len(c.Choices) == 0 {
		return ""
	}
	return c.Choices[0].Delta.Content
}
