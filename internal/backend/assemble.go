package backend

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"buckthornpick/internal/request"
)

// TextOf returns the concatenated text of the first choice in events.
func TextOf(kind request.Kind, events []request.Event) (string, error) {
	var sb strings.Builder
	for _, e := range events {
		var c streamChunk
		if err := json.Unmarshal(e.Data, &c); err != nil {
			return "", fmt.Errorf("event %d: %w", e.Sequence, err)
		}
		for _, ch := range c.Choices {
			if ch.Index != 0 {
				continue
			}
			if kind == request.Chat {
				sb.WriteString(ch.Delta.Content)
			} else {
				sb.WriteString(ch.Text)
			}
		}
	}
	return sb.String(), nil
}

// wholeAnswer is the response body of a request that is not streamed.
type wholeAnswer struct {
	ID                string          `json:"id"`
	Object            string          `json:"object"`
	Created           int64           `json:"created"`
	Model             string          `json:"model"`
	SystemFingerprint string          `json:"system_fingerprint,omitempty"`
	Choices           []wholeChoice   `json:"choices"`
	Usage             json.RawMessage `json:"usage,omitempty"`
}

type wholeChoice struct {
	Index        int             `json:"index"`
	Message      json.RawMessage `json:"message,omitempty"`
	Text         *string         `json:"text,omitempty"`
	Logprobs     json.RawMessage `json:"logprobs,omitempty"`
	FinishReason string          `json:"finish_reason"`
}

// Assemble builds the response body of a request that is not streamed from the
// events of a streamed answer: text deltas are concatenated and tool calls are
// merged by index. It returns an error if a choice has no finish reason. The kind
// must be Chat or Completion.
func Assemble(kind request.Kind, events []request.Event) ([]byte, error) {
	if kind == request.Plain {
		return nil, fmt.Errorf("a plain answer has no chunks")
	}
	out := wholeAnswer{Object: "text_completion"}
	if kind == request.Chat {
		out.Object = "chat.completion"
	}
	choices := map[int]*choiceBuilder{}
	for _, e := range events {
		if err := mergeEvent(&out, choices, e); err != nil {
			return nil, fmt.Errorf("event %d: %w", e.Sequence, err)
		}
	}
	if len(choices) == 0 {
		return nil, fmt.Errorf("answer has no choices")
	}
	for _, index := range sortedKeys(choices) {
		c, err := choices[index].build(kind, index)
		if err != nil {
			return nil, fmt.Errorf("choice %d: %w", index, err)
		}
		out.Choices = append(out.Choices, c)
	}
	return json.Marshal(out)
}

// mergeEvent adds one event to out and to the builders of its choices.
func mergeEvent(out *wholeAnswer, choices map[int]*choiceBuilder, e request.Event) error {
	var c completeChunk
	if err := json.Unmarshal(e.Data, &c); err != nil {
		return err
	}
	if out.ID == "" {
		out.ID, out.Created, out.Model = c.ID, c.Created, c.Model
		out.SystemFingerprint = c.SystemFingerprint
	}
	if len(c.Usage) > 0 && string(c.Usage) != "null" {
		out.Usage = c.Usage
	}
	for _, ch := range c.Choices {
		b := choices[ch.Index]
		if b == nil {
			b = newChoiceBuilder()
			choices[ch.Index] = b
		}
		if err := b.add(ch); err != nil {
			return err
		}
	}
	return nil
}

func sortedKeys[V any](m map[int]V) []int {
	keys := make([]int, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Ints(keys)
	return keys
}
