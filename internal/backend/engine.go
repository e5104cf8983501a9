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

// engineOptions holds the fields of the caller's request body that the client
// uses.
type engineOptions struct {
	N             int `json:"n"`
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

func parseOptions(r *request.Request) (engineOptions, error) {
	var o engineOptions
	err := json.Unmarshal(r.Body, &o)
	o.N = max(o.N, 1)
	// An answer that is not streamed always includes its usage.
	o.StreamOptions.IncludeUsage = o.StreamOptions.IncludeUsage || !r.Stream
	return o, err
}

// continuationField is the value of the request field "continuation", which makes
// an engine continue after a given text.
type continuationField struct {
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
	// After is the sequence number of the last event of that text.
	After int `json:"after"`
}

// engineBody returns the caller's request body with streaming and usage reports
// enabled and with the continuation, if any.
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
	field, err := newContinuationField(r.Kind, cont.Events)
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

func newContinuationField(kind request.Kind, events []request.Event) (continuationField, error) {
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

// startEngine starts an attempt at an engine or the older system.
func (c *HTTPClient) startEngine(ctx context.Context, t Target, r *request.Request, attempt AttemptID, cont *Continuation) (Answer, error) {
	const step = "engine.start"
	body, err := engineBody(r, cont)
	if err != nil {
		return nil, c.notSent(t, r, step, "body: "+err.Error())
	}
	options, err := parseOptions(r)
	if err != nil {
		return nil, c.notSent(t, r, step, "body: "+err.Error())
	}
	if cont != nil && options.N > 1 {
		return nil, c.notSent(t, r, step, "an answer with several choices cannot be continued")
	}
	req, err := c.newRequest(ctx, t, http.MethodPost, enginePath(r.Kind), body)
	if err != nil {
		return nil, c.logFailure(r.ID, &AttemptError{Progress: NotSent, Target: t, Err: err})
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Accept", "text/event-stream")
	setRequestIDs(req, r, attempt)
	if r.Priority != "" {
		req.Header.Set(headerPriority, r.Priority)
	}
	resp, hadConn, err := c.do(t, req)
	if err != nil {
		return nil, c.logFailure(r.ID, transportError(t, step, hadConn, err))
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		e := statusError(t, step, resp)
		if resp.StatusCode == http.StatusConflict && t.Class == Engine {
			e.Progress = MayHaveRun // the engine knows this attempt ID, so the attempt may be running
		}
		return nil, c.logFailure(r.ID, e)
	}
	last := 0
	if cont != nil && len(cont.Events) > 0 {
		last = cont.Events[len(cont.Events)-1].Sequence
	}
	return c.newEngineAnswer(t, r, resp, options, last, false), nil
}

// resumeEngine attaches to an attempt at an engine and reads the events after the
// given sequence number.
func (c *HTTPClient) resumeEngine(ctx context.Context, t Target, r *request.Request, attempt AttemptID, after int) (Answer, error) {
	const step = "engine.resume"
	options, err := parseOptions(r)
	if err != nil {
		return nil, c.notSent(t, r, step, "body: "+err.Error())
	}
	req, err := c.newRequest(ctx, t, http.MethodGet, streamPath(attempt), nil)
	if err != nil {
		return nil, c.logFailure(r.ID, &AttemptError{Progress: NotSent, Target: t, Err: err})
	}
	req.Header.Set("Accept", "text/event-stream")
	setRequestIDs(req, r, attempt)
	setLastEventID(req, after)
	resp, hadConn, err := c.do(t, req)
	if err != nil {
		return nil, c.logFailure(r.ID, transportError(t, step, hadConn, err))
	}
	if resp.StatusCode == http.StatusOK {
		return c.newEngineAnswer(t, r, resp, options, after, after > 0), nil
	}
	defer resp.Body.Close()
	e := statusError(t, step, resp)
	switch {
	case resp.StatusCode == http.StatusNotFound:
		e.Progress = NotFound
	case e.Progress == RanAndFailed:
		e.Progress = MayHaveRun // only the resume call failed; the attempt may be running
	}
	return nil, c.logFailure(r.ID, e)
}

// engineAnswer is the answer of an engine or the older system, read from
// server-sent events.
type engineAnswer struct {
	client  *HTTPClient
	target  Target
	request request.ID
	kind    request.Kind
	options engineOptions

	head    request.Head
	body    io.ReadCloser
	events  *sseReader
	chunk   chunkInfo // parsed from the last event
	load    Load
	hasLoad bool

	lastSequence    int          // sequence number of the last event
	resumed         bool         // an earlier stream delivered the first events
	startedChoices  map[int]bool // choices with at least one event in this stream
	finishedChoices map[int]bool // choices whose finish reason was received
	usage           Usage
	err             error
}

func (c *HTTPClient) newEngineAnswer(t Target, r *request.Request, resp *http.Response, o engineOptions, last int, resumed bool) *engineAnswer {
	load, found := c.readLoad(t, resp.Header)
	return &engineAnswer{
		client: c, target: t, request: r.ID, kind: r.Kind, options: o,
		head: request.Head{Status: resp.StatusCode, Header: netx.EndToEndHeaders(resp.Header)},
		body: resp.Body, events: newSSEReader(resp.Body), load: load, hasLoad: found,
		lastSequence: last, resumed: resumed, startedChoices: map[int]bool{}, finishedChoices: map[int]bool{},
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
			return request.Event{}, a.brokenStream("answer broke off after event %d: %s", a.lastSequence, err)
		}
		if string(e.data) == "[DONE]" {
			return request.Event{}, a.checkComplete()
		}
		if err := a.checkSequence(e.id); err != nil {
			return request.Event{}, err
		}
		chunk := &a.chunk
		if err := chunk.parse(e.data); err != nil {
			return request.Event{}, a.brokenStream("event %d: %s", a.lastSequence, err)
		}
		if len(chunk.errorObject) > 0 {
			return request.Event{}, a.brokenStream("event %d is an error: %s", a.lastSequence, truncate(string(chunk.errorObject)))
		}
		a.record(chunk)
		if len(chunk.choices) == 0 && chunk.usage != nil && !a.options.StreamOptions.IncludeUsage {
			continue
		}
		return request.Event{Sequence: a.lastSequence, Data: e.data, Tokens: chunk.tokens()}, nil
	}
}

// checkSequence checks that the event's ID is the next sequence number and
// advances the sequence. The older system sends no IDs, so its events are counted.
func (a *engineAnswer) checkSequence(id int) error {
	if id == 0 && a.target.Class == Older {
		id = a.lastSequence + 1
	}
	if id != a.lastSequence+1 {
		return a.brokenStream("event %d follows event %d", id, a.lastSequence)
	}
	a.lastSequence = id
	return nil
}

// record updates the state of choices and the usage from an event.
func (a *engineAnswer) record(chunk *chunkInfo) {
	for _, ch := range chunk.choices {
		a.startedChoices[ch.index] = true
		if ch.isFinished {
			a.finishedChoices[ch.index] = true
		}
	}
	if u := chunk.usage; u != nil {
		a.usage = u.usage()
	}
}

// checkComplete returns io.EOF if every choice has finished, otherwise an error.
// A choice without an event in a resumed stream had finished before the
// resumption.
func (a *engineAnswer) checkComplete() error {
	want := a.options.N
	if a.resumed {
		want = len(a.startedChoices)
	}
	if len(a.finishedChoices) < want {
		return a.brokenStream("answer ended with %d of %d choices finished", len(a.finishedChoices), want)
	}
	return io.EOF
}

// brokenStream logs that the answer is incomplete and returns the error for it.
func (a *engineAnswer) brokenStream(format string, args ...any) error {
	err := fault.New(fault.Protocol, "engine.stream", a.target.ID, format, args...)
	a.client.log.Log(EvStreamBroken, "request", a.request, "server", a.target.ID, "after", a.lastSequence, "error", err)
	return brokenError(a.target, a.head.Status, err)
}

// truncate shortens s to at most 200 bytes for error messages.
func truncate(s string) string {
	const maxLength = 200
	if len(s) > maxLength {
		return strings.ToValidUTF8(s[:maxLength], "") + "..."
	}
	return s
}
