//go:build review

package platform

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"
)

// readStream sends an attempt and returns what came of its stream until the end or a break.
func readStream(r *caseRelay, attempt string) (stream string, status int) {
	ctx, cancel := context.WithTimeout(context.Background(), 14*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.callers+"/tail/", strings.NewReader("body of "+attempt))
	if err != nil {
		return "", 0
	}
	req.Host = siteHost
	req.Header.Set(headerAttemptID, attempt)
	req.Header.Set(headerAPIKey, siteKey)
	req.Header.Set(headerDeadline, "13000")
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return "", 0
	}
	defer func() { _ = resp.Body.Close() }()
	body, _ := io.ReadAll(resp.Body)
	return string(body), resp.StatusCode
}

// joinOf returns the last event of the first version and the first one of the other.
func joinOf(stream string) string {
	list := strings.Split(strings.TrimSpace(stream), "\n\n")
	for i := 1; i < len(list); i++ {
		if list[i][len(list[i])-2:] != list[i-1][len(list[i-1])-2:] {
			return strings.ReplaceAll(list[i-1]+" / "+list[i], "\n", " ")
		}
	}
	return ""
}
