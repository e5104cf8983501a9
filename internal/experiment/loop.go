package experiment

import (
	"container/heap"
	"time"
)

// epoch is the virtual time at which every run starts.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// event is a function scheduled for a time; sequence orders events that are due
// at the same time.
type event struct {
	at       time.Duration
	sequence int
	run      func()
}

// loop is a discrete-event loop. Its times are offsets from epoch.
type loop struct {
	now    time.Duration
	events eventHeap
	count  int
}

// clock returns the virtual time as a time.Time, for the packages under test.
func (l *loop) clock() time.Time { return epoch.Add(l.now) }

// after runs f at now+d; a negative d counts as 0.
func (l *loop) after(d time.Duration, f func()) { l.at(l.now+max(0, d), f) }

// at runs f at time t.
func (l *loop) at(t time.Duration, f func()) {
	l.count++
	heap.Push(&l.events, event{t, l.count, f})
}

// every runs f at each multiple of period up to end.
func (l *loop) every(period, end time.Duration, f func()) {
	var tick func()
	tick = func() {
		f()
		if l.now+period <= end {
			l.after(period, tick)
		}
	}
	l.after(period, tick)
}

// run processes events in order of time until none is due at or before end.
func (l *loop) run(end time.Duration) {
	for len(l.events) > 0 && l.events[0].at <= end {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.run()
	}
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return last
}
