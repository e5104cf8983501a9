package quota

import (
	"slices"
	"time"
)

// Window is a sliding-window sum. Amounts are kept in slots of equal length, so
// the sum covers the span and at most one slot more.
type Window struct {
	// span is the length of the window, slotSpan that of a slot.
	span, slotSpan time.Duration
	slots          []slotSum
	sum            float64
}

// slotSum is the sum of one slot.
type slotSum struct {
	start  time.Duration
	amount float64
}

// slotsPerSpan bounds the memory that a window uses.
const slotsPerSpan = 64

// NewWindow returns an empty window of the given span.
func NewWindow(span time.Duration) *Window {
	return &Window{span: span, slotSpan: span / slotsPerSpan}
}

// Add adds an amount at the time now. A negative amount cancels an earlier one.
func (w *Window) Add(now time.Duration, amount float64) {
	if amount == 0 {
		return
	}
	w.addAt(now, amount)
	w.expire(now)
}

// windowParts is the number of parts into which Parts divides a window.
const windowParts = 8

// Parts returns the sums of equal parts of the span before now, oldest first.
func (w *Window) Parts(now time.Duration) []float64 {
	w.expire(now)
	parts := make([]float64, windowParts)
	for _, s := range w.slots {
		age := min(max(now-s.start, 0), w.span-1)
		parts[windowParts-1-int(age*windowParts/w.span)] += s.amount
	}
	return parts
}

// RaiseTo raises each part of the window to at least the sum that another window
// returned from Parts at the time now. The difference is spread over the later half of
// the part, so that it expires at most half a part before the amounts it represents, and
// a window that is passed on several times does not grow much.
func (w *Window) RaiseTo(now time.Duration, parts []float64) {
	const slots = slotsPerSpan / windowParts / 2
	own := w.Parts(now)
	for i := range min(len(parts), windowParts) {
		missing := parts[i] - own[i]
		if missing <= 0 {
			continue
		}
		end := now - w.span + time.Duration(i+1)*w.span/windowParts
		for n := range slots {
			w.addAt(end-time.Duration(n+1)*w.slotSpan, missing/slots)
		}
	}
}

// addAt adds an amount to the slot of the given time, which need not be the
// latest slot.
func (w *Window) addAt(at time.Duration, amount float64) {
	start := at - at%w.slotSpan
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

// Sum returns the sum of the amounts added in the span before now.
func (w *Window) Sum(now time.Duration) float64 {
	w.expire(now)
	return w.sum
}

// SumLast returns the sum of the amounts added in the time d before now, at most
// the span. The slot in which that time begins counts in full.
func (w *Window) SumLast(now, d time.Duration) float64 {
	sum := 0.0
	for i := len(w.slots) - 1; i >= 0 && w.slots[i].start+w.slotSpan > now-d; i-- {
		sum += w.slots[i].amount
	}
	return sum
}

// leavingWithin returns the sum of the amounts that leave the window in the time d after now.
func (w *Window) leavingWithin(now, d time.Duration) float64 {
	sum := 0.0
	for _, s := range w.slots {
		if s.start+w.slotSpan > now+d-w.span {
			break
		}
		sum += s.amount
	}
	return sum
}

// expire drops the slots that ended before the span.
func (w *Window) expire(now time.Duration) {
	n := 0
	for n < len(w.slots) && w.slots[n].start+w.slotSpan <= now-w.span {
		w.sum -= w.slots[n].amount
		n++
	}
	if n > 0 {
		w.slots = append(w.slots[:0], w.slots[n:]...)
	}
	if len(w.slots) == 0 {
		w.sum = 0 // resets the accumulated floating-point error
	}
}
