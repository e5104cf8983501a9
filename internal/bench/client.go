package bench

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"buckthornpick/internal/gateway"
	"buckthornpick/internal/load"
	"buckthornpick/internal/request"
)

// sample holds the measurements of one call on the caller's side.
type sample struct {
	// request is the request ID under which the engines report the call.
	request string
	sent    time.Time
	// received[i] is the time at which sequence number i+1 arrived.
	received []time.Time
	err      error
}

// target is the destination of the calls of a phase.
type target struct {
	// url returns the base URL for the call.
	url func(call *load.Call) string
	// isEngine is true if calls go to an engine directly, not through an entry.
	isEngine bool
}

// bodyBufferBytes is the size of the buffer for reading answers.
const bodyBufferBytes = 8 << 10

// call makes one call, reads its events and checks that they are in sequence and
// complete.
func call(ctx context.Context, client *http.Client, t target, c *load.Call) sample {
	s := sample{received: make([]time.Time, 0, answerTokens+2)}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, t.url(c)+"/v1/chat/completions", bytes.NewReader(c.Body))
	if err != nil {
		s.err = err
		return s
	}
	t.setHeaders(req, c)
	s.sent = time.Now()
	resp, err := client.Do(req)
	if err != nil {
		s.err = err
		return s
	}
	defer func() { _ = resp.Body.Close() }()
	s.request = resp.Header.Get(gateway.HeaderRequestID)
	if t.isEngine {
		s.request = c.Key
	}
	s.err = s.read(resp, t)
	return s
}

// setHeaders sets the headers that identify the call to an engine or to an entry.
func (t target) setHeaders(req *http.Request, c *load.Call) {
	req.Header.Set("Content-Type", "application/json")
	if t.isEngine {
		req.Header.Set("X-Attempt-Id", c.Key)
		req.Header.Set("X-Request-Id", c.Key)
		return
	}
	req.Header.Set("Authorization", "Bearer "+c.Caller.Key)
	if c.Key != "" {
		req.Header.Set(gateway.HeaderIdempotencyKey, c.Key)
	}
}

var (
	errStatus   = errors.New("call was refused")
	errSequence = errors.New("events are not in sequence")
	errOutcome  = errors.New("answer is not complete")
)

// read reads the answer and checks its status and outcome.
func (s *sample) read(resp *http.Response, t target) error {
	if resp.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(io.LimitReader(resp.Body, bodyBufferBytes))
		return fmt.Errorf("%w: %d %s", errStatus, resp.StatusCode, body)
	}
	if err := s.readEvents(bufio.NewReaderSize(resp.Body, bodyBufferBytes)); err != nil {
		return err
	}
	if t.isEngine {
		return nil
	}
	if got := resp.Trailer.Get(gateway.HeaderOutcome); got != string(request.Completed) {
		return fmt.Errorf("%w: outcome %q", errOutcome, got)
	}
	return nil
}

var (
	idField  = []byte("id: ")
	doneLine = []byte("data: [DONE]\n")
)

// readEvents reads the events to the end of the body and records their arrival. A
// body without the final [DONE] is an error.
func (s *sample) readEvents(r *bufio.Reader) error {
	isDone := false
	for {
		line, err := r.ReadSlice('\n')
		if errors.Is(err, io.EOF) && isDone {
			return nil
		}
		if err != nil {
			return fmt.Errorf("after event %d: %w", len(s.received), err)
		}
		if bytes.Equal(line, doneLine) {
			isDone = true
		}
		id, ok := bytes.CutPrefix(line, idField)
		if !ok {
			continue
		}
		digits, _, _ := bytes.Cut(id, []byte("-"))
		n, err := strconv.Atoi(string(bytes.TrimSpace(digits)))
		if err != nil || n != len(s.received)+1 {
			return fmt.Errorf("%w: %q after %d", errSequence, line, len(s.received))
		}
		s.received = append(s.received, time.Now())
	}
}
