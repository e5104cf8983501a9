package entry_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/config"
	"buckthornpick/internal/netx"
	"buckthornpick/internal/standin/engine"
	"buckthornpick/internal/standin/memnet"
	"buckthornpick/internal/standin/site"
)

const (
	testKey   = "sk-test"
	testModel = "audit-1"
)

// testSite is a site of three zones on an in-memory network.
type testSite struct {
	*site.Site
	t       *testing.T
	network *memnet.Network
	client  *http.Client
}

func testDocument() *config.Document {
	return &config.Document{
		Organisations: []config.Organisation{{Name: "delta", KeyHashes: []string{site.KeyHash(testKey)}}},
		Services: []config.Service{
			{Name: "audit", Kind: config.ModelService, Models: []string{testModel}},
			{Name: "report", Kind: config.PlainService,
				NonRepeatable: []config.CallMatch{{Method: "POST", PathPrefix: "/exports"}}},
		},
		Rules: []config.Rule{
			{Name: "audit", When: config.When{Services: []string{"audit"}}, Then: config.Then{Service: "audit"}},
			{Name: "report", When: config.When{Services: []string{"report"}}, Then: config.Then{Service: "report"}},
		},
	}
}

func testOptions(n *memnet.Network) site.Options {
	zones := []string{"a", "b", "c"}
	return site.Options{
		Seed: 1, Fabric: site.Memory(n), Entries: []string{"a", "a", "b", "b", "c", "c"},
		Servers: []site.ServerSpec{
			{Service: "audit", Kind: config.ModelService, Zones: zones, Class: "g1", PricePerHour: 1,
				Engine: engine.Settings{Models: []string{testModel}}},
			{Service: "report", Kind: config.PlainService, Zones: zones, Class: "c1", PricePerHour: 0.2},
		},
	}
}

// withSite runs f on a started site in virtual time.
func withSite(t *testing.T, change func(*site.Options), f func(s *testSite)) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New(1)
		n.SetLatency(time.Millisecond, time.Millisecond/4)
		o := testOptions(n)
		if change != nil {
			change(&o)
		}
		s, err := site.Start(o)
		require.NoError(t, err)
		client := netx.HTTPClient(n.Host("caller", "a"), netx.HTTPOptions{})
		defer client.CloseIdleConnections()
		defer s.Close()
		ts := &testSite{Site: s, t: t, network: n, client: client}
		ts.configure()
		f(ts)
		client.CloseIdleConnections()
	})
}

// configure waits until every entry is a member, proposes the test document and waits
// until every entry is ready.
func (s *testSite) configure() {
	s.eventually("all entries are members", func() bool {
		for _, e := range s.Entries() {
			if len(e.Node.Members().Table().Members) != len(s.Entries()) {
				return false
			}
		}
		return true
	})
	_, err := s.Propose(s.t.Context(), s.Entries()[0], testDocument(), 0, "first")
	require.NoError(s.t, err)
	s.eventually("all entries are ready", func() bool {
		for _, e := range s.Entries() {
			if e.Node.Ready() != nil || len(e.Node.Inventory().View().VMs) == 0 {
				return false
			}
		}
		return true
	})
}

// eventually polls ok until it returns true, for at most a minute.
func (s *testSite) eventually(what string, ok func() bool) {
	s.t.Helper()
	for range 600 {
		if ok() {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	s.t.Fatalf("condition not met within a minute: %s", what)
}

type reply struct {
	status  int
	header  http.Header
	trailer http.Header
	body    []byte
}

// tail returns the end of the body, for failure messages.
func (r reply) tail() string {
	const length = 400
	return string(r.body[max(0, len(r.body)-length):])
}

func (r reply) outcome() string {
	if o := r.trailer.Get("Buckthornpick-Outcome"); o != "" {
		return o
	}
	return r.header.Get("Buckthornpick-Outcome")
}

// send sends one call to an entry and reads the whole answer.
func (s *testSite) send(e *site.Entry, method, path string, header map[string]string, body []byte) (reply, error) {
	req, err := http.NewRequestWithContext(context.Background(), method, e.URL+path, bytes.NewReader(body))
	require.NoError(s.t, err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, trailer: resp.Trailer, body: data}, err
}

func chatBody(content string, maxTokens int, stream bool) []byte {
	return fmt.Appendf(nil, `{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
		testModel, stream, maxTokens, content)
}

// answerText returns the text of an unstreamed chat answer.
func answerText(t *testing.T, body []byte) string {
	t.Helper()
	var a struct {
		Choices []struct {
			Message struct{ Content string }
		}
	}
	require.NoError(t, json.Unmarshal(body, &a), "%s", body)
	require.Len(t, a.Choices, 1)
	return a.Choices[0].Message.Content
}

// streamText returns the concatenated text of a streamed chat answer's events.
func streamText(t *testing.T, body []byte) string {
	t.Helper()
	var text bytes.Buffer
	for line := range bytes.Lines(body) {
		data, ok := bytes.CutPrefix(bytes.TrimSpace(line), []byte("data: {"))
		if !ok {
			continue
		}
		var chunk struct {
			Choices []struct {
				Delta struct{ Content string }
			}
		}
		require.NoError(t, json.Unmarshal(append([]byte("{"), data...), &chunk))
		for _, c := range chunk.Choices {
			text.WriteString(c.Delta.Content)
		}
	}
	return text.String()
}

// clientIn returns the HTTP client of a caller inside a zone.
func (s *testSite) clientIn(zone string) *http.Client {
	return netx.HTTPClient(s.network.Host("caller-"+zone, zone), netx.HTTPOptions{})
}

// readEvents reads n events of a streamed answer and closes the connection.
func (s *testSite) readEvents(e *site.Entry, body []byte, n int) (id, events string) {
	ctx, hangUp := context.WithCancel(context.Background())
	defer hangUp()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.URL+"/v1/chat/completions", bytes.NewReader(body))
	require.NoError(s.t, err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	resp, err := s.client.Do(req)
	require.NoError(s.t, err)
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewReader(resp.Body)
	var text strings.Builder
	for range 3 * n { // an event is two lines and an empty line
		line, err := lines.ReadString('\n')
		require.NoError(s.t, err)
		text.WriteString(line)
	}
	return resp.Header.Get("Buckthornpick-Request-Id"), text.String()
}
