package backend

import (
	"testing"

	"github.com/stretchr/testify/require"
)

const commonChunk = `{"id":"c","object":"chat.completion.chunk","created":1,"model":"m","choices":[{"index":0,"delta":{"role":"assistant","content":" a\n\u00e9"},"finish_reason":null}]}`

func TestScannerAcceptsCommonEvents(t *testing.T) {
	for _, text := range []string{
		commonChunk,
		`{"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}`,
		`{"choices":[{"index":1,"text":"a","logprobs":null,"finish_reason":""}],"usage":null}`,
		` { "choices" : [ ] } `,
	} {
		var f chunkInfo
		s := chunkScanner{data: []byte(text), info: &f}
		require.True(t, s.chunk(), text)
	}
}

// FuzzChunkInfo compares chunkScanner with encoding/json: input that the scanner
// accepts must be valid JSON and give the same result.
func FuzzChunkInfo(f *testing.F) {
	for _, seed := range []string{
		commonChunk, `{"choices":[{"delta":{"content":""}}]}`, `{"choices":[],"usage":{"prompt_tokens":1}}`,
		`{"error":{"message":"x"}}`, `{"choices":[{"index":01}]}`, `{"choices":[{"index":0},]}`, `{"choices":[]}x`,
		`{"choices":[{"delta":{"content":"a","content":""}}]}`, `{"choices":[{"text":"\u12"}]}`, `{"choices":[{"text":"\`,
		`{"choices":[{"index":1,"index":2,"delta":{"content":"a"}},{"finish_reason":"stop"}],"choices":[]}`,
		`{"choices":[{"delta":{"content":null}}]}`, `{"created":1.5e3,"choices":null}`, `{"id":"\ud800","choices":[{"text":"\x01"}]}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var scanned, decoded chunkInfo
		s := chunkScanner{data: data, info: &scanned}
		if !s.chunk() {
			return
		}
		require.NoError(t, decoded.decode(data), "%q", data)
		require.Equal(t, decoded.choices, scanned.choices, "%q", data)
		require.Nil(t, decoded.usage)
		require.Empty(t, decoded.errorObject)
	})
}
