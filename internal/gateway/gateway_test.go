package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"buckthornpick/internal/config"
	"buckthornpick/internal/membudget"
	"buckthornpick/internal/request"
	"buckthornpick/internal/telemetry"
)

const key = "sk-1"

// hashKey returns a key's hash in the form used in the document.
func hashKey(key string) string {
	s := sha256.Sum256([]byte(key))
	return hex.EncodeToString(s[:])
}

// fakeNode records the submitted request and answers with parts.
type fakeNode struct {
	doc       *config.Document
	submitted *request.Request
	position  request.Position
	parts     []request.Part
	leaving   chan struct{}
}

func (n *fakeNode) Document() (*config.Document, bool) { return n.doc, n.doc != nil }
func (n *fakeNode) GenerateRequestID() request.ID      { return request.NewID("minted", "1") }
func (n *fakeNode) Leaving() <-chan struct{}           { return n.leaving }

func (n *fakeNode) Submit(_ context.Context, r *request.Request, pos request.Position) (Answer, error) {
	n.submitted, n.position = r, pos
	return &fakeAnswer{info: r.Info(), parts: n.parts}, nil
}

func (n *fakeNode) Attach(_ context.Context, _ string, id request.ID, pos request.Position) (Answer, error) {
	n.position = pos
	return &fakeAnswer{info: request.Info{ID: id, Kind: request.Chat, Stream: true}, parts: n.parts}, nil
}

type fakeAnswer struct {
	info  request.Info
	parts []request.Part
}

func (a *fakeAnswer) Info() request.Info { return a.info }
func (a *fakeAnswer) Ready() bool        { return len(a.parts) > 0 }
func (a *fakeAnswer) Close()             {}

func (a *fakeAnswer) EnsureHandover(context.Context) {}

func (a *fakeAnswer) Next(ctx context.Context) (request.Part, error) {
	if len(a.parts) == 0 {
		<-ctx.Done()
		return request.Part{}, ctx.Err()
	}
	part := a.parts[0]
	a.parts = a.parts[1:]
	return part, nil
}

func newFakeNode() *fakeNode {
	completed := request.End{Outcome: request.Completed}
	return &fakeNode{
		leaving: make(chan struct{}),
		doc: &config.Document{
			Organisations: []config.Organisation{{Name: "delta", KeyHashes: []string{hashKey(key)}}},
			Services: []config.Service{
				{Name: "audit", Kind: config.ModelService, Models: []string{"m"}, TimeoutSeconds: 20},
				{Name: "report", Kind: config.PlainService,
					NonRepeatable: []config.CallMatch{{Method: "POST", PathPrefix: "/exports"}}},
			},
		},
		parts: []request.Part{
			{Head: &request.Head{Status: 200, Answer: "a1"}},
			{Event: &request.Event{Sequence: 1, Data: []byte(`{"choices":[]}`)}},
			{End: &completed},
		},
	}
}

// call sends one authenticated request to a gateway in front of n.
func call(n *fakeNode, method, path, body string, header map[string]string) *httptest.ResponseRecorder {
	g := New(Config{MaxBodyBytes: 1000}, n, telemetry.Discard(), metrics.NewRegistry())
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+key)
	for name, value := range header {
		r.Header.Set(name, value)
	}
	w := httptest.NewRecorder()
	g.Handler().ServeHTTP(w, r)
	return w
}

const chat = "/v1/chat/completions"

