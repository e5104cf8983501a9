package quota

import (
	"slices"
	"time"
)

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
	if amount == 0 {
		return
	}
	w.put(now, amount)
	w.expire(now)
}

// windowParts is the number of parts in which a window is told.
const windowParts = 8

// Parts returns the amounts in equal parts of the span before now, the oldest
// first.
func (w *Window) Parts(now time.Duration) []float64 {
	w.expire(now)
	parts := make([]float64, windowParts)
	for _, s := range w.slots {
		age := min(max(now-s.start, 0), w.span-1)
		parts[windowParts-1-int(age*windowParts/w.span)] += s.amount
	}
	return parts
}

// SetParts raises the window to the amounts that another one told now. Each part
// counts at its end, so that it expires no sooner than what it stands for.
func (w *Window) RaiseTo(now time.Duration, parts []float64) {
	own := w.Parts(now)
	for i := range min(len(parts), windowParts) {
		if missing := parts[i] - own[i]; missing > 0 {
			w.put(now-w.span+time.Duration(i+1)*w.span/windowParts-w.slot, missing)
		}
	}
}

// put adds to the slot of a time, which may lie before later slots.
func (w *Window) put(at time.Duration, amount float64) {
	start := at - at%w.slot
	i := len(w.slots)
	for i > 0 && w.slots[i-1].start > start {
		i--
	}
	if i > 0 && w.slots[i-1].start == start {
		w.slots[i-1].amount += amount
	} else {
		w.slots = slices.Insert(w.slots, i, slotSum{start, amount})
	}
	w.sum += amount
}

// Sum returns the amount added since now less the span.
func (w *Window) Sum(now time.Duration) float64 {
	w.expire(now)
	return w.sum
}

// Latest returns the amount added since now less d, at most the span, and what fell
// into the slot of that time.
func (w *Window) SumLast(now, d time.Duration) float64 {
	sum := 0.0
	for i := len(w.slots) - 1; i >= 0 && w.slots[i].start+w.slot > now-d; i-- {
		sum += w.slots[i].amount
	}
	return sum
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
