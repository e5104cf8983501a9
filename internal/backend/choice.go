package backend

import (
	"encoding/json"
	"fmt"
	"strings"

	"buckthornpick/internal/request"
)

// choiceBuilder assembles one choice from its deltas.
type choiceBuilder struct {
	text     strings.Builder
	message  *deltaBuilder
	logprobs map[string][]json.RawMessage
	finish   string
}

func newChoiceBuilder() *choiceBuilder { return &choiceBuilder{message: newDeltaBuilder()} }

func (b *choiceBuilder) add(ch completeChoice) error {
	b.text.WriteString(ch.Text)
	if ch.FinishReason != "" {
		b.finish = ch.FinishReason
	}
	if err := b.addLogprobs(ch.Logprobs); err != nil {
		return err
	}
	return b.message.add(ch.Delta)
}

// addLogprobs appends the lists of log probabilities to those with the same name.
func (b *choiceBuilder) addLogprobs(raw json.RawMessage) error {
	if len(raw) == 0 || string(raw) == "null" {
		return nil
	}
	var lists map[string][]json.RawMessage
	if err := json.Unmarshal(raw, &lists); err != nil {
		return fmt.Errorf("logprobs: %w", err)
	}
	if b.logprobs == nil {
		b.logprobs = map[string][]json.RawMessage{}
	}
	for name, list := range lists {
		b.logprobs[name] = append(b.logprobs[name], list...)
	}
	return nil
}

func (b *choiceBuilder) build(kind request.Kind, index int) (wholeChoice, error) {
	if b.finish == "" {
		return wholeChoice{}, fmt.Errorf("no finish reason")
	}
	out := wholeChoice{Index: index, FinishReason: b.finish}
	if b.logprobs != nil {
		raw, err := json.Marshal(b.logprobs)
		if err != nil {
			return wholeChoice{}, err
		}
		out.Logprobs = raw
	}
	if kind != request.Chat {
		text := b.text.String()
		out.Text = &text
		return out, nil
	}
	message, err := b.message.build()
	out.Message = message
	return out, err
}

// deltaBuilder assembles a message from its deltas: strings are concatenated,
// tool calls are merged by index, and for other fields the last value is kept.
type deltaBuilder struct {
	strings map[string]*strings.Builder
	values  map[string]json.RawMessage
	calls   map[int]*deltaBuilder
	// function assembles the nested function object of a tool call.
	function *deltaBuilder
}

func newDeltaBuilder() *deltaBuilder {
	return &deltaBuilder{
		strings: map[string]*strings.Builder{},
		values:  map[string]json.RawMessage{},
		calls:   map[int]*deltaBuilder{},
	}
}

// repeatedFields lists the string fields that a delta repeats in full. They are
// replaced, not concatenated.
var repeatedFields = map[string]bool{"role": true, "id": true, "type": true}

func (b *deltaBuilder) add(fields map[string]json.RawMessage) error {
	for name, raw := range fields {
		if err := b.addField(name, raw); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

func (b *deltaBuilder) addField(name string, raw json.RawMessage) error {
	switch name {
	case "tool_calls":
		return b.addCalls(raw)
	case "function", "function_call":
		return b.addFunction(name, raw)
	}
	var text *string
	if repeatedFields[name] || json.Unmarshal(raw, &text) != nil {
		b.values[name] = raw
		return nil
	}
	if text == nil { // null leaves the field unchanged
		return nil
	}
	if b.strings[name] == nil {
		b.strings[name] = &strings.Builder{}
	}
	b.strings[name].WriteString(*text)
	return nil
}

func (b *deltaBuilder) addCalls(raw json.RawMessage) error {
	var calls []map[string]json.RawMessage
	if err := json.Unmarshal(raw, &calls); err != nil {
		return err
	}
	for _, call := range calls {
		index := 0
		if rawIndex, ok := call["index"]; ok {
			if err := json.Unmarshal(rawIndex, &index); err != nil {
				return err
			}
		}
		delete(call, "index")
		if b.calls[index] == nil {
			b.calls[index] = newDeltaBuilder()
		}
		if err := b.calls[index].add(call); err != nil {
			return err
		}
	}
	return nil
}

func (b *deltaBuilder) addFunction(name string, raw json.RawMessage) error {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(raw, &fields); err != nil {
		return err
	}
	if b.function == nil {
		b.function = newDeltaBuilder()
	}
	b.values[name] = nil // build replaces it by the assembled function
	return b.function.add(fields)
}

func (b *deltaBuilder) build() (json.RawMessage, error) {
	out := map[string]any{}
	for name, raw := range b.values {
		out[name] = raw
	}
	for name, sb := range b.strings {
		out[name] = sb.String()
	}
	for _, name := range []string{"function", "function_call"} {
		if _, ok := b.values[name]; !ok {
			continue
		}
		joined, err := b.function.build()
		if err != nil {
			return nil, err
		}
		out[name] = joined
	}
	var calls []json.RawMessage
	for _, index := range sortedKeys(b.calls) {
		joined, err := b.calls[index].build()
		if err != nil {
			return nil, err
		}
		calls = append(calls, joined)
	}
	if calls != nil {
		out["tool_calls"] = calls
	}
	if _, ok := out["content"]; !ok && calls != nil {
		out["content"] = nil
	}
	return json.Marshal(out)
}