func TestInvalidRequestsGetDescriptiveErrors(t *testing.T) {
	good := `{"model":"m","messages":[{"role":"user","content":"x"}]}`
	cases := map[string]struct {
		method, path, body string
		header             map[string]string
		status             int
		message            string
	}{
		"no key":             {"POST", chat, good, map[string]string{"Authorization": ""}, 401, "bearer key"},
		"unknown key":        {"POST", chat, good, map[string]string{"Authorization": "Bearer sk-2"}, 401, "bearer key"},
		"not JSON":           {"POST", chat, `{"model"`, nil, 400, "JSON"},
		"wrong field type":   {"POST", chat, `{"model":3}`, nil, 400, "JSON"},
		"no model":           {"POST", chat, `{"messages":[{}]}`, nil, 400, `"model" is missing`},
		"no messages":        {"POST", chat, `{"model":"m"}`, nil, 400, `"messages" is missing`},
		"no prompt":          {"POST", "/v1/completions", `{"model":"m"}`, nil, 400, `"prompt" is missing`},
		"negative maximum":   {"POST", chat, `{"model":"m","messages":[{"role":"user"}],"max_tokens":-1}`, nil, 400, "max_tokens"},
		"several answers":    {"POST", chat, `{"model":"m","messages":[{"role":"user"}],"n":2}`, nil, 400, `"n" must be 1`},
		"unknown model":      {"POST", chat, `{"model":"q","messages":[{"role":"user"}]}`, nil, 404, `"q"`},
		"unknown service":    {"GET", "/services/nope/x", "", nil, 404, `"nope"`},
		"model as a service": {"GET", "/services/audit/x", "", nil, 404, `"audit"`},
		"unknown path":       {"GET", "/v2/x", "", nil, 404, "no such path"},
		"large body":         {"POST", chat, strings.Repeat("x", 1001), nil, 413, "1000 bytes"},
		"long key":           {"POST", chat, good, map[string]string{HeaderIdempotencyKey: strings.Repeat("k", 257)}, 400, "Idempotency-Key"},
		"wrong event ID":     {"POST", chat, good, map[string]string{HeaderLastEventID: "x-1"}, 400, "Last-Event-ID"},
		"negative event ID":  {"POST", chat, good, map[string]string{HeaderLastEventID: "-1"}, 400, "Last-Event-ID"},
		"wrong request ID":   {"GET", "/v1/requests/12", "", nil, 400, "32 hexadecimal"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			n := newFakeNode()
			w := call(n, c.method, c.path, c.body, c.header)
			require.Equal(t, c.status, w.Code, "%s", w.Body)
			var body errorBody
			require.NoError(t, json.Unmarshal(w.Body.Bytes(), &body))
			require.Contains(t, body.Error.Message, c.message)
			require.NotEmpty(t, body.Error.Type)
			require.Nil(t, n.submitted)
		})
	}
}

func TestBodyWithoutRoomIsNotRun(t *testing.T) {
	n := newFakeNode()
	registry := metrics.NewRegistry()
	g := New(Config{Memory: membudget.New(1000, telemetry.Discard(), registry)}, n, telemetry.Discard(), registry)
	for size, status := range map[int]int{900: http.StatusBadRequest, 1100: http.StatusServiceUnavailable} {
		r := httptest.NewRequest(http.MethodPost, chat, strings.NewReader(strings.Repeat("x", size)))
		r.Header.Set("Authorization", "Bearer "+key)
		w := httptest.NewRecorder()
		g.Handler().ServeHTTP(w, r)
		require.Equal(t, status, w.Code, w.Body)
		if status == http.StatusServiceUnavailable {
			require.Equal(t, string(request.NotRun), w.Header().Get(HeaderOutcome))
			require.NotEmpty(t, w.Header().Get("Retry-After"))
		}
	}
	require.Zero(t, g.cfg.Memory.Used())
	require.Nil(t, n.submitted)
}

func TestSubmittedRequest(t *testing.T) {
	body := `{"model":"m","stream":true,"max_completion_tokens":7,"messages":[{"role":"user","content":"x"}]}`
	n := newFakeNode()
	w := call(n, "POST", chat, body, map[string]string{HeaderIdempotencyKey: "k", HeaderNonRepeatable: "TRUE",
		HeaderLastEventID: "3-a1", HeaderPriority: "high", HeaderContext: "c"})
	require.Equal(t, 200, w.Code)
	r := n.submitted
	require.Equal(t, request.NewID("delta", "k"), r.ID)
	require.Equal(t, request.Position{After: 3, Answer: "a1"}, n.position)
	require.False(t, r.HasGeneratedKey)
	require.False(t, r.Repeatable)
	require.True(t, r.Stream)
	require.Equal(t, "high", r.Priority)
	require.Equal(t, 7, r.MaxTokens)
	require.Equal(t, 20*time.Second, r.Deadline.Sub(r.AcceptedAt))
	require.Contains(t, w.Body.String(), "id: 1-a1\ndata: {\"choices\":[]}\n\ndata: [DONE]")
}

