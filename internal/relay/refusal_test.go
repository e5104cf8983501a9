package relay

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/config"
	"buckthornpick/internal/quota"
)

// Callers wait for a third of their time at most, so they must not be told more, nor all the
// same.
func TestCallersBeyondAQuotaAreToldDifferentTimes(t *testing.T) {
	now := time.Hour
	quotas := NewQuotas(8*time.Second, func() time.Duration { return now })
	now += 9 * time.Second
	org := &config.Organisation{Name: "o", Quota: &config.Quota{PerSecond: 1000, Burst: 1000}}
	site := quota.Site{Entries: 1, Reachable: 1}
	told := map[string]bool{}
	for n := 0; len(told) < 5; n++ {
		require.Less(t, n, 100)
		d := quotas.Spend(org, site, 100)
		if d.Allowed {
			continue
		}
		refused := &refusal{status: http.StatusTooManyRequests, reason: reasonQuota, isPlanned: true}
		refused.retryAfter = quotas.PlanReturn(org, site, d, 100, 2*time.Second)
		w := httptest.NewRecorder()
		refused.write(w)
		text := w.Header().Get("Retry-After")
		seconds, err := strconv.ParseFloat(text, 64)
		require.NoError(t, err)
		require.LessOrEqual(t, seconds, 2.0)
		require.Positive(t, seconds)
		require.NotContains(t, told, text)
		told[text] = true
	}
}
