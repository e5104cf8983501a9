package netx

import (
	"bufio"
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// names returns n different short names, separated by separator.
func names(n int, separator string) string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("%c%c%c", 'a'+i%26, 'a'+i/26%26, 'a'+i/676)
	}
	return strings.Join(list, separator)
}

// What a head costs in the budget is at least what the request keeps that is parsed from it.
func TestHeadCostCoversParsedRequests(t *testing.T) {
	const heads = 50
	for name, fields := range map[string]string{
		"few fields":             "A: b\r\nC: d\r\n",
		"one long field":         "A: " + strings.Repeat("x", 15_000) + "\r\n",
		"very many short fields": names(2200, ":\r\n") + ":\r\n",
		"very many trailers":     "Transfer-Encoding: chunked\r\nTrailer: " + names(3900, ",") + "\r\n",
		"trailers on many lines": "Transfer-Encoding: chunked\r\nTrailer: " + names(1900, "\r\nTrailer: ") + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			head := "POST / HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n"
			requests := make([]*http.Request, heads)
			before := liveBytes()
			for i := range requests {
				r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(head)))
				require.NoError(t, err)
				requests[i] = r
			}
			kept := (liveBytes() - before) / heads
			cost := connectionBytes + headCost([]byte(head))
			t.Logf("%d bytes kept, cost %d", kept, cost)
			require.LessOrEqual(t, kept, cost)
			runtime.KeepAlive(requests)
		})
	}
}

// liveBytes returns the size of the objects on the heap that are in use.
func liveBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
