package quota

import "time"

// Window sums what was added in a sliding span. Amounts fall into slots, so that
// the sum covers the span and at most one slot more.
type Window struct {
	span, slot time.Duration
	slots      []slotSum
	sum        float64
}

type slotSum struct {
	start  time.Duration
	amount float64
}

// slotsPerSpan bounds the memory of a window.
const slotsPerSpan = 64

// NewWindow returns an empty window of the given span.
func NewWindow(span time.Duration) *Window {
	return &Window{span: span, slot: span / slotsPerSpan}
}

// Add adds an amount, which may be negative to take one back.
func (w *Window) Add(now time.Duration, amount float64) {
	start := now - now%w.slot
	if n := len(w.slots); n > 0 && w.slots[n-1].start >= start {
		w.slots[n-1].amount += amount
	} else {
		w.slots = append(w.slots, slotSum{start, amount})
	}
	w.sum += amount
	w.expire(now)
}

// Sum returns the amount added since now less the span.
func (w *Window) Sum(now time.Duration) float64 {
	w.expire(now)
	return w.sum
}

func (w *Window) expire(now time.Duration) {
	n := 0
	for n < len(w.slots) && w.slots[n].start+w.slot <= now-w.span {
		w.sum -= w.slots[n].amount
		n++
	}
	if n > 0 {
		w.slots = append(w.slots[:0], w.slots[n:]...)
	}
	if len(w.slots) == 0 {
		w.sum = 0 // ends the drift of floating-point sums
	}
}
