package netx

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// What a request takes was reserved when its head was read, in pieces of any size. Otherwise the
// connection of a sound caller would be closed for want of room that it has had.
func FuzzHeadIsReservedAsItIsRead(f *testing.F) {
	f.Add([]byte("POST /a HTTP/1.1\r\nHost: h\r\nA: b, c\r\nContent-Length: 3\r\n\r\nx,y"), 7)
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTrailer: a,b\r\nTrailer: c\r\n\r\n0\r\n\r\n"), 1)
	f.Add([]byte("GET / HTTP/1.1\nHost: h\nA: 1\n B\n\nGET / HTTP/1.1\n"), 3)
	f.Add([]byte("GET / HTTP/1.1\r\nHost: h\r\nConnection: a,b,,,c\r\nA:\r\nA:\r\n\r\n"), 1000)
	f.Fuzz(func(t *testing.T, text []byte, piece int) {
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(text)))
		if err != nil || piece <= 0 {
			return
		}
		reserved := int64(0)
		for at := 0; at < len(text); at += piece {
			reserved += headCost(text[at:min(at+piece, len(text))])
		}
		require.LessOrEqual(t, requestCost(r), reserved)
	})
}
