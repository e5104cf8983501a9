package request

import "context"

// Part is one part of an answer as a Cursor delivers it. Exactly one field is
// set.
type Part struct {
	Head  *Head
	Event *Event
	End   *End
	// HandedOver is true if another node owns the request now and delivers the
	// rest of the answer.
	HandedOver bool
}

// Cursor reads an answer from a position to its end, and waits for parts that
// have not arrived. It is not safe for concurrent use.
type Cursor struct {
	record        *Record
	after         int
	headDelivered bool
}

// Cursor returns a cursor that delivers the head, the events after sequence
// number after, and the end.
func (r *Record) Cursor(after int) *Cursor {
	return &Cursor{record: r, after: after}
}

// Next returns the next part of the answer and waits for it if necessary. It
// must not be called again after it has returned an End or HandedOver.
func (c *Cursor) Next(ctx context.Context) (Part, error) {
	for {
		part, changed, ok := c.tryNext()
		if ok {
			return part, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Part{}, ctx.Err()
		}
	}
}

// Ready reports whether an event or the end is available, so that Next returns
// without waiting.
func (c *Cursor) Ready() bool {
	r := c.record
	r.mu.Lock()
	defer r.mu.Unlock()
	return c.after < len(r.events) || r.end != nil
}

// tryNext returns the next part if it is available. Otherwise it returns false
// and a channel that is closed at the record's next change.
func (c *Cursor) tryNext() (Part, <-chan struct{}, bool) {
	r := c.record
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.head != nil && !c.headDelivered:
		c.headDelivered = true
		return Part{Head: r.head}, nil, true
	case c.after < len(r.events):
		// The pointer stays valid after unlocking: appended events are never
		// modified, and growing the slice does not change the old array.
		ev := &r.events[c.after]
		c.after++
		return Part{Event: ev}, nil, true
	case r.end != nil:
		return Part{End: r.end}, nil, true
	case State(r.machine.Current()) == HandedOver:
		return Part{HandedOver: true}, nil, true
	}
	return Part{}, r.changedLocked(), false
}
