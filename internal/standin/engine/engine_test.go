package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// pipeListener accepts net.Pipe connections, which work in a synctest bubble.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error   { l.once.Do(func() { close(l.done) }); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// runWithEngine runs test in a synctest bubble with a running engine and an HTTP
// client connected to it.
func runWithEngine(t *testing.T, settings Settings, test func(t *testing.T, s *Server, c *http.Client)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := New(settings)
		l := &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
		srv := &http.Server{Handler: s}
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { _ = srv.Serve(l) })
		wg.Go(func() { _ = s.Run(ctx) })
		transport := &http.Transport{DialContext: l.dial}
		test(t, s, &http.Client{Transport: transport})
		transport.CloseIdleConnections()
		_ = srv.Close()
		cancel()
		wg.Wait()
	})
}

func chatBody(prompt string, max int, extra string) string {
	return `{"model":"m","stream":true,"stream_options":{"include_usage":true},"max_tokens":` +
		strconv.Itoa(max) + `,"messages":[{"role":"user","content":"` + prompt + `"}]` + extra + `}`
}

func call(t *testing.T, c *http.Client, method, path, body string, header ...string) *http.Response {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, "http://engine"+path, strings.NewReader(body))
	require.NoError(t, err)
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := c.Do(req)
	require.NoError(t, err)
	return resp
}

// answer is a streamed answer that was read to its end.
type answer struct {
	text   string
	ids    []int
	done   bool
	cached int
	err    error
}

func read(r io.Reader) answer {
	var a answer
	sc := bufio.NewScanner(r)
	for sc.Scan() {
		line := sc.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			n, _ := strconv.Atoi(id)
			a.ids = append(a.ids, n)
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			a.done = true
			continue
		}
		var c chunk
		if a.err = json.Unmarshal([]byte(data), &c); a.err != nil {
			return a
		}
		for _, ch := range c.Choices {
			a.text += ch.Delta.Content
		}
		if c.Usage != nil {
			a.cached = c.Usage.Details.CachedTokens
		}
	}
	a.err = sc.Err()
	return a
}

const chatPath = "/v1/chat/completions"

func stream(t *testing.T, c *http.Client, body string, header ...string) answer {
	t.Helper()
	resp := call(t, c, "POST", chatPath, body, header...)
	defer resp.Body.Close()
	require.Equal(t, http.StatusOK, resp.StatusCode)
	return read(resp.Body)
}

func words(n int) string {
	return strings.TrimSpace(strings.Repeat("word ", n))
}

func TestVerifyTextAcceptsOneExecutionOnly(t *testing.T) {
	runWithEngine(t, Settings{}, func(t *testing.T, s *Server, c *http.Client) {
		body := chatBody("hello", 20, `,"temperature":1`)
		a := stream(t, c, body)
		prompt := PromptOf([]byte(body))
		require.True(t, a.done)
		require.NoError(t, VerifyText(prompt, a.text, 20))
		require.Len(t, a.ids, 22)
		require.Error(t, VerifyText(prompt, a.text, 21), "length")
		b := stream(t, c, body)
		require.NotEqual(t, a.text, b.text, "salted executions differ")
		require.Error(t, VerifyText(prompt, a.text[:len(a.text)/2]+b.text[len(b.text)/2:], 0), "mix")
		require.Len(t, s.Executions(), 2)
	})
}

func TestAttemptOutlivesItsConnection(t *testing.T) {
	runWithEngine(t, Settings{}, func(t *testing.T, s *Server, c *http.Client) {
		body := chatBody("hello", 50, "")
		resp := call(t, c, "POST", chatPath, body, "X-Attempt-Id", "a.1")
		require.NoError(t, resp.Body.Close())
		again := call(t, c, "POST", chatPath, body, "X-Attempt-Id", "a.1")
		require.Equal(t, http.StatusConflict, again.StatusCode)
		require.NoError(t, again.Body.Close())

		resumed := call(t, c, "GET", "/v1/streams/a.1", "", "Last-Event-ID", "10")
		a := read(resumed.Body)
		require.NoError(t, resumed.Body.Close())
		require.True(t, a.done)
		require.Equal(t, 11, a.ids[0])
		require.Equal(t, 52, a.ids[len(a.ids)-1])
		require.Len(t, s.Executions(), 1)

		time.Sleep(2 * time.Minute)
		expired := call(t, c, "GET", "/v1/streams/a.1", "")
		require.Equal(t, http.StatusNotFound, expired.StatusCode)
		require.NoError(t, expired.Body.Close())
	})
}

