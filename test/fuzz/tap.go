package fuzz

import (
	"context"
	"time"

	"buckthornpick/internal/backend"
	"buckthornpick/internal/request"
)

// tap records what an entry dispatches and repeats events on demand.
type tap struct {
	backend.Client
	world *world
	entry string
}

// Start implements backend.Client.
func (t *tap) Start(ctx context.Context, to backend.Target, r *request.Request, id backend.AttemptID, c *backend.Continuation) (backend.Answer, error) {
	t.world.noteDispatch(t.entry, to.ID)
	a, err := t.Client.Start(ctx, to, r, id, c)
	if err != nil {
		return nil, err
	}
	return &repeater{Answer: a, world: t.world}, nil
}

func (w *world) noteDispatch(entry, server string) {
	w.mu.Lock()
	noticed, isNoticed := w.noticed[server]
	w.mu.Unlock()
	if !isNoticed {
		return
	}
	d := DispatchAfterNotice{Entry: entry, Server: server, At: time.Now(), KnowableSince: w.informed(entry, noticed)}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seen.DispatchesAfterNotice = append(w.seen.DispatchesAfterNotice, d)
}

// repeater gives an event twice when it is told to, as a late duplicate.
type repeater struct {
	backend.Answer
	world *world
	last  *request.Event
}

// Next implements backend.Answer.
func (r *repeater) Next() (request.Event, error) {
	if r.last != nil && r.world.takeRepeat() {
		return *r.last, nil
	}
	ev, err := r.Answer.Next()
	if err == nil {
		r.last = &ev
	}
	return ev, err
}

func (w *world) takeRepeat() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.repeats == 0 {
		return false
	}
	w.repeats--
	return true
}
