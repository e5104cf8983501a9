package request

import "context"

// Step is what a cursor delivers next. Exactly one field is set.
type Part struct {
	Head  *Head
	Event *Event
	End   *End
	// HandedOver is set when the request is owned elsewhere from here on.
	HandedOver bool
}

// Cursor reads an answer from a position to its end. It is not safe for
// concurrent use.
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

// Next waits for the next step. After an End or HandedOver it must not be
// called again.
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

// Ready reports whether Next would return at once.
func (c *Cursor) Ready() bool {
	r := c.record
	r.mu.Lock()
	defer r.mu.Unlock()
	return c.after < len(r.events) || r.end != nil
}

func (c *Cursor) tryNext() (Part, <-chan struct{}, bool) {
	r := c.record
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.head != nil && !c.headDelivered:
		c.headDelivered = true
		return Part{Head: r.head}, nil, true
	case c.after < len(r.events):
		// An event does not change once it is appended, and a grown slice
		// leaves the old one as it was.
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
