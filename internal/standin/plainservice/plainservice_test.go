package plainservice

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func post(t *testing.T, url, body, id string) (*http.Response, []byte, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), "POST", url+"/exports?x=1", strings.NewReader(body))
	require.NoError(t, err)
	req.Header.Set("X-Request-Id", id)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp, data, err
}

func TestAnswersVerifyAndRunsAreCounted(t *testing.T) {
	s := New(Settings{ServiceTime: time.Millisecond})
	srv := httptest.NewServer(s)
	defer srv.Close()
	_, first, err := post(t, srv.URL, "b", "r1")
	require.NoError(t, err)
	_, second, err := post(t, srv.URL, "b", "r1")
	require.NoError(t, err)
	for _, data := range [][]byte{first, second} {
		require.NoError(t, VerifyAnswer("POST", "/exports?x=1", []byte("b"), data))
	}
	require.NotEqual(t, first, second)
	require.Error(t, VerifyAnswer("POST", "/exports?x=1", []byte("c"), first), "other body")
	require.Error(t, VerifyAnswer("POST", "/exports?x=1", []byte("b"), first[:len(first)/2]), "truncated")
	require.Equal(t, map[string]int{"r1": 2}, s.Exports())
}

func TestFaults(t *testing.T) {
	for name, tc := range map[string]struct {
		faults Faults
		runs   int
		status int // 0: the connection breaks
	}{
		"refuse":      {Faults{Refuse: true}, 0, http.StatusServiceUnavailable},
		"truncate":    {Faults{Truncate: true}, 1, 0},
		"lose answer": {Faults{LoseAnswer: true}, 1, 0},
		"crash":       {Faults{CrashMarker: "poison"}, 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := New(Settings{ServiceTime: time.Millisecond})
			srv := httptest.NewServer(s)
			defer srv.Close()
			s.SetFaults(tc.faults)
			resp, _, err := post(t, srv.URL, "a poison pill", "r")
			require.Len(t, s.Runs(), tc.runs)
			if tc.status == 0 {
				require.Error(t, err)
			} else {
				require.Equal(t, tc.status, resp.StatusCode)
			}
			require.Equal(t, tc.faults.CrashMarker != "", s.Crashed())
			s.SetFaults(Faults{})
			s.Restart()
			_, data, err := post(t, srv.URL, "x", "r2")
			require.NoError(t, err)
			require.NoError(t, VerifyAnswer("POST", "/exports?x=1", []byte("x"), data))
		})
	}
}
