package backend

import "encoding/json"

// streamChunk holds the fields that the client decodes from an event that
// chunkScanner does not accept.
type streamChunk struct {
	Choices []streamChoice  `json:"choices"`
	Usage   *chunkUsage     `json:"usage"`
	Error   json.RawMessage `json:"error"`
}

type streamChoice struct {
	Index        int         `json:"index"`
	Delta        streamDelta `json:"delta"`
	Text         string      `json:"text"`
	FinishReason string      `json:"finish_reason"`
}

// streamDelta holds the fields in which engines send generated tokens.
type streamDelta struct {
	Content          string     `json:"content"`
	ReasoningContent string     `json:"reasoning_content"`
	Refusal          string     `json:"refusal"`
	ToolCalls        []struct{} `json:"tool_calls"`
	FunctionCall     *struct{}  `json:"function_call"`
}

type chunkUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	Details          struct {
		CachedTokens int `json:"cached_tokens"`
		// ComputedTokens is an extension. It is nil if the server does not
		// support it.
		ComputedTokens *int `json:"computed_tokens"`
	} `json:"prompt_tokens_details"`
}

func (u *chunkUsage) usage() Usage {
	out := Usage{
		PromptTokens: u.PromptTokens, CachedTokens: u.Details.CachedTokens, CompletionTokens: u.CompletionTokens,
		ComputedTokens: max(u.PromptTokens-u.Details.CachedTokens, 0),
	}
	if u.Details.ComputedTokens != nil {
		out.ComputedTokens = *u.Details.ComputedTokens
	}
	return out
}

func (ch *streamChoice) hasGeneratedToken() bool {
	d := &ch.Delta
	return ch.Text != "" || d.Content != "" || d.ReasoningContent != "" || d.Refusal != "" ||
		len(d.ToolCalls) > 0 || d.FunctionCall != nil
}

// completeChunk holds all fields of an event that Assemble uses.
type completeChunk struct {
	ID                string           `json:"id"`
	Created           int64            `json:"created"`
	Model             string           `json:"model"`
	SystemFingerprint string           `json:"system_fingerprint"`
	Choices           []completeChoice `json:"choices"`
	Usage             json.RawMessage  `json:"usage"`
}

type completeChoice struct {
	Index        int                        `json:"index"`
	Delta        map[string]json.RawMessage `json:"delta"`
	Text         string                     `json:"text"`
	Logprobs     json.RawMessage            `json:"logprobs"`
	FinishReason string                     `json:"finish_reason"`
}
