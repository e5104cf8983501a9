package fuzz

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"buckthornpick/internal/gateway"
	"buckthornpick/internal/request"
	"buckthornpick/internal/standin/engine"
	"buckthornpick/internal/standin/plainservice"
	"buckthornpick/internal/standin/site"
)

const (
	organisation = "delta"
	bearerKey    = "sk-fuzz"
	modelName    = "audit-1"
	chatPath     = "/v1/chat/completions"
	// answerTimeout is how long a caller waits for the end of an answer.
	answerTimeout = 40 * time.Second
	// maxReattaches bounds how often a caller attaches at another entry to get
	// the rest of an answer.
	maxReattaches = 4
)

// call is a Call with the HTTP request that a caller sends for it.
type call struct {
	Call
	method, path string
	header       map[string]string
	body         []byte
	isStream     bool
	key          string
	// id is the request's ID; empty until a caller knows it.
	id string
}

// newCall creates the next call. form selects the service, the method, whether it
// is repeatable and whether it has an idempotency key; detail selects the
// parameters of a chat.
func (h *harness) newCall(form, detail int) *call {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := &call{Call: Call{Number: len(h.calls)}, header: map[string]string{}, method: http.MethodPost}
	h.calls = append(h.calls, c)
	switch form % 8 {
	case 0:
		c.method, c.path = http.MethodGet, fmt.Sprintf("/services/report/pages/%d", c.Number)
	case 1, 2:
		c.path, c.NonRepeatable = fmt.Sprintf("/services/report/exports/%d", c.Number), true
		c.body = fmt.Appendf(nil, "export %d", c.Number)
	default:
		c.setChat(form%8, detail)
	}
	if form/8%4 != 0 {
		c.key = fmt.Sprintf("key-%d", c.Number)
		c.header[gateway.HeaderIdempotencyKey] = c.key
		c.id = string(request.NewID(organisation, c.key))
	}
	if c.Verify == nil {
		c.Verify = func(answer string) error {
			uri := strings.TrimPrefix(c.path, "/services/report")
			return plainservice.VerifyAnswer(c.method, uri, c.body, []byte(answer))
		}
	}
	return c
}

// setChat makes the call a chat completion of a form between 3 and 7.
func (c *call) setChat(form, detail int) {
	c.path = chatPath
	c.isStream = form != 3
	c.NonRepeatable = form == 4 || form == 5
	if c.NonRepeatable {
		c.header[gateway.HeaderNonRepeatable] = "true"
	}
	tokens := 2 + detail%60
	if detail%7 == 0 {
		tokens = 400
	}
	temperature := 0
	if detail%3 == 0 {
		temperature = 1
	}
	c.body = fmt.Appendf(nil, `{"model":%q,"stream":%t,"max_tokens":%d,"temperature":%d,"messages":[{"role":"user","content":"shop %d"}]}`,
		modelName, c.isStream, tokens, temperature, c.Number)
	prompt := engine.PromptOf(c.body)
	c.Verify = func(answer string) error { return engine.VerifyText(prompt, answer, tokens) }
}

// connection is an open submission.
type connection struct {
	sub    *Submission
	call   *call
	cancel context.CancelFunc
}

// send sends a call to an entry in the background. If the connection ends before
// the answer does, the caller attaches at other entries.
func (h *harness) send(c *call, e *site.Entry) {
	h.background(func() { h.follow(h.submit(c, e, nil), c) })
}

// attach asks an entry for a known request's answer after the given events.
func (h *harness) attach(c *call, e *site.Entry, before []StreamEvent) {
	h.background(func() { h.follow(h.submit(c, e, before), c) })
}

// follow attaches at other entries, at most maxReattaches times, while
// shouldReattach holds for the latest submission.
func (h *harness) follow(s *Submission, c *call) {
	for i := 0; i < maxReattaches && s.shouldReattach() && h.requestID(c) != "" && h.ctx.Err() == nil; i++ {
		e := h.anotherEntry(s.Entry, i)
		if e == nil {
			return
		}
		s = h.submit(c, e, s.allEvents())
	}
}

// shouldReattach reports whether the caller should attach at another entry: it was
// redirected, or an expected break interrupted the answer.
func (s *Submission) shouldReattach() bool {
	return s.Redirected || (s.ExpectedBreak != "" && s.GotResponse)
}

// allEvents returns every event that the caller has by the end of s; never nil.
func (s *Submission) allEvents() []StreamEvent {
	return append(append([]StreamEvent{}, s.EarlierEvents...), s.Events...)
}

