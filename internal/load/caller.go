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

// Balancer returns the base URL of an entry for one connection; attempt rises
// with each try of a call, so that a try after a failure goes elsewhere.
type Balancer func(call, attempt int) string

// Result is what became of one call.
type Result struct {
	Call    Call
	ID      string
	Outcome request.Outcome
	// IsAccepted is true if the system answered with anything but "not-run".
	IsAccepted bool
	// CutOff counts connections that ended without an outcome or the advice to
	// attach elsewhere.
	CutOff int
	// Attached counts the answers followed at another entry.
	Attached int
	// Problem says why the call was not completed.
	Problem string
	// FirstToken is the time to the first event or, for whole answers, the
	// whole answer.
	FirstToken time.Duration
	// Gaps are the times between events of a stream.
	Gaps   []time.Duration
	Tokens int
	Total  time.Duration
}

// Client makes calls as a careful caller does: it attaches again after a lost
// connection and comes back when told to.
type Client struct {
	HTTP     *http.Client
	Balancer Balancer
	// MaxTries bounds the connections of one call. Default 8.
	MaxAttempts int
}

const (
	defaultMaxTries = 8
	lostPause       = 100 * time.Millisecond
	maxLine         = 1 << 20
)

// progress is the state of one call over its connections.
type progress struct {
	result  Result
	started time.Time
	last    time.Time
	lastID  int
	// position is the last event's ID as it was received.
	position string
	text     strings.Builder
	isWhole  bool
}

// Do makes one call and checks its answer.
func (c *Client) Do(ctx context.Context, call Call) Result {
	p := &progress{result: Result{Call: call}, started: time.Now()}
	tries := c.MaxAttempts
	if tries == 0 {
		tries = defaultMaxTries
	}
	for attempt := range tries {
		after, isDone := c.connect(ctx, p, attempt)
		if isDone || ctx.Err() != nil {
			break
		}
		wait.For(ctx, after)
	}
	p.result.Total = time.Since(p.started)
	p.check()
	return p.result
}

// connect makes one connection. isDone is false if the call goes on after
// wait.
func (c *Client) connect(ctx context.Context, p *progress, attempt int) (wait time.Duration, isDone bool) {
	req, err := c.newRequest(ctx, p, attempt)
	if err != nil {
		p.result.Problem = err.Error()
		return 0, true
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return p.lost(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if id := resp.Header.Get(gateway.HeaderRequestID); id != "" {
		p.result.ID = id
	}
	switch {
	case resp.StatusCode == http.StatusSeeOther:
		return p.redirected(resp)
	case strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream"):
		return p.readStream(resp)
	case resp.StatusCode < http.StatusBadRequest:
		return p.readWhole(resp)
	}
	return p.readProblem(resp)
}

func (c *Client) newRequest(ctx context.Context, p *progress, attempt int) (*http.Request, error) {
	call := p.result.Call
	base := c.Balancer(call.Number, attempt)
	method, path, body := http.MethodPost, "/v1/chat/completions", call.Body
	if call.Class.Path != "" {
		method, path = call.Class.Method, call.Class.Path
	}
	if p.result.ID != "" {
		method, path, body = http.MethodGet, "/v1/requests/"+p.result.ID, nil
		p.result.Attached++
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
	if p.lastID > 0 {
		h.Set(gateway.HeaderLastEventID, p.position)
	}
	return req, nil
}

// lost follows a connection that ended without an outcome.
func (p *progress) lost(err error) (time.Duration, bool) {
	p.result.CutOff++
	p.result.Problem = "connection lost: " + err.Error()
	return lostPause, false
}

func (p *progress) redirected(resp *http.Response) (time.Duration, bool) {
	p.result.IsAccepted = true
	p.result.ID = strings.TrimPrefix(resp.Header.Get("Location"), "/v1/requests/")
	return 0, false
}

// readProblem reads an error object.
func (p *progress) readProblem(resp *http.Response) (time.Duration, bool) {
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxLine))
	p.result.Outcome = request.Outcome(resp.Header.Get(gateway.HeaderOutcome))
	p.result.Problem = fmt.Sprintf("%d %s", resp.StatusCode, body)
	isLost := resp.StatusCode == http.StatusNotFound && p.result.ID != "" || resp.StatusCode == http.StatusConflict
	if isLost {
		p.restart()
		return lostPause, false
	}
	if p.result.Outcome != request.NotRun {
		p.result.IsAccepted = true
	}
	seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil {
		return 0, true
	}
	return time.Duration(seconds) * time.Second, false
}

// restart sends the request again from its beginning under the same key.
func (p *progress) restart() {
	p.result.ID = ""
	p.lastID = 0
	p.text.Reset()
	p.result.Tokens = 0
}

func (p *progress) readWhole(resp *http.Response) (time.Duration, bool) {
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return p.lost(err)
	}
	p.event(time.Now())
	p.result.IsAccepted = true
	p.result.Outcome = request.Outcome(resp.Header.Get(gateway.HeaderOutcome))
	p.result.Problem = ""
	p.isWhole = true
	if p.result.Call.Class.Model != "" {
		p.text.WriteString(wholeText(body))
	}
	return 0, true
}

// readStream reads server-sent events to the end of the stream.
func (p *progress) readStream(resp *http.Response) (time.Duration, bool) {
	p.result.IsAccepted = true
	events := &eventReader{lines: bufio.NewScanner(resp.Body)}
	events.lines.Buffer(nil, maxLine)
	for {
		ev, err := events.next()
		if err != nil {
			return p.lost(err)
		}
		switch {
		case ev.name == "reattach":
			return 0, false
		case ev.name == "error":
			p.result.Outcome = request.Unknown
			p.result.Problem = string(ev.data)
			return 0, true
		case string(ev.data) == "[DONE]":
			_, _ = io.Copy(io.Discard, resp.Body)
			p.result.Outcome = request.Outcome(resp.Trailer.Get(gateway.HeaderOutcome))
			p.result.Problem = ""
			p.isWhole = true
			return 0, true
		}
		if err := p.take(ev); err != nil {
			p.result.Problem = err.Error()
			return 0, true
		}
	}
}

var errSequence = errors.New("events are not in sequence")

func (p *progress) take(ev event) error {
	if ev.id != p.lastID+1 {
		return fmt.Errorf("%w: %d after %d", errSequence, ev.id, p.lastID)
	}
	p.lastID, p.position = ev.id, ev.lastEventID
	p.event(time.Now())
	p.text.WriteString(chunkText(ev.data))
	return nil
}

// event records the time of an event.
func (p *progress) event(now time.Time) {
	if p.last.IsZero() {
		p.result.FirstToken = now.Sub(p.started)
	} else {
		p.result.Gaps = append(p.result.Gaps, now.Sub(p.last))
	}
	p.last = now
	p.result.Tokens++
}

// check verifies a completed chat answer.
func (p *progress) check() {
	class := p.result.Call.Class
	if !p.isWhole || p.result.Outcome != request.Completed || class.Model == "" {
		return
	}
	err := engine.VerifyText(engine.PromptOf(p.result.Call.Body), p.text.String(), class.MaxTokens)
	if err != nil {
		p.result.Problem = "wrong answer: " + err.Error()
	}
}

func wholeText(body []byte) string {
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
