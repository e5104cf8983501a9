package rawserver

import "strings"

// Heads of responses, without their last empty line, that are not valid HTTP/1.1. Those with a
// length state one of four bytes.
var (
	InvalidStatuses = []string{
		"HTTP/1.1 000 OK", "HTTP/1.1 000 OK\r\nContent-Length: 4", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 -01 OK",
		"HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1 OK", "HTTP/1.1", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "ICY 200 OK", "http/1.1 200 OK",
		" HTTP/1.1 200 OK", "\x00\xff", "{}", "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x",
	}
	InvalidFields = []string{
		"HTTP/1.1 200 OK\r\nX Bad: 1\r\nContent-Length: 4", "HTTP/1.1 200 OK\r\nX-Bad : 1\r\nContent-Length: 4", "HTTP/1.1 200 OK\r\nX-Bad\t: 1\r\nContent-Length: 4",
		"HTTP/1.1 200 OK\r\nContent-Length : 4", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked",
		"HTTP/1.1 200 OK\r\n X-Bad: 1\r\nContent-Length: 4", "HTTP/1.1 200 OK\r\nX: 1\r\n Content-Length: 4", "HTTP/1.1 200 OK\r\nX: 1\r\n\tfolded\r\nContent-Length: 4",
		"HTTP/1.1 200 OK\r\nX: 1\r\n \r\nContent-Length: 4", "HTTP/1.1 200 OK\r\nX\x01Bad: 1\r\nContent-Length: 4", "HTTP/1.1 200 OK\r\nX\x00: 1\r\nContent-Length: 4",
		"HTTP/1.1 200 OK\r\nX\x7f: 1\r\nContent-Length: 4", "HTTP/1.1 200 OK\r\nX\rY: 1\r\nContent-Length: 4", "HTTP/1.1 200 OK\r\nX(Y): 1\r\nContent-Length: 4",
		"HTTP/1.1 200 OK\r\nX\xe4: 1\r\nContent-Length: 4", "HTTP/1.1 200 OK\r\n: 1\r\nContent-Length: 4", "HTTP/1.1 200 OK\r\nno colon\r\nContent-Length: 4",
		"HTTP/1.1 200 OK\r\nX: a\x01b\r\nContent-Length: 4", "HTTP/1.1 100 Continue\r\nX Bad: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4",
	}
	InvalidLengths = []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5", "HTTP/1.1 200 OK\r\nContent-Length: +4", "HTTP/1.1 200 OK\r\nContent-Length: -4",
		"HTTP/1.1 200 OK\r\nContent-Length: 4x", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked",
	}
)

// UnusualHeads are heads of valid responses with a body of four bytes, which ends with the
// connection where there is no length.
var UnusualHeads = []string{
	"HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.0 200 OK", "HTTP/1.2 200 OK", "HTTP/1.1 200 OK\nContent-Length: 4\n", "HTTP/1.1 200 OK\r\ncontent-length:4\r\nx-empty:\r\nX-Tab:\ta\tb",
	"HTTP/1.1 200 Not the usual phrase: \xe4\r\nX!#$%&'*+-.^_`|~09: 1\r\nX: \xe4\xff",
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK",
	"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("long ", 5000) + "\r\nContent-Length: 4",
}
