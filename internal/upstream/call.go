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

// Request is an HTTP request to a backend server.
type Request struct {
	Method string
	// URI is the path with the query, as received from the caller.
	URI    string
	Host   string
	Header http.Header
	Body   Body
	// Matches reports whether a response belongs to this request; nil accepts any.
	Matches func(status int, h http.Header) bool
	// OnNewConnection is set if Matches cannot tell the response from one to an earlier request,
	// so that the request needs a connection without any.
	OnNewConnection bool
}

const (
	// concurrentWriteBytes is the size from which on a request is written while the
	// response is read, since a server may respond before it has read all of a long
	// request.
	concurrentWriteBytes = 8 << 10
	// headSizeHint is about the size of a request's head in bytes.
	headSizeHint = 1 << 10
	// maxForeignResponses limits the number of responses to earlier requests that
	// are skipped.
	maxForeignResponses = 4
	// maxForeignBodyBytes limits the body size of a skipped response.
	maxForeignBodyBytes = 1 << 20
)

// MayHaveBeenSent reports whether a request that ended with err may have reached
// its server.
func MayHaveBeenSent(err error) bool {
	return !fault.Is(err, fault.Unavailable) && !fault.Is(err, fault.Exhausted)
}

// Response is the status, the headers and the body of a response. The body must
// be closed.
type Response struct {
	Status int
	Header http.Header
	// DeclaredLength is the length of the body as declared by the server, -1 if it is
	// not declared.
	DeclaredLength int64
	// Framed is true if the body has a declared length or chunked encoding. The end
	// of any other body is the end of its connection.
	Framed bool
	// ConnectedAt is when the connection had been opened; zero if that is not known.
	ConnectedAt time.Time
	Body        io.ReadCloser
}

// Do sends a request and reads the status and headers of its response. The end of
// ctx ends reads and writes on the connection, also those of the response's body.
// The error is fault.Unavailable if the server was not reached and fault.Exhausted
// if no connection was free; in both cases nothing was sent. After fault.Ambiguous
// the request may have run.
func (p *Pool) Do(ctx context.Context, t Target, request *Request) (*Response, error) {
	c, err := p.get(ctx, t, !request.OnNewConnection)
	if err != nil {
		return nil, err
	}
	x := &roundTrip{pool: p, conn: c, request: request}
	x.stopCancel = context.AfterFunc(ctx, func() { _ = c.SetDeadline(expiredDeadline) })
	sent, err := x.send()
	if err != nil && sent == 0 {
		x.discard()
		return nil, fault.Wrap(err, fault.Unavailable, "upstream.send", t.ID, "request was not sent")
	}
	if err != nil {
		x.discard()
		return nil, fault.Wrap(err, fault.Ambiguous, "upstream.send", t.ID, "request was sent partially")
	}
	response, err := x.receive()
	if err != nil {
		x.discard()
		return nil, fault.Wrap(err, fault.Ambiguous, "upstream.receive", t.ID, "no response")
	}
	return response, nil
}

// expiredDeadline is a deadline in the past, which ends reads and writes at once.
var expiredDeadline = time.Unix(1, 0)

// roundTrip is one request with its response on a connection. It ends with release
// or discard.
type roundTrip struct {
	pool    *Pool
	conn    *conn
	request *Request
	// stopCancel detaches the connection from the request's context, whose end would
	// cancel reads and writes; it returns false if the context has already ended.
	stopCancel func() bool
	// writeDone is closed when a concurrent write has ended; nil if there is none.
	writeDone chan struct{}
	// writeErr is the error of the concurrent write; valid once writeDone is closed.
	writeErr error
	once     sync.Once
}

// send writes the request and returns the number of bytes written. A long request
// is written concurrently, and sent is then its whole length.
func (x *roundTrip) send() (sent int, err error) {
	b := &bytes.Buffer{}
	body := x.request.Body
	x.encodeHead(b, body.Len())
	length := b.Len() + body.Len()
	if length < concurrentWriteBytes {
		for _, part := range body {
			b.Write(part)
		}
		return x.conn.Write(b.Bytes())
	}
	x.writeDone = make(chan struct{})
	go func() {
		defer close(x.writeDone)
		x.writeErr = body.writeTo(x.conn.Conn, b.Bytes())
	}()
	return length, nil
}

// encodeHead appends the head of the request in HTTP/1.1 format to b.
func (x *roundTrip) encodeHead(b *bytes.Buffer, bodyLength int) {
	request := x.request
	b.Grow(headSizeHint)
	b.WriteString(request.Method + " " + request.URI + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	_ = request.Header.Write(b) // writes to a buffer never fail
	if bodyLength > 0 || (request.Method != http.MethodGet && request.Method != http.MethodHead) {
		b.WriteString("Content-Length: " + strconv.Itoa(bodyLength) + "\r\n")
	}
	b.WriteString("\r\n")
}

// receive reads responses until one belongs to the request. It skips informational
// (1xx) responses and a limited number of responses to earlier requests.
func (x *roundTrip) receive() (*Response, error) {
	request := &http.Request{Method: x.request.Method}
	for range maxForeignResponses {
		buffered, _ := x.conn.reader.Peek(x.conn.reader.Buffered()) // never fails
		x.conn.head.start(buffered)
		resp, err := http.ReadResponse(x.conn.reader, request)
		if invalid := x.conn.head.stop(); err == nil {
			err = invalid
		}
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		if x.request.Matches == nil || x.request.Matches(resp.StatusCode, resp.Header) {
			framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
			return &Response{
				Status: resp.StatusCode, Header: resp.Header, DeclaredLength: resp.ContentLength, Framed: framed, ConnectedAt: x.conn.connectedAt,
				Body: &body{roundTrip: x, source: resp.Body, idleTimeout: idleTimeoutOf(resp), isFramed: framed},
			}, nil
		}
		if n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxForeignBodyBytes)); err != nil || n == maxForeignBodyBytes {
			return nil, errors.New("response to another request was not read to its end")
		}
	}
	return nil, errors.New("too many responses to other requests")
}

// idleTimeoutOf returns how long the connection may be kept idle after the
// response; 0 if it must be closed.
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

// release returns the connection to the pool after a complete response. The
// connection is closed instead if the context has ended, if the request was not
// written completely or if unread bytes follow the response.
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
				idleTimeout = 0 // the response came before the whole request was sent
			}
		}
		if x.conn.reader.Buffered() > 0 {
			idleTimeout = 0
		}
		x.pool.put(x.conn, idleTimeout)
	})
}

// discard resets the connection. Most servers then cancel the request; one that a partition
// holds up does not reach its server any more.
func (x *roundTrip) discard() {
	x.once.Do(func() {
		x.stopCancel()
		x.pool.abort(x.conn)
	})
}

// body is the body of a response. Reading it to its end returns the connection to
// the pool; closing it before that closes the connection.
type body struct {
	roundTrip   *roundTrip
	source      io.Reader
	idleTimeout time.Duration
	isFramed    bool
}

// Read implements io.Reader. It returns io.EOF only at the end of a complete body;
// a body that is not framed ends with its connection.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.source.Read(p)
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
