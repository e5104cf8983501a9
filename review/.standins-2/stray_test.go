//go:build review

package platform

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// strayServer is a server that keeps its connections. A faulty one sends bytes after a
// complete answer, at the point where the next answer is expected.
type strayServer struct {
	site *reviewSite
	id   string

	mu       sync.Mutex
	isFaulty bool
	strays   int
	runs     map[string]int
}

// strayEvery is the number of runs of a faulty server of which one follows upon stray bytes.
const strayEvery = 34

// strayBytes belong to no request: they name none.
const strayBytes = "HTTP/1.1 503 Service Unavailable\r\n" + headerNotRun + ": 1\r\nContent-Length: 0\r\n\r\n"

func (e *strayServer) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go e.serveConn(c)
	}
}

func (e *strayServer) serveConn(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for served := 0; ; served++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		attempt := r.Header.Get(headerAttemptID)
		if r.Header.Get(headerExpectedServer) != e.id {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", headerAttemptID, attempt)
			continue
		}
		e.mu.Lock()
		e.runs[attempt]++
		total := 0
		for _, n := range e.runs {
			total += n
		}
		isStray := e.isFaulty && served > 0 && total%strayEvery == 0
		if isStray {
			e.strays++
		}
		e.mu.Unlock()
		e.site.note("server %s runs %s, after stray bytes: %v", e.id, attempt, isStray)
		if isStray {
			_, _ = io.WriteString(c, strayBytes)
		}
		time.Sleep(30 * time.Millisecond)
		answer := answerTo(attempt)
		_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", headerAttemptID, attempt, headerSignature, signatureOf(attempt), len(answer), answer)
		if err != nil {
			return
		}
	}
}

// TestReviewStray plays servers of which some send bytes after a complete answer. A request
// that must not be repeated runs at one server at most, and one that is answered 503 at none.
func TestReviewStray(t *testing.T) {
	s := newReviewSite(t, "127.87.1")
	var servers []*strayServer
	for i := range 3 {
		e := &strayServer{site: s, id: fmt.Sprint("e", i+1), runs: map[string]int{}, isFaulty: hasTrouble() && i == 0}
		l := s.listen(fmt.Sprint("127.87.1.", 50+i))
		t.Cleanup(func() { _ = l.Close() })
		go e.serve(l)
		s.register(e.id, reviewService, "z1", l.Addr().String(), 6)
		servers = append(servers, e)
	}
	s.writeConfig([]map[string]any{{"name": reviewService, "health_check_path": "/health", "max_connections": 96}},
		route("once", "/once/", kindNonIdempotent, 2))
	relay := s.startReady("front-z1-1", "z1", "127.87.1.11", true)

	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
	statuses := map[string]string{}
	var mu sync.Mutex
	var clients sync.WaitGroup
	for n := range 4 {
		clients.Go(func() {
			for i := range 200 {
				attempt := fmt.Sprintf("c%d-%03d", n, i)
				r, _ := http.NewRequest(http.MethodPost, "http://"+s.address(relay, "callers")+"/once/x", strings.NewReader("order "+attempt))
				r.Host = reviewHost
				r.Header.Set(headerAttemptID, attempt)
				r.Header.Set(headerAPIKey, reviewKey)
				r.Header.Set(headerDeadline, "4000")
				status := "no answer"
				if resp, err := client.Do(r); err == nil {
					_, _ = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
					status = fmt.Sprint(resp.StatusCode)
				}
				mu.Lock()
				statuses[attempt] = status
				mu.Unlock()
				s.note("client sent %s, answered %s", attempt, status)
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	time.Sleep(time.Second)
	runs, strays := map[string]int{}, 0
	for _, e := range servers {
		e.mu.Lock()
		strays += e.strays
		for attempt, n := range e.runs {
			runs[attempt] += n
		}
		e.mu.Unlock()
	}
	twice, refused, served := 0, 0, 0
	for attempt, status := range statuses {
		if runs[attempt] > 1 {
			twice++
		}
		if status == "503" && runs[attempt] > 0 {
			refused++
		}
		if status == "200" {
			served++
		}
	}
	s.result(twice+refused > 0, "%d requests, %d served, stray bytes %d times; run more than once: %d; answered 503 and run: %d", len(statuses), served, strays, twice, refused)
}
