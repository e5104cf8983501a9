package control

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/admin"
	bpcli "buckthornpick/internal/cli"
	"buckthornpick/internal/config"
	"buckthornpick/internal/where"
)

// fakeNode responds to each path with a fixed status and body.
type fakeNode struct {
	status map[string]int
	body   map[string]any
	// lastChangeHeader is the header of the latest change.
	lastChangeHeader http.Header
	// onRevision is called with the number of requests for the revision so far.
	onRevision    func(asked int)
	revisionCalls int
}

func (n *fakeNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut {
		n.lastChangeHeader = r.Header.Clone()
	}
	if r.URL.Path == admin.PathRevision && n.onRevision != nil {
		n.revisionCalls++
		n.onRevision(n.revisionCalls)
	}
	if status := n.status[r.URL.Path]; status != 0 {
		w.WriteHeader(status)
	}
	_ = json.NewEncoder(w).Encode(n.body[r.URL.Path])
}

func start(t *testing.T, h http.Handler) string {
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return server.URL
}

func bpctl(t *testing.T, urls []string, args ...string) (code int, stdout, stderr string) {
	return bpctlWith(t.Context(), t, urls, args...)
}

func bpctlWith(ctx context.Context, t *testing.T, urls []string, args ...string) (code int, stdout, stderr string) {
	dir := t.TempDir()
	token := filepath.Join(dir, "token")
	require.NoError(t, os.WriteFile(token, []byte("secret\n"), 0o600))
	all := []string{"bpctl", "--token-file", token}
	for _, u := range urls {
		all = append(all, "--url", u)
	}
	var out, errs bytes.Buffer
	code = Run(ctx, append(all, args...), &out, &errs)
	return code, out.String(), errs.String()
}

func documentFile(t *testing.T) string {
	path := filepath.Join(t.TempDir(), "document.json")
	require.NoError(t, os.WriteFile(path, []byte(`{
  "revision": 4, // as get printed it
  "organisations": [], "services": [{"name": "report", "kind": "plain"}],
  "rules": [{"name": "all", "when": {}, "then": {"service": "report"}}],
}`), 0o600))
	return path
}

func TestApplyExitCodesAndHints(t *testing.T) {
	tests := []struct {
		name   string
		status int
		body   any
		code   int
		output string
	}{
		{"accepted", http.StatusOK, admin.ChangeAnswer{Revision: 5}, bpcli.ExitOK, "accepted: revision 5"},
		{"conflict", http.StatusConflict, admin.ErrorAnswer{Type: admin.TypeConflict, Revision: 6,
			Diff: []config.Difference{{Field: "x", Old: "1", New: "2"}}}, ExitConflict, "~ x: 1 -> 2"},
		{"unknown", http.StatusGatewayTimeout, admin.ErrorAnswer{Type: admin.TypeOutcomeUnknown},
			ExitUnknown, "run again with --revision 4 --operation-id op1"},
		{"faults", http.StatusUnprocessableEntity, admin.ErrorAnswer{Type: admin.TypeInvalid,
			Problems: config.Problems{{Field: "rules[0]", Message: "wrong"}}}, bpcli.ExitSettings, "rules[0]: wrong"},
		{"store down", http.StatusServiceUnavailable, admin.ErrorAnswer{Type: admin.TypeUnavailable, Message: "down"},
			bpcli.ExitFailure, "down"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := &fakeNode{status: map[string]int{admin.PathDocument: tt.status}, body: map[string]any{admin.PathDocument: tt.body}}
			code, stdout, stderr := bpctl(t, []string{start(t, n)}, "apply", "--operation-id", "op1", documentFile(t))
			require.Equal(t, tt.code, code, stderr)
			require.Contains(t, stdout+stderr, tt.output)
			require.Equal(t, `"4"`, n.lastChangeHeader.Get("If-Match"))
			require.Equal(t, "op1", n.lastChangeHeader.Get(admin.HeaderOperationID))
			require.Equal(t, "Bearer secret", n.lastChangeHeader.Get("Authorization"))
		})
	}
}

func TestApplyFailsOverToNextEntry(t *testing.T) {
	down := httptest.NewServer(http.NotFoundHandler())
	down.Close()
	n := &fakeNode{body: map[string]any{admin.PathDocument: admin.ChangeAnswer{Revision: 5}}}
	code, _, stderr := bpctl(t, []string{down.URL, start(t, n)}, "apply", documentFile(t))
	require.Equal(t, bpcli.ExitOK, code, stderr)

	code, _, stderr = bpctl(t, []string{down.URL}, "apply", documentFile(t))
	require.Equal(t, bpcli.ExitFailure, code, stderr)
}

