package engine

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Bounds of the answer's length, in tokens, if the body sets no max_tokens.
const (
	minAnswerTokens = 16
	maxAnswerTokens = 200
)

// assistantTurn is the word that precedes the answer in a chat's KV cache, so
// that the prompt of the next turn finds the answer cached.
const assistantTurn = "assistant:"

// PromptOf returns the prompt text of a chat or completion body, or "" if the
// body has none.
func PromptOf(body []byte) string {
	b, err := parseRequest(body)
	if err != nil {
		return ""
	}
	return b.promptText()
}

// AnswerTokens returns the number of tokens of the whole answer to body, or 0 if
// the body is invalid.
func AnswerTokens(body []byte) int {
	b, err := parseRequest(body)
	if err != nil {
		return 0
	}
	return b.answerTokens()
}

// VerifyText checks that text is the answer of a single execution of prompt with
// wantTokens tokens; a wantTokens of 0 or less accepts any positive length.
func VerifyText(prompt, text string, wantTokens int) error {
	words := strings.Split(text, " ")
	if text == "" {
		words = nil
	}
	if wantTokens > 0 && len(words) != wantTokens {
		return fmt.Errorf("answer has %d tokens, want %d", len(words), wantTokens)
	}
	if len(words) == 0 {
		return fmt.Errorf("answer is empty")
	}
	for i := 1; i < len(words); i++ {
		if words[i] != nextToken(prompt, words[i-1]) {
			return fmt.Errorf("answer breaks at token %d: %q does not follow %q", i+1, words[i], words[i-1])
		}
	}
	return nil
}

func firstToken(prompt string, salt uint64) string {
	return word(xxhash.Sum64String("first:" + strconv.FormatUint(salt, 16) + ":" + prompt))
}

func nextToken(prompt, previous string) string {
	return word(xxhash.Sum64String("next:" + previous + ":" + prompt))
}

func word(h uint64) string { return "w" + strconv.FormatUint(h&0xffffffff, 36) }

// body holds the fields of an OpenAI request body that the engine uses.
type body struct {
	Model         string          `json:"model"`
	Messages      []message       `json:"messages"`
	Prompt        json.RawMessage `json:"prompt"`
	Stream        bool            `json:"stream"`
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	MaxTokens           int           `json:"max_tokens"`
	MaxCompletionTokens int           `json:"max_completion_tokens"`
	Temperature         float64       `json:"temperature"`
	N                   int           `json:"n"`
	Continuation        *continuation `json:"continuation"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type continuation struct {
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
	After  int    `json:"after"`
}

func parseRequest(data []byte) (*body, error) {
	var b body
	if err := json.Unmarshal(data, &b); err != nil {
		return nil, fmt.Errorf("body: %w", err)
	}
	if len(b.Messages) == 0 && len(b.Prompt) == 0 {
		return nil, fmt.Errorf("body: neither messages nor prompt")
	}
	if b.N > 1 {
		return nil, fmt.Errorf("body: n is %d, only 1 is supported", b.N)
	}
	if c := b.Continuation; c != nil && (c.After < 0 || c.Tokens != len(strings.Fields(c.Text))) {
		return nil, fmt.Errorf("body: continuation counts %d tokens after event %d, its text has %d",
			c.Tokens, c.After, len(strings.Fields(c.Text)))
	}
	return &b, nil
}

func (b *body) chat() bool { return len(b.Messages) > 0 }

func (b *body) promptText() string {
	if !b.chat() {
		return textOf(b.Prompt)
	}
	var sb strings.Builder
	for _, m := range b.Messages {
		sb.WriteString(m.Role + ": " + textOf(m.Content) + "\n")
	}
	return sb.String()
}

func (b *body) answerTokens() int {
	if b.MaxCompletionTokens > 0 {
		return b.MaxCompletionTokens
	}
	if b.MaxTokens > 0 {
		return b.MaxTokens
	}
	span := uint64(maxAnswerTokens - minAnswerTokens + 1)
	return minAnswerTokens + int(xxhash.Sum64String("length:"+b.promptText())%span)
}

// textOf returns the text of a string, a list of strings or a list of content
// parts.
func textOf(raw json.RawMessage) string {
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return s
	}
	var list []string
	if json.Unmarshal(raw, &list) == nil {
		return strings.Join(list, " ")
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if json.Unmarshal(raw, &parts) != nil {
		return ""
	}
	texts := make([]string, 0, len(parts))
	for _, p := range parts {
		texts = append(texts, p.Text)
	}
	return strings.Join(texts, " ")
}
