package rawserver

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Framing says how the end of a response's body is told.
type Framing string

// The framings of a response.
const (
	WithLength Framing = "with a length"
	InChunks   Framing = "in chunks"
	Unframed   Framing = "unframed" // the body ends with the connection
)

// Framings are all framings.
var Framings = []Framing{WithLength, InChunks, Unframed}

// Frame returns the head and the body of a response on the wire. head has no last empty line.
func (f Framing) Frame(head, body string) (wireHead, wireBody string) {
	head = strings.TrimSuffix(head, "\r\n") + "\r\n"
	switch f {
	case WithLength:
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, len(body)), body
	case InChunks:
		return head + "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}
	return head + "\r\n", body
}

// Cut says how a response breaks off inside its head.
type Cut struct {
	// Length is the number of bytes that are sent.
	Length int
	// IsReset is set if the connection is reset then, and not closed.
	IsReset bool
}

// CutsOf returns all ways in which a response with this head breaks off inside it.
func CutsOf(wireHead string) []Cut {
	cuts := make([]Cut, 0, 2*len(wireHead))
	for length := range len(wireHead) {
		cuts = append(cuts, Cut{length, false}, Cut{length, true})
	}
	return cuts
}

// SendCut sends the part of a response before the cut, and ends the connection.
func (c *Conn) SendCut(response string, cut Cut) {
	c.Send(response[:cut.Length])
	if cut.IsReset {
		time.Sleep(200 * time.Microsecond) // until the part has arrived, which a reset may discard
		c.Reset()
		return
	}
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, c)
	_ = c.Close()
}

// ReadWholeRequest reads a request with its body.
func (c *Conn) ReadWholeRequest() (*http.Request, error) {
	r, err := c.ReadRequest()
	if err == nil {
		_, err = io.Copy(io.Discard, r.Body)
	}
	return r, err
}