func TestNonRepeatablePlainCalls(t *testing.T) {
	for path, isRepeatable := range map[string]bool{"/services/report/exports/7?x=1": false, "/services/report/status": true} {
		n := newFakeNode()
		call(n, "POST", path, "body", nil)
		require.Equal(t, isRepeatable, n.submitted.Repeatable, path)
		require.Equal(t, strings.TrimPrefix(path, "/services/report"), n.submitted.Path)
		require.True(t, n.submitted.HasGeneratedKey)
	}
}

func TestFingerprintCoversRequestContent(t *testing.T) {
	base := request.Request{Organisation: "o", Service: "s", Method: "POST", Path: "/p", Body: []byte("b")}
	seen := map[uint64]bool{fingerprint(&base): true}
	for _, change := range []func(*request.Request){
		func(r *request.Request) { r.Organisation = "o2" },
		func(r *request.Request) { r.Service = "s2" },
		func(r *request.Request) { r.Method = "PUT" },
		func(r *request.Request) { r.Path = "/p2" },
		func(r *request.Request) { r.Body = []byte("b2") },
	} {
		r := base
		change(&r)
		require.False(t, seen[fingerprint(&r)])
		seen[fingerprint(&r)] = true
	}
}

func TestFailedRequestsReturnErrorObjects(t *testing.T) {
	end := request.End{Outcome: request.NotRun, Problem: "overloaded_error", Message: "full", Status: 429,
		RetryAfter: 1500 * time.Millisecond}
	for _, stream := range []string{"true", "false"} {
		n := newFakeNode()
		n.parts = []request.Part{{End: &end}}
		w := call(n, "POST", chat, `{"model":"m","stream":`+stream+`,"messages":[{"role":"user"}]}`, nil)
		require.Equal(t, 429, w.Code)
		require.Equal(t, "2", w.Header().Get("Retry-After"))
		require.Equal(t, "not-run", w.Header().Get(HeaderOutcome))
		require.Contains(t, w.Body.String(), `"type":"overloaded_error"`)
	}
}

func TestBrokenStreamEndsWithErrorAndWithoutDone(t *testing.T) {
	end := request.End{Outcome: request.Unknown, Problem: "outcome_unknown", Message: "lost"}
	n := newFakeNode()
	n.parts = append(n.parts[:2:2], request.Part{End: &end})
	w := call(n, "POST", chat, `{"model":"m","stream":true,"messages":[{"role":"user"}]}`, nil)
	require.Contains(t, w.Body.String(), "event: error")
	require.NotContains(t, w.Body.String(), "[DONE]")
	require.Equal(t, "unknown", w.Result().Trailer.Get(HeaderOutcome))
}

func TestLeavingNodeRedirectsCallers(t *testing.T) {
	firstParts := newFakeNode().parts[:2]
	cases := map[string]struct {
		parts  []request.Part
		status int
		body   string
	}{
		"before the first event": {nil, http.StatusSeeOther, ""},
		"in the middle":          {firstParts, http.StatusOK, "event: reattach\ndata: {\"location\":\"/v1/requests/"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			n := newFakeNode()
			n.parts = c.parts
			close(n.leaving)
			w := call(n, "POST", chat, `{"model":"m","stream":true,"messages":[{"role":"user"}]}`, nil)
			require.Equal(t, c.status, w.Code)
			require.Contains(t, w.Body.String(), c.body)
			require.NotContains(t, w.Body.String(), "[DONE]")
		})
	}
}
