package weights

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func get(s *Server, path string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest("GET", path, nil))
	return w
}

func TestDownloadsShareTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Settings{Sizes: map[string]int64{"m/1": 1 << 20}, BytesPerSecond: 1 << 20, MaxDownloads: 2})
		startedAt := time.Now()
		var wg sync.WaitGroup
		for range 2 {
			wg.Go(func() { get(s, "/v1/weights/m/1") })
		}
		synctest.Wait()
		refused := get(s, "/v1/weights/m/1")
		require.Equal(t, http.StatusTooManyRequests, refused.Code)
		require.Equal(t, "5", refused.Header().Get("Retry-After"))
		require.Equal(t, http.StatusNotFound, get(s, "/v1/weights/m/2").Code)
		wg.Wait()
		// The limiter's burst of one chunk is free.
		require.InDelta(t, 2-1.0/16, time.Since(startedAt).Seconds(), 0.001)
		for _, d := range s.Downloads() {
			require.EqualValues(t, 1<<20, d.Bytes)
		}
		require.Equal(t, 1, s.Refused())
	})
}
