package netx

import (
	"net/http"
	"strings"
)

// hopByHop are the headers of one connection (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd returns a copy of h without hop-by-hop headers.
func EndToEndHeaders(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = http.Header{}
	}
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}
