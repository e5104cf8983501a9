package admin

import (
	"context"
	"encoding/pem"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/config"
	"buckthornpick/internal/confstore"
	"buckthornpick/internal/fault"
	"buckthornpick/internal/kv"
	"buckthornpick/internal/telemetry"
)

// memoryStore is an in-memory kv.Store. If txnErr is set, transactions fail with
// it.
type memoryStore struct {
	kv.Store
	mu       sync.Mutex
	entries  map[string]kv.Entry
	revision int64
	txnErr   error
}

func (m *memoryStore) Get(_ context.Context, key string) (kv.Entry, bool, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.entries[key]
	return e, ok, nil
}

func (m *memoryStore) List(_ context.Context, prefix string) (kv.Snapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	snapshot := kv.Snapshot{Revision: m.revision}
	for k, e := range m.entries {
		if strings.HasPrefix(k, prefix) {
			snapshot.Entries = append(snapshot.Entries, e)
		}
	}
	return snapshot, nil
}

func (m *memoryStore) Txn(_ context.Context, guards []kv.Compare, ops []kv.Op) (kv.TxnResult, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.txnErr != nil {
		return kv.TxnResult{}, m.txnErr
	}
	for _, g := range guards {
		if m.entries[g.Key].ModRevision != g.ModRevision {
			return kv.TxnResult{}, nil
		}
	}
	m.revision++
	for _, op := range ops {
		m.entries[op.Key] = kv.Entry{Key: op.Key, Value: op.Value, ModRevision: m.revision}
	}
	return kv.TxnResult{Succeeded: true, Revision: m.revision}, nil
}

type testAPI struct {
	store  *memoryStore
	server *httptest.Server
	client *Client
}

func newTestAPI(t *testing.T) *testAPI {
	store := &memoryStore{entries: map[string]kv.Entry{}}
	api := New(Config{
		Node: "n1", Zone: "a", Token: "secret", ProposeTimeout: 100 * time.Millisecond, Log: telemetry.Discard(),
		Document: confstore.New(confstore.Config{Self: "n1"}, store, telemetry.Discard(), nil),
	})
	server := httptest.NewServer(api.Handler())
	t.Cleanup(server.Close)
	settings := config.ControlSettings{AdminURLs: []string{server.URL}, Token: "secret", Author: "ola"}
	client, err := NewClient(settings)
	require.NoError(t, err)
	return &testAPI{store: store, server: server, client: client}
}

func testDocument(service string) *config.Document {
	return &config.Document{
		Organisations: []config.Organisation{{Name: "shop"}},
		Services:      []config.Service{{Name: service, Kind: config.PlainService}},
		Rules: []config.Rule{
			{Name: "shop", When: config.When{Organisations: []string{"shop"}}, Then: config.Then{Service: service}},
			{Name: "rest", Then: config.Then{Refuse: &config.Refuse{Reason: "closed"}}},
		},
	}
}

func requireAPIError(t *testing.T, err error) *APIError {
	var answer *APIError
	require.ErrorAs(t, err, &answer)
	return answer
}

func TestRetriedChangeIsAppliedOnce(t *testing.T) {
	s := newTestAPI(t)
	_, err := s.client.Document(t.Context())
	require.Equal(t, http.StatusNotFound, requireAPIError(t, err).Status)

	for range 2 {
		accepted, err := s.client.Apply(t.Context(), testDocument("a"), 0, "op1")
		require.NoError(t, err)
		require.EqualValues(t, 1, accepted.Revision)
	}
	doc, err := s.client.Document(t.Context())
	require.NoError(t, err)
	require.EqualValues(t, 1, doc.Revision)
	history, err := s.client.History(t.Context(), 5)
	require.NoError(t, err)
	require.Len(t, history.Entries, 1)
	require.Equal(t, "ola", history.Entries[0].Author)
	revision, err := s.client.Revision(t.Context(), s.server.URL)
	require.NoError(t, err)
	require.Equal(t, RevisionAnswer{Node: "n1", Zone: "a", Revision: 1, OperationID: "op1"}, *revision)
}

func TestConflictReturnsRevisionAndDiff(t *testing.T) {
	s := newTestAPI(t)
	_, err := s.client.Apply(t.Context(), testDocument("a"), 0, "op1")
	require.NoError(t, err)
	_, err = s.client.Apply(t.Context(), testDocument("b"), 0, "op2")
	answer := requireAPIError(t, err)
	require.Equal(t, http.StatusConflict, answer.Status)
	require.EqualValues(t, 1, answer.Answer.Revision)
	require.Contains(t, answer.Answer.Diff, config.Difference{
		Field: `rules["shop"].then.service`, Old: `"a"`, New: `"b"`})
}

