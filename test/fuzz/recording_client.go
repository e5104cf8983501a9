package fuzz

import (
	"context"
	"time"

	"buckthornpick/internal/backend"
	"buckthornpick/internal/request"
)

// recordingClient records the requests that an entry sends to backend servers with
// a reclaim notice, and delivers events twice when the harness asks for it.
type recordingClient struct {
	backend.Client
	harness *harness
	entry   string
}

// Start implements backend.Client.
func (c *recordingClient) Start(ctx context.Context, to backend.Target, r *request.Request, id backend.AttemptID, from *backend.Continuation) (backend.Answer, error) {
	c.harness.recordDispatch(c.entry, to.ID)
	a, err := c.Client.Start(ctx, to, r, id, from)
	if err != nil {
		return nil, err
	}
	return &duplicatingAnswer{Answer: a, harness: c.harness}, nil
}

// recordDispatch records a request to a server that has received a reclaim notice.
func (h *harness) recordDispatch(entry, server string) {
	h.mu.Lock()
	noticed, isNoticed := h.noticedAt[server]
	h.mu.Unlock()
	if !isNoticed {
		return
	}
	d := DispatchAfterNotice{Entry: entry, Server: server, At: time.Now(), KnowableSince: h.knowableSince(entry, noticed)}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.observations.DispatchesAfterNotice = append(h.observations.DispatchesAfterNotice, d)
}

// duplicatingAnswer delivers the last event again for each pending repeat, as a
// late duplicate.
type duplicatingAnswer struct {
	backend.Answer
	harness *harness
	last    *request.Event
}

// Next implements backend.Answer.
func (a *duplicatingAnswer) Next() (request.Event, error) {
	if a.last != nil && a.harness.consumeRepeat() {
		return *a.last, nil
	}
	ev, err := a.Answer.Next()
	if err == nil {
		a.last = &ev
	}
	return ev, err
}

// consumeRepeat reports whether a repeat is pending, and decrements the count.
func (h *harness) consumeRepeat() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.pendingRepeats == 0 {
		return false
	}
	h.pendingRepeats--
	return true
}
