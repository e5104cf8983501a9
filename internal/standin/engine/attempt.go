package engine

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"
)

// priority orders the waiting queue; lower values run first.
type priority int

func parsePriority(s string) priority {
	switch s {
	case "high":
		return 0
	case "low":
		return 2
	}
	return 1
}

// attempt is one request in the engine. Server.mu guards its fields.
type attempt struct {
	id         string
	request    string // ID of the request, from its header
	body       *body
	prompt     string
	wantTokens int // length of the whole answer
	priority   priority
	created    time.Time

	// words holds the prompt, the continuation and all generated tokens, in the
	// form that the prefix cache hashes.
	words           []string
	cachedTokens    int // tokens of the prompt and the continuation found in the cache
	pendingTokens   int // tokens still to prefill
	computedTokens  int // tokens to prefill when the attempt started
	promptTokens    int // tokens of the prompt and the continuation
	generatedTokens int // includes the tokens of the continuation
	lastToken       string
	salt            uint64

	// events[i] has the event ID firstEventOffset()+i+1.
	events   [][]byte
	finished bool
	canceled bool
	doneAt   time.Time
	changed  chan struct{}   // closed and replaced on each change
	down     <-chan struct{} // closed when the engine crashes

	execution *Execution // nil while the attempt waits in the queue
	observe   func(request string, sequence int, at time.Time)
}

func newAttempt(id, request string, b *body, p priority, now time.Time) *attempt {
	a := &attempt{
		id: id, request: request, body: b, priority: p, created: now,
		prompt: b.promptText(), wantTokens: b.answerTokens(), changed: make(chan struct{}),
	}
	a.words = strings.Fields(a.prompt)
	if b.chat() {
		a.words = append(a.words, assistantTurn)
	}
	if c := b.Continuation; c != nil && c.Tokens > 0 {
		text := strings.Fields(c.Text)
		a.words = append(a.words, text...)
		a.generatedTokens = c.Tokens
		if len(text) > 0 {
			a.lastToken = text[len(text)-1]
		}
	}
	a.promptTokens = len(a.words)
	return a
}

func (a *attempt) firstEventOffset() int {
	if a.body.Continuation == nil {
		return 0
	}
	return a.body.Continuation.After
}

// reservedKV returns the KV cache, in tokens, that the attempt needs at most.
func (a *attempt) reservedKV() int { return a.promptTokens + max(a.wantTokens-a.generatedTokens, 0) }

// notify wakes all handlers that wait for a change of the attempt.
func (a *attempt) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// emitToken generates the next token.
func (a *attempt) emitToken() {
	if a.lastToken == "" {
		a.lastToken = firstToken(a.prompt, a.salt)
	} else {
		a.lastToken = nextToken(a.prompt, a.lastToken)
	}
	text := a.lastToken
	if a.generatedTokens > 0 {
		text = " " + text
	}
	a.generatedTokens++
	a.execution.Generated++
	a.words = append(a.words, a.lastToken)
	a.appendChunk(text, "")
}

// finish appends the finish marker and the usage and ends the attempt.
func (a *attempt) finish(now time.Time) {
	a.appendChunk("", "length")
	chunk := a.chunk()
	chunk.Choices = []choice{}
	chunk.Usage = a.usage()
	a.append(chunk)
	a.close(now)
}

// close marks the attempt as ended, after its last token or by cancellation, and
// wakes the handlers that wait for it.
func (a *attempt) close(now time.Time) {
	a.finished = true
	a.doneAt = now
	if a.execution != nil {
		a.execution.EndedAt = now
		a.execution.Canceled = a.canceled
	}
	a.notify()
}

// chunk is the JSON of one server-sent event or of an answer that is not streamed.
type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int     `json:"index"`
	Delta        *delta  `json:"delta,omitempty"`
	Message      *delta  `json:"message,omitempty"`
	Text         *string `json:"text,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type usage struct {
	PromptTokens     int          `json:"prompt_tokens"`
	CompletionTokens int          `json:"completion_tokens"`
	TotalTokens      int          `json:"total_tokens"`
	Details          usageDetails `json:"prompt_tokens_details"`
}

type usageDetails struct {
	CachedTokens   int `json:"cached_tokens"`
	ComputedTokens int `json:"computed_tokens"`
}

func (a *attempt) chunk() *chunk {
	c := &chunk{ID: "cmpl-" + a.id, Object: "text_completion", Created: a.created.Unix(), Model: a.body.Model}
	if a.body.chat() {
		c.ID, c.Object = "chatcmpl-"+a.id, "chat.completion.chunk"
	}
	return c
}

func (a *attempt) appendChunk(text, finish string) {
	var ch choice
	if a.body.chat() {
		ch.Delta = &delta{Content: text}
		if len(a.events) == 0 && a.firstEventOffset() == 0 {
			ch.Delta.Role = "assistant"
		}
	} else {
		ch.Text = &text
	}
	if finish != "" {
		ch.FinishReason = &finish
	}
	c := a.chunk()
	c.Choices = []choice{ch}
	a.append(c)
}

func (a *attempt) append(c *chunk) {
	data, err := json.Marshal(c)
	if err != nil {
		panic("chunk: " + err.Error()) // encoding this struct cannot fail
	}
	a.events = append(a.events, data)
	if a.observe != nil {
		a.observe(a.request, a.firstEventOffset()+len(a.events), time.Now())
	}
	a.notify()
}

// usage returns the usage of the whole answer, as if one engine had generated it.
func (a *attempt) usage() *usage {
	prompt := a.promptTokens - a.continuedTokens()
	return &usage{
		PromptTokens: prompt, CompletionTokens: a.generatedTokens, TotalTokens: prompt + a.generatedTokens,
		Details: usageDetails{CachedTokens: min(a.cachedTokens, prompt), ComputedTokens: a.computedTokens},
	}
}

func (a *attempt) continuedTokens() int {
	if a.body.Continuation == nil {
		return 0
	}
	return a.body.Continuation.Tokens
}

// fullAnswer returns the body of an answer that is not streamed.
func (a *attempt) fullAnswer() *chunk {
	start := len(a.words) - (a.generatedTokens - a.continuedTokens())
	text := strings.Join(a.words[start:], " ")
	reason := "length"
	c := a.chunk()
	c.Object = strings.TrimSuffix(c.Object, ".chunk")
	ch := choice{FinishReason: &reason}
	if a.body.chat() {
		ch.Message = &delta{Role: "assistant", Content: text}
	} else {
		ch.Text = &text
	}
	c.Choices = []choice{ch}
	c.Usage = a.usage()
	return c
}

// frame returns a.events[i] as a server-sent event.
func (a *attempt) frame(i int, withID bool) []byte {
	data := a.events[i]
	out := make([]byte, 0, len(data)+32)
	if withID {
		out = append(out, "id: "...)
		out = strconv.AppendInt(out, int64(a.firstEventOffset()+i+1), 10)
		out = append(out, '\n')
	}
	out = append(out, "data: "...)
	out = append(out, data...)
	return append(out, "\n\n"...)
}