func TestApplyOutcomeIsUnknownAfterLostResponse(t *testing.T) {
	broken := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	code, stdout, _ := bpctl(t, []string{start(t, broken)}, "apply", documentFile(t))
	require.Equal(t, ExitUnknown, code)
	require.Contains(t, stdout, "--operation-id")
}

func TestWaitPollsMembersUntilAllHaveRevision(t *testing.T) {
	var asked atomic.Int64
	second := start(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(admin.RevisionAnswer{Node: "n2", Zone: "b", Revision: asked.Add(1)})
	}))
	first := &fakeNode{body: map[string]any{
		admin.PathStatus:   admin.StatusAnswer{Members: []admin.Member{{ID: "n1"}, {ID: "n2", AdminURL: second}}},
		admin.PathRevision: admin.RevisionAnswer{Node: "n1", Zone: "a", Revision: 9},
	}}
	url := start(t, first)
	code, stdout, stderr := bpctl(t, []string{url}, "wait", "--revision", "2")
	require.Equal(t, bpcli.ExitOK, code, stderr)
	require.Regexp(t, `n2 +b +2`, stdout)

	first.body[admin.PathRevision] = admin.RevisionAnswer{Node: "n1", Revision: 1}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	first.onRevision = func(asked int) {
		if asked == 2 {
			cancel()
		}
	}
	code, stdout, stderr = bpctlWith(ctx, t, []string{url}, "wait", "--revision", "2")
	require.Equal(t, ExitTimeout, code)
	require.Regexp(t, `n1 +1`, stdout)
	require.Contains(t, stderr, "1 of 2 nodes")
}

func TestWaitWithoutRevisionWaitsForTheLatest(t *testing.T) {
	ahead := start(t, &fakeNode{body: map[string]any{
		admin.PathRevision: admin.RevisionAnswer{Node: "n2", Revision: 3}, admin.PathStatus: admin.StatusAnswer{}}})
	behind := start(t, &fakeNode{body: map[string]any{
		admin.PathRevision: admin.RevisionAnswer{Node: "n1", Revision: 2}, admin.PathStatus: admin.StatusAnswer{}}})
	code, _, stderr := bpctl(t, []string{ahead, behind}, "wait", "--timeout", "300ms")
	require.Equal(t, ExitTimeout, code)
	require.Contains(t, stderr, "1 of 2 nodes are not known to have revision 3")
	code, _, stderr = bpctl(t, []string{"http://127.0.0.1:1"}, "wait", "--timeout", "300ms")
	require.Equal(t, bpcli.ExitFailure, code)
	require.Contains(t, stderr, "no node has a document")
}

func TestDiffExitCodeAndJSON(t *testing.T) {
	n := &fakeNode{body: map[string]any{admin.PathDocument: config.Document{Revision: 4}}}
	url := start(t, n)
	code, stdout, _ := bpctl(t, []string{url}, "--output", "json", "diff", documentFile(t))
	require.Equal(t, ExitDiffers, code)
	var changes []config.Difference
	require.NoError(t, json.Unmarshal([]byte(stdout), &changes))
	require.NotEmpty(t, changes)
}

func TestUsageErrors(t *testing.T) {
	for _, args := range [][]string{{}, {"nope"}, {"apply"}, {"wait", "--revision", "x"}, {"wait", "--timeout", "x"}, {"drain"},
		{"--output", "xml", "get"}} {
		code, _, stderr := bpctl(t, []string{"http://127.0.0.1:1"}, args...)
		require.Equal(t, bpcli.ExitUsage, code, "%v: %s", args, stderr)
	}
	code, _, _ := bpctl(t, nil, "get")
	require.Equal(t, bpcli.ExitSettings, code)
}

func TestWherePrintsServerAndCandidates(t *testing.T) {
	n := &fakeNode{body: map[string]any{where.Path: where.Answer{
		Entry: "e1", Zone: "a", Rule: "reports", Service: "report", Server: "s1", Reason: "cost", Candidates: []where.Candidate{{Server: "s1", Total: 12}, {Server: "s2", Total: 30}},
	}}}
	url := start(t, n)
	code, stdout, stderr := bpctl(t, []string{url}, "where", "--host", "shop.example", "--path", "/reports/x", "--header", "X-Key: 1")
	require.Equal(t, bpcli.ExitOK, code, stderr)
	require.Regexp(t, `server: +s1 \(cost\)`, stdout)
	require.Regexp(t, `s2 +.*30\.0`, stdout)
	code, _, _ = bpctl(t, []string{url}, "where", "--header", "no colon")
	require.Equal(t, bpcli.ExitUsage, code)
}
