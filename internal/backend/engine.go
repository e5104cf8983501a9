package backend

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"buckthornpick/internal/fault"
	"buckthornpick/internal/netx"
	"buckthornpick/internal/request"
)

// engineOptions is what the client needs to know of the caller's body.
type engineOptions struct {
	N             int `json:"n"`
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

func optionsOf(r *request.Request) (engineOptions, error) {
	var o engineOptions
	err := json.Unmarshal(r.Body, &o)
	o.N = max(o.N, 1)
	// A whole answer always carries its usage.
	o.StreamOptions.IncludeUsage = o.StreamOptions.IncludeUsage || !r.Stream
	return o, err
}

// continuationField is the engines' request field for going on after text.
type continuationField struct {
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
	// After is the sequence number of the last event so far.
	After int `json:"after"`
}

// engineBody returns the caller's body with streaming and usage switched on
// and with the continuation, if any.
func engineBody(r *request.Request, cont *Continuation) ([]byte, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(r.Body, &fields); err != nil {
		return nil, err
	}
	fields["stream"] = json.RawMessage(`true`)
	options := map[string]json.RawMessage{}
	if raw, ok := fields["stream_options"]; ok {
		if err := json.Unmarshal(raw, &options); err != nil {
			return nil, err
		}
	}
	if options == nil { // "stream_options": null
		options = map[string]json.RawMessage{}
	}
	options["include_usage"] = json.RawMessage(`true`)
	if err := setField(fields, "stream_options", options); err != nil {
		return nil, err
	}
	if cont == nil || len(cont.Events) == 0 {
		return json.Marshal(fields)
	}
	field, err := continuationOf(r.Kind, cont.Events)
	if err != nil {
		return nil, err
	}
	if err := setField(fields, "continuation", field); err != nil {
		return nil, err
	}
	return json.Marshal(fields)
}

func setField(fields map[string]json.RawMessage, name string, value any) error {
	raw, err := json.Marshal(value)
	fields[name] = raw
	return err
}

func continuationOf(kind request.Kind, events []request.Event) (continuationField, error) {
	text, err := TextOf(kind, events)
	if err != nil {
		return continuationField{}, err
	}
	tokens := 0
	for _, e := range events {
		tokens += e.Tokens
	}
	return continuationField{Text: text, Tokens: tokens, After: events[len(events)-1].Sequence}, nil
}

func enginePath(kind request.Kind) string {
	if kind == request.Chat {
		return "/v1/chat/completions"
	}
	return "/v1/completions"
}

func (c *HTTPClient) startEngine(ctx context.Context, t Target, r *request.Request, attempt AttemptID, cont *Continuation) (Answer, error) {
	const step = "engine.start"
	body, err := engineBody(r, cont)
	if err != nil {
		return nil, c.unsent(t, r, step, "body: "+err.Error())
	}
	options, err := optionsOf(r)
	if err != nil {
		return nil, c.unsent(t, r, step, "body: "+err.Error())
	}
	if cont != nil && options.N > 1 {
		return nil, c.unsent(t, r, step, "an answer with several choices cannot be continued")
	}
	req, err := c.newRequest(ctx, t, http.MethodPost, enginePath(r.Kind), body)
	if err != nil {
		return nil, c.failed(r.ID, &AttemptError{Reached: NotSent, Target: t, Err: err})
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Accept", "text/event-stream")
	setIdentity(req, r, attempt)
	if r.Priority != "" {
		req.Header.Set(headerPriority, r.Priority)
	}
	resp, hadConn, err := c.do(req)
	if err != nil {
		return nil, c.failed(r.ID, transportError(t, step, hadConn, err))
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		e := statusError(t, step, resp)
		if resp.StatusCode == http.StatusConflict && t.Class == Engine {
			e.Reached = MayHaveRun // the attempt is known and may be running
		}
		return nil, c.failed(r.ID, e)
	}
	last := 0
	if cont != nil && len(cont.Events) > 0 {
		last = cont.Events[len(cont.Events)-1].Sequence
	}
	return c.newStream(t, r, resp, options, last, false), nil
}

func (c *HTTPClient) resumeEngine(ctx context.Context, t Target, r *request.Request, attempt AttemptID, after int) (Answer, error) {
	const step = "engine.resume"
	options, err := optionsOf(r)
	if err != nil {
		return nil, c.unsent(t, r, step, "body: "+err.Error())
	}
	req, err := c.newRequest(ctx, t, http.MethodGet, streamPath(attempt), nil)
	if err != nil {
		return nil, c.failed(r.ID, &AttemptError{Reached: NotSent, Target: t, Err: err})
	}
	req.Header.Set("Accept", "text/event-stream")
	setIdentity(req, r, attempt)
	setAfter(req, after)
	resp, hadConn, err := c.do(req)
	if err != nil {
		return nil, c.failed(r.ID, transportError(t, step, hadConn, err))
	}
	if resp.StatusCode == http.StatusOK {
		return c.newStream(t, r, resp, options, after, after > 0), nil
	}
	defer resp.Body.Close()
	e := statusError(t, step, resp)
	switch {
	case resp.StatusCode == http.StatusNotFound:
		e.Reached = NotFound
	case e.Reached == Ran:
		e.Reached = MayHaveRun // only the call to resume failed
	}
	return nil, c.failed(r.ID, e)
}

// engineAnswer is the stream of one attempt at an engine.
type engineAnswer struct {
	client  *HTTPClient
	target  Target
	request request.ID
	kind    request.Kind
	options engineOptions

	head    request.Head
	body    io.ReadCloser
	events  *sseReader
	facts   chunkFacts // of the last event
	load    Load
	hasLoad bool

	last     int // sequence number of the last event
	resumed  bool
	begun    map[int]bool // choices that have events in this stream
	finished map[int]bool // choices that have a finish reason
	usage    Usage
	err      error
}

func (c *HTTPClient) newStream(t Target, r *request.Request, resp *http.Response, o engineOptions, last int, resumed bool) *engineAnswer {
	load, found := c.load(t, resp.Header)
	return &engineAnswer{
		client: c, target: t, request: r.ID, kind: r.Kind, options: o,
		head: request.Head{Status: resp.StatusCode, Header: netx.EndToEndHeaders(resp.Header)},
		body: resp.Body, events: newSSEReader(resp.Body), load: load, hasLoad: found,
		last: last, resumed: resumed, begun: map[int]bool{}, finished: map[int]bool{},
	}
}

// Head implements Answer.
func (a *engineAnswer) Head() request.Head { return a.head }

// Usage implements Answer.
func (a *engineAnswer) Usage() Usage { return a.usage }

// Load implements Answer.
func (a *engineAnswer) Load() (Load, bool) { return a.load, a.hasLoad }

// Close implements Answer.
func (a *engineAnswer) Close() error { return a.body.Close() }

// Next implements Answer.
func (a *engineAnswer) Next() (request.Event, error) {
	if a.err != nil {
		return request.Event{}, a.err
	}
	e, err := a.next()
	if err != nil {
		a.err = err
	}
	return e, err
}

func (a *engineAnswer) next() (request.Event, error) {
	for {
		e, err := a.events.next()
		if err != nil {
			return request.Event{}, a.broken("answer broke off after event %d: %s", a.last, err)
		}
		if string(e.data) == "[DONE]" {
			return request.Event{}, a.done()
		}
		if err := a.checkID(e.id); err != nil {
			return request.Event{}, err
		}
		chunk := &a.facts
		if err := chunk.read(e.data); err != nil {
			return request.Event{}, a.broken("event %d: %s", a.last, err)
		}
		if len(chunk.problem) > 0 {
			return request.Event{}, a.broken("event %d is an error: %s", a.last, clip(string(chunk.problem)))
		}
		a.observe(chunk)
		if len(chunk.choices) == 0 && chunk.usage != nil && !a.options.StreamOptions.IncludeUsage {
			continue
		}
		return request.Event{Sequence: a.last, Data: e.data, Tokens: chunk.tokens()}, nil
	}
}

// checkID counts the event. The older system numbers none of its events.
func (a *engineAnswer) checkID(id int) error {
	if id == 0 && a.target.Class == Older {
		id = a.last + 1
	}
	if id != a.last+1 {
		return a.broken("event %d follows event %d", id, a.last)
	}
	a.last = id
	return nil
}

func (a *engineAnswer) observe(chunk *chunkFacts) {
	for _, ch := range chunk.choices {
		a.begun[ch.index] = true
		if ch.isFinished {
			a.finished[ch.index] = true
		}
	}
	if u := chunk.usage; u != nil {
		a.usage = u.usage()
	}
}

// done decides whether the answer is whole. Choices without an event in a
// resumed stream had their finish reasons before the resumption.
func (a *engineAnswer) done() error {
	want := a.options.N
	if a.resumed {
		want = len(a.begun)
	}
	if len(a.finished) < want {
		return a.broken("answer ended with %d of %d choices finished", len(a.finished), want)
	}
	return io.EOF
}

func (a *engineAnswer) broken(format string, args ...any) error {
	err := fault.New(fault.Protocol, "engine.stream", a.target.ID, format, args...)
	a.client.log.Log(EvStreamBroken, "request", a.request, "server", a.target.ID, "after", a.last, "error", err)
	return brokenError(a.target, a.head.Status, err)
}

func clip(s string) string {
	const longest = 200
	if len(s) > longest {
		return strings.ToValidUTF8(s[:longest], "") + "..."
	}
	return s
}
