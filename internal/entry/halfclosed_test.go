package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/standin/site"
)

// A caller that closes only its sending side after the request must not get an
// answer that looks complete and is not.
func TestHalfClosedConnectionGetsNoEmptySuccess(t *testing.T) {
	var fabric site.Fabric
	keep := func(o *site.Options) { fabric = o.Fabric }
	for _, stream := range []bool{false, true} {
		t.Run(fmt.Sprint("stream=", stream), func(t *testing.T) {
			withSite(t, keep, func(s *testSite) {
				e := s.Entries()[0]
				c, err := s.network.Host("caller", "a").Dial(s.t.Context(), fabric.Address(e.ID, "http"))
				require.NoError(t, err)
				defer func() { _ = c.Close() }()
				body := chatBody("check the shop", 150, stream)
				_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: e\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", chatPath, testKey, len(body), body)
				require.NoError(t, err)
				time.Sleep(300 * time.Millisecond)
				require.NoError(t, c.(interface{ CloseWrite() error }).CloseWrite())
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err != nil {
					return // closed without an answer
				}
				answer, err := io.ReadAll(resp.Body)
				outcome := reply{header: resp.Header, trailer: resp.Trailer}.outcome()
				if resp.StatusCode != http.StatusOK || err != nil || stream && outcome == "unknown" {
					return // an error, a truncated answer, or a stream that ends with an error event
				}
				require.Equal(t, "completed", outcome, "%d bytes", len(answer))
			})
		})
	}
}