func TestChangeFailures(t *testing.T) {
	tests := []struct {
		name   string
		txnErr error
		doc    *config.Document
		status int
		kind   string
	}{
		{"faults", nil, &config.Document{Rules: []config.Rule{{Name: "r"}}}, http.StatusUnprocessableEntity, TypeInvalid},
		{"store down", fault.New(fault.Unavailable, "kv", "", "down"), testDocument("a"), http.StatusServiceUnavailable, TypeUnavailable},
		{"lost answers", fault.New(fault.Ambiguous, "kv", "", "lost"), testDocument("a"), http.StatusGatewayTimeout, TypeOutcomeUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newTestAPI(t)
			s.store.txnErr = tt.txnErr
			_, err := s.client.Apply(t.Context(), tt.doc, 0, "op1")
			require.Error(t, err)
			answer := requireAPIError(t, err)
			require.Equal(t, tt.status, answer.Status)
			require.Equal(t, tt.kind, answer.Answer.Type)
			if tt.status == http.StatusUnprocessableEntity {
				require.Equal(t, "rules[0].then", answer.Answer.Problems[0].Field)
			}
		})
	}
}

func TestExplainSampleRequest(t *testing.T) {
	s := newTestAPI(t)
	_, err := s.client.Apply(t.Context(), testDocument("a"), 0, "op1")
	require.NoError(t, err)
	answer, err := s.client.Explain(t.Context(), ExplainRequest{Organisation: "other", Service: "a", Kind: "plain"})
	require.NoError(t, err)
	require.Equal(t, "rest", answer.Name)
	require.Equal(t, []string{`organisation "other" is not one of ["shop"]`}, answer.Steps[0].Reasons)

	answer, err = s.client.Explain(t.Context(), ExplainRequest{Organisation: "shop", Document: testDocument("b")})
	require.NoError(t, err)
	require.Equal(t, "b", answer.Then.Service)

	_, err = s.client.Explain(t.Context(), ExplainRequest{ContextHash: "xyz"})
	require.Contains(t, requireAPIError(t, err).Answer.Message, "hexadecimal")
}

func TestUnauthorizedAndMalformedRequestsAreRefused(t *testing.T) {
	s := newTestAPI(t)
	tests := []struct {
		name, method, path string
		header             http.Header
		status             int
	}{
		{"no token", "GET", PathDocument, nil, http.StatusUnauthorized},
		{"wrong token", "GET", PathDocument, http.Header{"Authorization": {"Bearer secre"}}, http.StatusUnauthorized},
		{"no revision", "PUT", PathDocument, http.Header{"Authorization": {"Bearer secret"}}, http.StatusPreconditionRequired},
		{"no operation ID", "PUT", PathDocument,
			http.Header{"Authorization": {"Bearer secret"}, "If-Match": {"0"}}, http.StatusBadRequest},
		{"cannot drain", "POST", PathDrain, http.Header{"Authorization": {"Bearer secret"}}, http.StatusNotFound},
		{"history limit", "GET", PathHistory + "?limit=x", http.Header{"Authorization": {"Bearer secret"}}, http.StatusBadRequest},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			req, err := http.NewRequestWithContext(t.Context(), tt.method, s.server.URL+tt.path, strings.NewReader("{}"))
			require.NoError(t, err)
			req.Header = tt.header
			resp, err := http.DefaultClient.Do(req)
			require.NoError(t, err)
			require.NoError(t, resp.Body.Close())
			require.Equal(t, tt.status, resp.StatusCode)
		})
	}
}

func TestEmptyTokenRefusesAllRequests(t *testing.T) {
	api := New(Config{Log: telemetry.Discard()})
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodGet, PathRevision, nil)
	r.Header.Set("Authorization", "Bearer ")
	api.Handler().ServeHTTP(w, r)
	require.Equal(t, http.StatusUnauthorized, w.Code)
}

func TestClientTrustsConfiguredCAs(t *testing.T) {
	api := New(Config{Node: "n1", Token: "secret", Log: telemetry.Discard(),
		Document: confstore.New(confstore.Config{Self: "n1"}, &memoryStore{}, telemetry.Discard(), nil)})
	server := httptest.NewUnstartedServer(api.Handler())
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	server.StartTLS()
	defer server.Close()
	file := filepath.Join(t.TempDir(), "ca.pem")
	block := &pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw}
	require.NoError(t, os.WriteFile(file, pem.EncodeToMemory(block), 0o600))
	for caFile, trusted := range map[string]bool{"": false, file: true} {
		client, err := NewClient(config.ControlSettings{AdminURLs: []string{server.URL}, Token: "secret", CAFile: caFile})
		require.NoError(t, err)
		_, err = client.Revision(t.Context(), server.URL)
		require.Equal(t, trusted, err == nil, "%v", err)
	}
}
