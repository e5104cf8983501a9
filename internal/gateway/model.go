package gateway

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"buckthornpick/internal/config"
	"buckthornpick/internal/request"
)

// modelBody holds the fields of an OpenAI request body that validation and
// routing use.
type modelBody struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	PromptCacheKey      string          `json:"prompt_cache_key"`
	N                   int             `json:"n"`
}

const (
	// bytesPerToken is the assumed number of prompt bytes per token, for
	// estimating the number of prompt tokens.
	bytesPerToken = 4
	// prefixBytes is the length of the prompt prefix that identifies the
	// context if the caller names none.
	prefixBytes = 1024
)

// serveModel returns the handler for chat or text completions.
func (g *Gateway) serveModel(kind request.Kind) callerHandler {
	return func(w http.ResponseWriter, r *http.Request, c caller) {
		body, memory, p := g.readBody(w, r)
		defer memory.Close()
		if p != nil {
			writeProblem(w, *p)
			return
		}
		var m modelBody
		if err := json.Unmarshal(body, &m); err != nil {
			writeProblem(w, invalidRequest("body is not the expected JSON object: "+err.Error()))
			return
		}
		if p := m.validate(kind); p != nil {
			writeProblem(w, *p)
			return
		}
		service, ok := serviceForModel(c.doc, m.Model)
		if !ok {
			writeProblem(w, problem{status: http.StatusNotFound, kind: typeNotFound,
				message: "no service offers model " + quote(m.Model), outcome: refusedOutcome(r)})
			return
		}
		req := &request.Request{
			Service: service.Name, Kind: kind, Model: m.Model, Stream: m.Stream,
			Repeatable: !isMarkedNonRepeatable(r), Context: m.contextHash(r),
			PromptTokens: len(m.prompt()) / bytesPerToken, MaxTokens: m.maxTokens(),
			Body: body,
		}
		g.submit(w, r, c, req, service)
	}
}

// validate returns the problem with the body, or nil if it is valid.
func (m *modelBody) validate(kind request.Kind) *problem {
	var message string
	switch {
	case m.Model == "":
		message = `field "model" is missing`
	case kind == request.Chat && len(m.Messages) < len(`[{}]`):
		message = `field "messages" is missing or empty`
	case kind == request.Completion && len(m.Prompt) < len(`""`):
		message = `field "prompt" is missing or empty`
	case m.MaxTokens < 0 || m.MaxCompletionTokens < 0:
		message = `field "max_tokens" must not be negative`
	case m.N > 1:
		message = `field "n" must be 1: one answer is served per request`
	default:
		return nil
	}
	p := invalidRequest(message)
	return &p
}

func (m *modelBody) prompt() []byte {
	if len(m.Messages) > 0 {
		return m.Messages
	}
	return m.Prompt
}

func (m *modelBody) maxTokens() int {
	return max(m.MaxTokens, m.MaxCompletionTokens)
}

// contextHash returns the hash of the caller's context header, otherwise of the
// prompt cache key, otherwise of the first prefixBytes of the prompt.
func (m *modelBody) contextHash(r *http.Request) uint64 {
	if name := r.Header.Get(HeaderContext); name != "" {
		return xxhash.Sum64String(name)
	}
	if m.PromptCacheKey != "" {
		return xxhash.Sum64String(m.PromptCacheKey)
	}
	p := m.prompt()
	return xxhash.Sum64(p[:min(len(p), prefixBytes)])
}

// serviceForModel returns the model service that offers the model.
func serviceForModel(doc *config.Document, model string) (config.Service, bool) {
	for _, s := range doc.Services {
		if s.Kind == config.ModelService && slices.Contains(s.Models, model) {
			return s, true
		}
	}
	return config.Service{}, false
}

func isMarkedNonRepeatable(r *http.Request) bool {
	return strings.EqualFold(r.Header.Get(HeaderNonRepeatable), "true")
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// serveModels lists the models of all configured services.
func (g *Gateway) serveModels(w http.ResponseWriter, _ *http.Request, c caller) {
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, s := range c.doc.Services {
		for _, m := range s.Models {
			list.Data = append(list.Data, modelEntry{ID: m, Object: "model", OwnedBy: s.Name})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}