// submit makes one connection and returns when it has ended. before is nil if the
// call is sent; for an attach it holds the events received earlier and is not nil.
func (h *harness) submit(c *call, e *site.Entry, before []StreamEvent) *Submission {
	ctx, cancel := context.WithTimeout(h.ctx, answerTimeout)
	defer cancel()
	s := &Submission{Call: &c.Call, Entry: e.ID, Began: time.Now(), IsAttach: before != nil,
		After: len(before), EarlierEvents: before, IsStream: c.isStream}
	open := &connection{sub: s, call: c, cancel: cancel}
	h.connectionOpened(open)
	err := h.exchange(ctx, c, e, s)
	s.Ended = time.Now()
	s.Err = err
	s.HungUp = ctx.Err() != nil && s.Outcome == ""
	if s.Outcome == "" && !s.HungUp {
		s.ExpectedBreak = h.expectedBreak(e, s)
	}
	h.connectionClosed(open)
	return s
}

// exchange sends the HTTP request of the submission and reads the response into
// it.
func (h *harness) exchange(ctx context.Context, c *call, e *site.Entry, s *Submission) error {
	req, err := http.NewRequestWithContext(ctx, c.method, e.URL+c.path, bytes.NewReader(c.body))
	if s.IsAttach {
		req, err = http.NewRequestWithContext(ctx, http.MethodGet, e.URL+"/v1/requests/"+h.requestID(c), nil)
	}
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+bearerKey)
	if !s.IsAttach {
		for name, value := range c.header {
			req.Header.Set(name, value)
		}
	} else if s.After > 0 {
		req.Header.Set(gateway.HeaderLastEventID, s.EarlierEvents[len(s.EarlierEvents)-1].ID)
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	s.GotResponse = true
	s.Accepted = resp.Header.Get(gateway.HeaderRequestID) != ""
	h.recordID(c, resp.Header.Get(gateway.HeaderRequestID))
	if resp.StatusCode == http.StatusSeeOther {
		s.Redirected = true
		return nil
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return s.readStream(resp)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	s.IsStream = false
	s.Outcome = resp.Header.Get(gateway.HeaderOutcome)
	s.Body = string(body)
	if s.Outcome == "completed" && c.path == chatPath {
		s.Body = messageText(body)
	}
	return nil
}

// readStream reads server-sent events until the stream ends, and the outcome from
// the trailer.
func (s *Submission) readStream(resp *http.Response) error {
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, 1<<20)
	id, event := "", ""
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ": ")
		switch name {
		case "id":
			id = value
		case "event":
			event = value
		case "data":
			s.recordEvent(id, event, value)
			id, event = "", ""
		}
	}
	if lines.Err() != nil {
		return lines.Err()
	}
	if !s.Redirected {
		s.Outcome = resp.Trailer.Get(gateway.HeaderOutcome)
	}
	return nil
}

func (s *Submission) recordEvent(id, event, data string) {
	switch {
	case event == "reattach":
		s.Redirected = true
	case event != "":
		s.Body = data
	case data != "[DONE]":
		number, _, _ := strings.Cut(id, "-")
		sequence, _ := strconv.Atoi(number)
		s.Events = append(s.Events, StreamEvent{Sequence: sequence, ID: id, Text: deltaText(data)})
	}
}

type chatAnswer struct {
	Choices []struct {
		Delta, Message struct{ Content string }
	}
}

func deltaText(data string) string {
	var a chatAnswer
	if json.Unmarshal([]byte(data), &a) != nil || len(a.Choices) == 0 {
		return ""
	}
	return a.Choices[0].Delta.Content
}

func messageText(body []byte) string {
	var a chatAnswer
	if json.Unmarshal(body, &a) != nil || len(a.Choices) == 0 {
		return ""
	}
	return a.Choices[0].Message.Content
}

// expectedBreak returns the reason for which a connection to the entry may end
// without an outcome: the connection was never accepted, the entry's process or
// VM ended, or the entry had stopped accepting. It is empty if there is none.
func (h *harness) expectedBreak(e *site.Entry, s *Submission) string {
	var op *net.OpError
	if errors.As(s.Err, &op) && op.Op == "dial" {
		return "it accepted no connection"
	}
	if h.wasKilledOrReclaimed(e) {
		return "its process was killed"
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	stopped, isStopping := h.stoppedAt[e]
	if !s.GotResponse && isStopping && s.Began.After(stopped.Add(-maxAcceptDelay)) {
		return "it had stopped accepting"
	}
	if !s.GotResponse && isStopping && !h.faults.lastHostFault[e.ID].Before(s.Began) {
		return "the call had not arrived when it stopped"
	}
	return ""
}

// maxAcceptDelay is the longest time from a caller's dial to the entry's accept.
const maxAcceptDelay = 10 * time.Millisecond
