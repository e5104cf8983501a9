package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"buckthornpick/internal/fault"
)

// Call is one call of a backend server.
type Request struct {
	Method string
	// URI is the path with the query, as the caller sent it.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// IsAnswer reports whether an answer belongs to this call; nil takes any.
	Matches func(status int, h http.Header) bool
}

const (
	// concurrentWrite is the size of a call from which it is written beside the
	// reading of the answer: a server may answer a long call early.
	concurrentWriteBytes = 8 << 10
	// maxForeign bounds the answers to earlier calls that are skipped.
	maxForeignResponses = 4
	// maxForeignBytes bounds the body of a skipped answer.
	maxForeignBodyBytes = 1 << 20
)

// WasSent reports whether a call that ended with err may have reached its
// server.
func MayHaveBeenSent(err error) bool {
	return !fault.Is(err, fault.Unavailable) && !fault.Is(err, fault.Exhausted)
}

// Answer is the head of an answer and its body, which must be closed.
type Response struct {
	Status int
	Header http.Header
	// Length is the declared length of the body, -1 if it is not declared.
	ContentLength int64
	// Framed is false if the body ends with its connection.
	Framed bool
	Body   io.ReadCloser
}

// Do sends a call and reads the head of its answer. The end of ctx closes the
// connection. Errors: fault.Unavailable means that the server was not reached,
// fault.Exhausted that no connection was free; in both cases nothing was sent.
// After fault.Ambiguous the call may have run.
func (p *Pool) Do(ctx context.Context, t Target, request *Request) (*Response, error) {
	c, err := p.get(ctx, t)
	if err != nil {
		return nil, err
	}
	x := &roundTrip{pool: p, conn: c, request: request}
	x.stopCancel = context.AfterFunc(ctx, func() { _ = c.SetDeadline(expiredDeadline) })
	sent, err := x.send()
	if err != nil && sent == 0 {
		x.discard()
		return nil, fault.Wrap(err, fault.Unavailable, "upstream.send", t.ID, "not sent")
	}
	if err != nil {
		x.discard()
		return nil, fault.Wrap(err, fault.Ambiguous, "upstream.send", t.ID, "sent in part")
	}
	response, err := x.receive()
	if err != nil {
		x.discard()
		return nil, fault.Wrap(err, fault.Ambiguous, "upstream.receive", t.ID, "no answer")
	}
	return response, nil
}

// past is a deadline that ends reads and writes at once.
var expiredDeadline = time.Unix(1, 0)

// exchange is one call on a connection. It ends with finish or abandon.
type roundTrip struct {
	pool       *Pool
	conn       *conn
	request    *Request
	stopCancel func() bool
	// written is closed when a concurrent write has ended; nil if there is none.
	writeDone chan struct{}
	writeErr  error
	once      sync.Once
}

// send writes the call. A long one is written beside the reading of its answer,
// and sent is then the length of the whole.
func (x *roundTrip) send() (sent int, err error) {
	b := &bytes.Buffer{}
	x.encode(b)
	if b.Len() < concurrentWriteBytes {
		return x.conn.Write(b.Bytes())
	}
	x.writeDone = make(chan struct{})
	go func() {
		defer close(x.writeDone)
		_, x.writeErr = x.conn.Write(b.Bytes())
	}()
	return b.Len(), nil
}

func (x *roundTrip) encode(b *bytes.Buffer) {
	request := x.request
	b.Grow(512 + len(request.Body))
	b.WriteString(request.Method + " " + request.URI + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	_ = request.Header.Write(b) // a buffer takes every write
	if len(request.Body) > 0 || (request.Method != http.MethodGet && request.Method != http.MethodHead) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(request.Body)
}

// receive reads answers until one belongs to the call.
func (x *roundTrip) receive() (*Response, error) {
	request := &http.Request{Method: x.request.Method}
	for range maxForeignResponses {
		resp, err := http.ReadResponse(x.conn.reader, request)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		if x.request.Matches == nil || x.request.Matches(resp.StatusCode, resp.Header) {
			framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
			return &Response{
				Status: resp.StatusCode, Header: resp.Header, ContentLength: resp.ContentLength, Framed: framed,
				Body: &body{roundTrip: x, reader: resp.Body, idleTimeout: idleTimeoutOf(resp), isFramed: framed},
			}, nil
		}
		if n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxForeignBodyBytes)); err != nil || n == maxForeignBodyBytes {
			return nil, errors.New("answer to another call without an end")
		}
	}
	return nil, errors.New("only answers to other calls")
}

// keepFor returns how long the connection may be kept idle, 0 if not at all.
func idleTimeoutOf(resp *http.Response) time.Duration {
	if resp.Close {
		return 0
	}
	for part := range strings.SplitSeq(resp.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return max(0, time.Duration(seconds)*time.Second-idleMargin)
		}
	}
	return defaultIdleTimeout
}

// finish gives the connection back after a whole answer.
func (x *roundTrip) release(idleTimeout time.Duration) {
	x.once.Do(func() {
		if !x.stopCancel() {
			idleTimeout = 0
		}
		if x.writeDone != nil {
			select {
			case <-x.writeDone:
				if x.writeErr != nil {
					idleTimeout = 0
				}
			default:
				idleTimeout = 0 // answered early: the rest is not sent
			}
		}
		if x.conn.reader.Buffered() > 0 {
			idleTimeout = 0
		}
		x.pool.put(x.conn, idleTimeout)
	})
}

// abandon closes the connection; most servers then drop the call.
func (x *roundTrip) discard() {
	x.once.Do(func() {
		x.stopCancel()
		x.pool.put(x.conn, 0)
	})
}

// body is an answer's body. At its end the connection goes back to the pool; if
// it is closed before, the connection is closed.
type body struct {
	roundTrip   *roundTrip
	reader      io.Reader
	idleTimeout time.Duration
	isFramed    bool
}

// Read implements io.Reader. io.EOF is the whole end of the answer.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if err == io.EOF {
		idleTimeout := b.idleTimeout
		if !b.isFramed {
			idleTimeout = 0
		}
		b.roundTrip.release(idleTimeout)
	}
	return n, err
}

// Close implements io.Closer.
func (b *body) Close() error {
	b.roundTrip.discard()
	return nil
}
