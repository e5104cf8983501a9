package backend

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/request"
)

func eventsOf(chunks ...string) []request.Event {
	events := make([]request.Event, 0, len(chunks))
	for i, c := range chunks {
		events = append(events, request.Event{Sequence: i + 1, Data: []byte(c)})
	}
	return events
}

func TestAssembleMergesChoicesAndToolCalls(t *testing.T) {
	body, err := Assemble(request.Chat, eventsOf(
		`{"id":"c","created":7,"model":"m","choices":[{"index":1,"delta":{"role":"assistant","content":"a"}}]}`,
		`{"choices":[{"index":0,"delta":{"role":"assistant","tool_calls":[{"index":0,"id":"t","type":"function","function":{"name":"f","arguments":"{\"x\""}}]}}]}`,
		`{"choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"function":{"arguments":":1}"}},{"index":1,"id":"u","type":"function","function":{"name":"g","arguments":""}}]}}]}`,
		`{"choices":[{"index":1,"delta":{"content":"b"},"finish_reason":"stop"},{"index":0,"delta":{},"finish_reason":"tool_calls"}]}`,
		`{"choices":[],"usage":{"prompt_tokens":3,"completion_tokens":2,"total_tokens":5}}`,
	))
	require.NoError(t, err)
	require.JSONEq(t, `{"id":"c","object":"chat.completion","created":7,"model":"m",
		"choices":[
			{"index":0,"finish_reason":"tool_calls","message":{"role":"assistant","content":null,"tool_calls":[
				{"id":"t","type":"function","function":{"name":"f","arguments":"{\"x\":1}"}},
				{"id":"u","type":"function","function":{"name":"g","arguments":""}}]}},
			{"index":1,"finish_reason":"stop","message":{"role":"assistant","content":"ab"}}],
		"usage":{"prompt_tokens":3,"completion_tokens":2,"total_tokens":5}}`, string(body))
}

func TestAssembleCompletion(t *testing.T) {
	body, err := Assemble(request.Completion, eventsOf(
		`{"id":"c","model":"m","choices":[{"index":0,"text":"a","finish_reason":null}]}`,
		`{"choices":[{"index":0,"text":" b","finish_reason":"length"}]}`,
	))
	require.NoError(t, err)
	require.JSONEq(t, `{"id":"c","object":"text_completion","created":0,"model":"m",
		"choices":[{"index":0,"text":"a b","finish_reason":"length"}]}`, string(body))
}

func TestAssembleRefusesUnfinishedAnswers(t *testing.T) {
	for name, events := range map[string][]request.Event{
		"empty":     nil,
		"no finish": eventsOf(`{"choices":[{"index":0,"delta":{"content":"a"}}]}`),
		"bad json":  eventsOf(`{`),
	} {
		_, err := Assemble(request.Chat, events)
		require.Error(t, err, name)
	}
}

func TestParseLoad(t *testing.T) {
	for text, ok := range map[string]bool{
		`JSON {"running":2,"waiting":1,"cacheUsed":0.5,"tokensPerSecond":9}`: true,
		`{"running":2}`:          true,
		`JSON {"running":-1}`:    false,
		`JSON {"cacheUsed":1.5}`: false,
		`cpu_utilization=0.3`:    false,
	} {
		_, found, err := ParseLoad(http.Header{"Endpoint-Load-Metrics": {text}})
		require.Equal(t, ok, found, text)
		require.Equal(t, ok, err == nil, text)
	}
}
