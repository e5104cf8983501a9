package engine

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"
)

// priority orders the waiting queue; lower goes first.
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
	id       string
	request  string
	body     *body
	prompt   string
	want     int
	priority priority
	created  time.Time

	// words are the prompt and everything generated, as the cache sees them.
	words      []string
	cached     int // tokens found cached
	pending    int // tokens left to prefill
	computed   int // tokens to prefill at the start
	promptSize int // tokens of prompt and continuation
	generated  int // tokens, those of a continuation included
	last       string
	salt       uint64

	// events[i] has the ID body.Continuation.After+i+1.
	events   [][]byte
	finished bool
	canceled bool
	doneAt   time.Time
	changed  chan struct{}   // closed and replaced at each change
	down     <-chan struct{} // closed when the engine crashes

	execution *Execution // nil before the attempt has left the queue
	observe   func(request string, sequence int, at time.Time)
}

func newAttempt(id, request string, b *body, p priority, now time.Time) *attempt {
	a := &attempt{
		id: id, request: request, body: b, priority: p, created: now,
		prompt: b.promptText(), want: b.wantTokens(), changed: make(chan struct{}),
	}
	a.words = strings.Fields(a.prompt)
	if b.chat() {
		a.words = append(a.words, answerTurn)
	}
	if c := b.Continuation; c != nil && c.Tokens > 0 {
		text := strings.Fields(c.Text)
		a.words = append(a.words, text...)
		a.generated = c.Tokens
		if len(text) > 0 {
			a.last = text[len(text)-1]
		}
	}
	a.promptSize = len(a.words)
	return a
}

func (a *attempt) offset() int {
	if a.body.Continuation == nil {
		return 0
	}
	return a.body.Continuation.After
}

// reserved is the KV cache that the attempt may come to need, in tokens.
func (a *attempt) reserved() int { return a.promptSize + max(a.want-a.generated, 0) }

func (a *attempt) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// emitToken generates the next token.
func (a *attempt) emitToken() {
	if a.last == "" {
		a.last = firstToken(a.prompt, a.salt)
	} else {
		a.last = nextToken(a.prompt, a.last)
	}
	text := a.last
	if a.generated > 0 {
		text = " " + text
	}
	a.generated++
	a.execution.Generated++
	a.words = append(a.words, a.last)
	a.appendChunk(text, "")
}

// finish appends the finish marker and the usage.
func (a *attempt) finish(now time.Time) {
	a.appendChunk("", "length")
	chunk := a.chunk()
	chunk.Choices = []choice{}
	chunk.Usage = a.usage()
	a.append(chunk)
	a.close(now)
}

func (a *attempt) close(now time.Time) {
	a.finished = true
	a.doneAt = now
	if a.execution != nil {
		a.execution.EndedAt = now
		a.execution.Canceled = a.canceled
	}
	a.notify()
}

// chunk is one server-sent event or a whole answer.
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
		if len(a.events) == 0 && a.offset() == 0 {
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
		panic("chunk: " + err.Error()) // plain structs always encode
	}
	a.events = append(a.events, data)
	if a.observe != nil {
		a.observe(a.request, a.offset()+len(a.events), time.Now())
	}
	a.notify()
}

// usage counts the whole answer, as if one engine had generated it.
func (a *attempt) usage() *usage {
	prompt := a.promptSize - a.continued()
	return &usage{
		PromptTokens: prompt, CompletionTokens: a.generated, TotalTokens: prompt + a.generated,
		Details: usageDetails{CachedTokens: min(a.cached, prompt), ComputedTokens: a.computed},
	}
}

func (a *attempt) continued() int {
	if a.body.Continuation == nil {
		return 0
	}
	return a.body.Continuation.Tokens
}

// whole returns the body of an answer that is not streamed.
func (a *attempt) whole() *chunk {
	start := len(a.words) - (a.generated - a.continued())
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

// frame returns the server-sent event with index i of a.events.
func (a *attempt) frame(i int, withID bool) []byte {
	data := a.events[i]
	out := make([]byte, 0, len(data)+32)
	if withID {
		out = append(out, "id: "...)
		out = strconv.AppendInt(out, int64(a.offset()+i+1), 10)
		out = append(out, '\n')
	}
	out = append(out, "data: "...)
	out = append(out, data...)
	return append(out, "\n\n"...)
}