func TestContinuationUsesImportedCache(t *testing.T) {
	runWithEngine(t, Settings{}, func(t *testing.T, s *Server, c *http.Client) {
		body := chatBody(words(64), 30, "")
		first := stream(t, c, body, "X-Attempt-Id", "a.1")
		head := strings.Join(strings.Split(first.text, " ")[:10], " ")
		cont := `,"continuation":{"tokens":10,"after":10,"text":"` + head + `"}`
		blob := call(t, c, "GET", "/v1/kv/a.1", "")
		data, err := io.ReadAll(blob.Body)
		require.NoError(t, err)
		require.NoError(t, blob.Body.Close())

		s.Crash()
		s.Restart()
		cold := stream(t, c, chatBody(words(64), 30, cont))
		require.Zero(t, cold.cached)
		require.Equal(t, 11, cold.ids[0])
		require.NoError(t, VerifyText(PromptOf([]byte(body)), head+cold.text, 30))

		s.Crash()
		s.Restart()
		require.NoError(t, call(t, c, "POST", "/v1/kv", string(data)).Body.Close())
		warm := stream(t, c, chatBody(words(64), 30, cont))
		require.GreaterOrEqual(t, warm.cached, 64)
		require.Equal(t, cold.text, warm.text)
	})
}

func TestCacheIsBoundedAndEvictsLeastRecentlyUsed(t *testing.T) {
	runWithEngine(t, Settings{KVTokens: 400, CacheEventGapEvery: 3}, func(t *testing.T, s *Server, c *http.Client) {
		prompts := []string{words(96), "x " + words(96), "y " + words(96), "z " + words(96)}
		for _, p := range prompts {
			stream(t, c, chatBody(p, 16, ""))
		}
		require.LessOrEqual(t, s.Load().CacheUsed, 1.0)
		time.Sleep(time.Second)
		resp := call(t, c, "GET", "/v1/cache/events?after=0", "")
		var list cacheEventList
		require.NoError(t, json.NewDecoder(resp.Body).Decode(&list))
		require.NoError(t, resp.Body.Close())
		evicted := 0
		for _, e := range list.Events {
			require.NotZero(t, e.Sequence%3, "every third event is lost")
			if e.Type == BlockEvicted {
				evicted++
			}
		}
		require.Positive(t, evicted)
		require.Zero(t, stream(t, c, chatBody(prompts[0], 16, "")).cached, "the oldest prompt is evicted")
	})
}

func TestPriorityOrdersTheQueue(t *testing.T) {
	runWithEngine(t, Settings{MaxBatch: 1}, func(t *testing.T, s *Server, c *http.Client) {
		var wg sync.WaitGroup
		for _, p := range []string{"normal", "low", "normal", "high"} {
			wg.Go(func() { stream(t, c, chatBody(p, 20, ""), "X-Priority", p, "X-Request-Id", p) })
			synctest.Wait()
		}
		wg.Wait()
		var order []string
		for _, e := range s.Executions() {
			order = append(order, e.Request)
		}
		require.Equal(t, []string{"normal", "high", "normal", "low"}, order)
	})
}

