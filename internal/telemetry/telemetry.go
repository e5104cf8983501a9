// Package telemetry holds the catalogue of numbered log events and the metric
// registry of a process.
//
// Only counters, gauges and histograms of go-metrics are used: its meters and
// timers start a global goroutine that outlives the component that made them.
package telemetry

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sort"
	"sync"
)

// Event is one kind of log line. Its number never changes its meaning.
type Event struct {
	Number int
	Name   string
	Level  slog.Level
	// Meaning is the sentence printed in docs/EVENTS.md.
	Description string
}

var (
	catalogueMu sync.Mutex
	catalogue   = map[int]Event{}
)

// Register adds an event to the catalogue. It panics on a duplicate number,
// because events are package-level variables.
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

// Catalogue returns all registered events in the order of their numbers.
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

// Logger writes catalogued events.
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

// Flush waits until lines that an AsyncWriter holds are written.
func (l *Logger) Flush() {
	if l.flush != nil {
		l.flush()
	}
}

// Log writes one event with its attributes (slog key-value pairs).
func (l *Logger) Log(e Event, args ...any) {
	ctx := context.Background()
	if !l.base.Enabled(ctx, e.Level) {
		return
	}
	l.base.Log(ctx, e.Level, e.Name, append([]any{slog.Int("event", e.Number)}, args...)...)
}
