package entry_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/membudget"
	"buckthornpick/internal/standin/site"
)

// hostileHead returns the head of a request to a path without its last empty line.
func hostileHead(path, fields string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: e\r\nAuthorization: Bearer " + testKey + "\r\n" + fields
}

// slowlyUntil writes text in pieces at 3 KB a second until the time or an error.
func slowlyUntil(conn net.Conn, text string, end time.Time) {
	const piece = 300
	for at := 0; at < len(text) && time.Now().Before(end); at += piece {
		if _, err := io.WriteString(conn, text[at:min(at+piece, len(text))]); err != nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// Callers that keep to no limits take no more of an entry's memory than its budget, keep no
// ordinary callers out, and leave nothing behind.
func TestHostileCallersOfAnEntry(t *testing.T) {
	const (
		memory  = 64 << 20
		places  = 200
		crowd   = 300
		stay    = 5 * time.Second
		largest = 4 << 20
	)
	names := strings.TrimSuffix(strings.Repeat("abc,", 3900), ",")
	for name, play := range map[string]func(conn net.Conn, path string, end time.Time){
		"bodies that stop short": func(conn net.Conn, path string, _ time.Time) {
			_, _ = io.WriteString(conn, hostileHead(path, fmt.Sprintf("Content-Length: %d\r\n\r\n", largest))+strings.Repeat("x", largest-10))
		},
		"chunks that stop short": func(conn net.Conn, path string, _ time.Time) {
			_, _ = io.WriteString(conn, hostileHead(path, "Transfer-Encoding: chunked\r\n\r\n"))
			for range 100 {
				if _, err := io.WriteString(conn, "8000\r\n"+strings.Repeat("x", 32<<10)+"\r\n"); err != nil {
					return
				}
			}
		},
		"long lists in heads": func(conn net.Conn, path string, _ time.Time) {
			_, _ = io.WriteString(conn, hostileHead(path, "Transfer-Encoding: chunked\r\nTrailer: "+names+"\r\n\r\n5\r\nabcd"))
		},
		"bodies sent steadily": func(conn net.Conn, path string, end time.Time) {
			slowlyUntil(conn, hostileHead(path, "Content-Length: 60000\r\n\r\n")+strings.Repeat("x", 60_000), end)
		},
		"silent": func(net.Conn, string, time.Time) {},
	} {
		t.Run(name, func(t *testing.T) {
			withSite(t, func(o *site.Options) { o.MemoryBytes, o.MaxCallers = memory, places }, func(s *testSite) {
				e := s.Entries()[0]
				capacity, _ := membudget.Capacity(memory)
				end := time.Now().Add(stay)
				var callers sync.WaitGroup
				for i := range crowd {
					path := []string{"/v1/chat/completions", "/services/report/x", "/none"}[i%3]
					callers.Go(func() {
						conn, err := s.network.Host("crowd", "a").Dial(s.t.Context(), strings.TrimPrefix(e.URL, "http://"))
						if err != nil {
							return
						}
						play(conn, path, end)
						time.Sleep(time.Until(end))
						_ = conn.Close()
					})
				}
				time.Sleep(100 * time.Millisecond)
				for i := 0; time.Now().Before(end); i++ {
					start := time.Now()
					s.client.CloseIdleConnections()
					r, err := s.send(e, http.MethodPost, "/v1/chat/completions", nil, chatBody(fmt.Sprint("ordinary ", i), 4, false))
					require.NoError(t, err)
					require.Equal(t, http.StatusOK, r.status, "%s", r.tail())
					require.LessOrEqual(t, time.Since(start), 3*time.Second)
					require.LessOrEqual(t, e.Memory.Used(), capacity)
				}
				callers.Wait()
				s.client.CloseIdleConnections()
				s.eventually("all memory is given back", func() bool { return e.Memory.Used() == 0 })
			})
		})
	}
}
