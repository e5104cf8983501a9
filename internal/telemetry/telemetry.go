// Package telemetry provides the catalogue of numbered log events and the
// structured logger of a process.
//
// Of go-metrics, use only counters, gauges and histograms: its meters and timers
// start a global goroutine that outlives the component that created them.
package telemetry

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sort"
	"sync"
)

// Event is one kind of log line. A number is never reused for another event.
type Event struct {
	Number int
	Name   string
	Level  slog.Level
	// Description is the sentence printed in docs/EVENTS.md.
	Description string
}

var (
	catalogueMu sync.Mutex
	catalogue   = map[int]Event{}
)

// Register adds an event to the catalogue and returns it. It panics on a
// duplicate number: events are package-level variables, so that a duplicate
// fails at program start.
func Register(number int, name string, level slog.Level, description string) Event {
	catalogueMu.Lock()
	defer catalogueMu.Unlock()
	if old, ok := catalogue[number]; ok {
		panic(fmt.Sprintf("event %d registered twice: %s and %s", number, old.Name, name))
	}
	e := Event{Number: number, Name: name, Level: level, Description: description}
	catalogue[number] = e
	return e
}

// Catalogue returns all registered events sorted by number.
func Catalogue() []Event {
	catalogueMu.Lock()
	defer catalogueMu.Unlock()
	events := make([]Event, 0, len(catalogue))
	for _, e := range catalogue {
		events = append(events, e)
	}
	sort.Slice(events, func(i, j int) bool { return events[i].Number < events[j].Number })
	return events
}

// Logger writes events of the catalogue. It is safe for concurrent use.
type Logger struct {
	base  *slog.Logger
	flush func()
}

// NewLogger returns a logger that writes JSON lines to w. Each line carries
// the node and its availability zone.
func NewLogger(w io.Writer, level slog.Level, node, zone string) *Logger {
	h := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})
	return &Logger{base: slog.New(h).With("node", node, "zone", zone)}
}

// Discard returns a logger that writes nothing.
func Discard() *Logger { return &Logger{base: slog.New(slog.DiscardHandler)} }

// WithFlush returns a logger whose Flush calls flush.
func (l *Logger) WithFlush(flush func()) *Logger { return &Logger{base: l.base, flush: flush} }

// Flush waits until buffered lines are written, if the logger was made by
// WithFlush.
func (l *Logger) Flush() {
	if l.flush != nil {
		l.flush()
	}
}

// Log writes one event with its attributes, given as slog key-value pairs.
func (l *Logger) Log(e Event, args ...any) {
	ctx := context.Background()
	if !l.base.Enabled(ctx, e.Level) {
		return
	}
	l.base.Log(ctx, e.Level, e.Name, append([]any{slog.Int("event", e.Number)}, args...)...)
}
