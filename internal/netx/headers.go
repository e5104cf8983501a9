package netx

import (
	"net/http"
	"strings"
)

// hopByHop lists the headers that apply to a single connection and must not be
// forwarded (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEndHeaders returns a copy of h without hop-by-hop headers, including
// those that h lists under Connection.
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
