package netx

import (
	"bytes"
	"errors"
	"fmt"
)

// maxRecordedHead limits the bytes of a head that are recorded.
const maxRecordedHead = 64 << 10

var (
	errHeadTooLarge = errors.New("head of the response exceeds the size limit")
	errNoHead       = errors.New("no response has come since the request")
	// errContradictoryLength: net/http drops the length of a chunked response, and takes the
	// chunks of an HTTP/1.0 response for its body.
	errContradictoryLength = errors.New("response has a transfer encoding beside a length, or in HTTP/1.0")
)

// HeadRecorder records the head of a response as its bytes are read from a connection, because
// net/http accepts heads that are not valid HTTP/1.1 and does not show them as they came.
type HeadRecorder struct {
	head        []byte
	isRecording bool
	err         error
}

// Start begins a head.
func (r *HeadRecorder) Start() { r.head, r.isRecording, r.err = r.head[:0], true, nil }

// Record records the next bytes that were read, and returns those after the end of the head.
func (r *HeadRecorder) Record(p []byte) (rest []byte) {
	if !r.isRecording {
		return p
	}
	searched := max(0, len(r.head)-len("\n\r"))
	r.head = append(r.head, p...)
	length := headLength(r.head, searched)
	switch {
	case length > 0:
		rest = p[len(p)-(len(r.head)-length):]
		r.head = r.head[:length]
		r.isRecording, r.err = false, checkHead(r.head)
	case len(r.head) > maxRecordedHead:
		r.isRecording, r.err = false, errHeadTooLarge
	}
	return rest
}

// Check returns an error if the head is not valid. It is called once net/http has parsed it.
func (r *HeadRecorder) Check() error {
	if r.isRecording {
		return errNoHead
	}
	return r.err
}

// isInformational reports whether the head is that of an informational response (1xx), after
// which another head follows.
func (r *HeadRecorder) isInformational() bool {
	return !r.isRecording && r.err == nil && len(r.head) > statusAt && r.head[statusAt] == '1'
}

// headLength returns the length of the head at the start of data with its last empty line, 0 if
// it is not complete. There is no such line before the index searched.
func headLength(data []byte, searched int) int {
	for i := searched; ; i++ {
		n := bytes.IndexByte(data[i:], '\n')
		if n < 0 {
			return 0
		}
		i += n
		switch rest := data[i+1:]; {
		case bytes.HasPrefix(rest, []byte("\n")):
			return i + len("\n\n")
		case bytes.HasPrefix(rest, []byte("\r\n")):
			return i + len("\n\r\n")
		}
	}
}

// checkHead returns an error if a head is not that of a response in HTTP/1.
func checkHead(head []byte) error {
	line, fields, _ := bytes.Cut(head, []byte("\n"))
	if err := checkStatusLine(bytes.TrimSuffix(line, []byte("\r"))); err != nil {
		return err
	}
	hasLength, isEncoded := false, false
	for line := range bytes.Lines(fields) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) == 0 {
			continue // the end of the head
		}
		name, _, found := bytes.Cut(line, []byte(":"))
		if !found || !isToken(name) {
			return fmt.Errorf("invalid field line %.100q", line)
		}
		hasLength = hasLength || bytes.EqualFold(name, []byte("Content-Length"))
		isEncoded = isEncoded || bytes.EqualFold(name, []byte("Transfer-Encoding"))
	}
	if isEncoded && (hasLength || head[len(versionPrefix)] == '0') {
		return errContradictoryLength
	}
	return nil
}

// tokenBytes are the bytes of tokens by RFC 9110.
var tokenBytes = func() (isToken [256]bool) {
	for _, b := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		isToken[b] = true
	}
	return isToken
}()

// isToken reports whether text is a token, as names of fields are. A line that continues the one
// before it begins with a blank and is none: gateways may refuse them.
func isToken(text []byte) bool {
	for _, b := range text {
		if !tokenBytes[b] {
			return false
		}
	}
	return len(text) > 0
}

const (
	versionPrefix = "HTTP/1."
	// statusAt is the index of the status code, and statusEnd that of its end.
	statusAt  = len(versionPrefix) + len("1 ")
	statusEnd = statusAt + 3
)

// checkStatusLine returns an error unless the line has a version, a status from 100 to 599 and
// perhaps a reason. The system asks no server to switch protocols.
func checkStatusLine(line []byte) error {
	isValid := len(line) >= statusEnd && bytes.HasPrefix(line, []byte(versionPrefix)) && isDigit(line[len(versionPrefix)]) && line[statusAt-1] == ' ' &&
		line[statusAt] >= '1' && line[statusAt] <= '5' && isDigit(line[statusAt+1]) && isDigit(line[statusAt+2]) &&
		(len(line) == statusEnd || line[statusEnd] == ' ')
	if !isValid {
		return fmt.Errorf("invalid status line %.100q", line)
	}
	if string(line[statusAt:statusEnd]) == "101" {
		return errors.New("the server has switched protocols without being asked")
	}
	return nil
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }
