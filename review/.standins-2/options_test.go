//go:build review

package platform

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestReviewOptions plays clients that ask for the options of the server as a whole. Without
// the disruption they ask for those of a path of a route.
func TestReviewOptions(t *testing.T) {
	s := newReviewSite(t, "127.89.1")
	server := newFakeServer("e1", reviewService, "v1")
	s.register("e1", reviewService, "z1", s.serve("127.89.1.50", server), 6)
	s.writeConfig([]map[string]any{{"name": reviewService, "health_check_path": "/health", "max_connections": 96}}, route("safe", "/safe/", kindIdempotent, 2))
	relay := s.startReady("front-z1-1", "z1", "127.89.1.11", true)
	target := "/safe/x"
	if hasTrouble() {
		target = "*"
	}
	const requests = 20
	forged := 0
	for i := range requests {
		attempt := fmt.Sprintf("options-%d", i)
		status, signature, err := ask(s.address(relay, "callers"), head(http.MethodOptions, target, attempt, 4000))
		if err != nil {
			s.note("%s: %v", attempt, err)
			continue
		}
		isForged := status/100 == 2 && (signature != signatureOf(attempt) || server.runCount(attempt) == 0)
		if isForged {
			forged++
		}
		s.note("sent OPTIONS %s as %s, answered %d with signature %q, run %d times", target, attempt, status, signature, server.runCount(attempt))
	}
	s.result(forged > 0, "%d of %d requests were answered with a success that no server gave", forged, requests)
}

// ask sends a request on a connection of its own and returns the status and the signature of
// the answer.
func ask(address string, request []byte) (status int, signature string, err error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := c.Write(request); err != nil {
		return 0, "", err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Header.Get(headerSignature), err
}