func TestFaults(t *testing.T) {
	body := chatBody("poison pill", 20, "")
	cases := map[string]struct {
		faults Faults
		check  func(t *testing.T, s *Server, resp *http.Response, err error)
	}{
		"crash": {Faults{CrashMarker: "poison"}, func(t *testing.T, s *Server, resp *http.Response, err error) {
			if err == nil { // the response header may be sent before the crash
				require.Error(t, read(resp.Body).err)
			}
			require.True(t, s.Crashed())
			require.True(t, s.Executions()[0].Crashed)
		}},
		"refuse": {Faults{Refuse: true}, func(t *testing.T, s *Server, resp *http.Response, err error) {
			require.NoError(t, err)
			require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
			require.Equal(t, "true", resp.Header.Get("X-Not-Run"))
			require.Empty(t, s.Executions())
		}},
		"truncate": {Faults{TruncateAfter: 5}, func(t *testing.T, s *Server, resp *http.Response, err error) {
			require.NoError(t, err)
			a := read(resp.Body)
			require.Len(t, a.ids, 5)
			require.False(t, a.done)
		}},
		"lose answer": {Faults{LoseAnswer: true}, func(t *testing.T, s *Server, resp *http.Response, err error) {
			require.Error(t, err)
			require.Len(t, s.Executions(), 1)
		}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			runWithEngine(t, Settings{}, func(t *testing.T, s *Server, c *http.Client) {
				s.SetFaults(tc.faults)
				resp, err := c.Post("http://engine"+chatPath, "application/json", strings.NewReader(body))
				tc.check(t, s, resp, err)
				if err == nil {
					_ = resp.Body.Close()
				}
			})
		})
	}
}

func TestOrdersAndFencing(t *testing.T) {
	for _, checks := range []bool{true, false} {
		runWithEngine(t, Settings{ChecksFencing: checks}, func(t *testing.T, s *Server, c *http.Client) {
			order := func(number, model string) int {
				resp := call(t, c, "POST", "/v1/orders", `{"fencingNumber":`+number+`,"action":"load_model","model":"`+model+`"}`)
				require.NoError(t, resp.Body.Close())
				return resp.StatusCode
			}
			require.Equal(t, http.StatusNoContent, order("5", "new"))
			want := http.StatusNoContent
			if checks {
				want = http.StatusConflict
			}
			require.Equal(t, want, order("4", "old"))
			require.Equal(t, !checks, s.serves("old"))
			require.True(t, s.serves("new"))
		})
	}
}

func TestCancelFreesTheBatch(t *testing.T) {
	runWithEngine(t, Settings{MaxBatch: 1}, func(t *testing.T, s *Server, c *http.Client) {
		first := call(t, c, "POST", chatPath, chatBody("long", 10000, ""), "X-Attempt-Id", "a.1")
		defer first.Body.Close()
		waiting := call(t, c, "POST", chatPath, chatBody("short", 20, ""), "X-Attempt-Id", "a.2")
		defer waiting.Body.Close()
		time.Sleep(time.Second)
		for range 2 { // cancelling is idempotent
			require.NoError(t, call(t, c, "DELETE", "/v1/streams/a.1", "").Body.Close())
		}
		require.False(t, read(first.Body).done)
		require.True(t, read(waiting.Body).done)
	})
}

func TestLoadReportLags(t *testing.T) {
	runWithEngine(t, Settings{MaxBatch: 1, MaxWaiting: 1, LoadLag: time.Second}, func(t *testing.T, s *Server, c *http.Client) {
		idle := s.Load()
		require.Zero(t, idle.Running)
		var bodies []io.Closer
		for range 2 {
			bodies = append(bodies, call(t, c, "POST", chatPath, chatBody("x", 1000, "")).Body)
			synctest.Wait()
		}
		refused := call(t, c, "POST", chatPath, chatBody("x", 1000, ""))
		require.Equal(t, http.StatusServiceUnavailable, refused.StatusCode, "the queue is full")
		require.Contains(t, refused.Header.Get(LoadHeader), `JSON {"running":0`, "the report lags")
		bodies = append(bodies, refused.Body)
		time.Sleep(2 * time.Second)
		busy := s.Load()
		require.Equal(t, 1, busy.Running)
		require.Equal(t, 1, busy.Waiting)
		require.InDelta(t, 100/(1+1.0/64), busy.TokensPerSecond, 1)
		for _, b := range bodies {
			require.NoError(t, b.Close())
		}
	})
}
