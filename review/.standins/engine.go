//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// serviceName is the one service of a site.
const serviceName = "huvo11a"

// siteZones are the zones of a site's engines, and relayZones those of its relay processes.
var (
	siteZones  = []string{"waw-a", "waw-b", "lodz-c"}
	relayZones = []string{"waw-a", "waw-a", "waw-a", "waw-b", "waw-b", "lodz-c"}
)

func engineID(n int) string { return fmt.Sprintf("i-%08x", 0x28f1+n*7919) }

const (
	engineSlots  = 64
	beatInterval = 1200 * time.Millisecond
)

// engine is one incarnation of a stand-in engine. Its entry in the registry is written at
// its start, at each change and every beatInterval.
type engine struct {
	id, zone, version string
	// work is the time that a request takes, or that passes before the first event of a
	// stream. A positive events makes each answer a stream of that many, with the given
	// pause after each.
	work   time.Duration
	events int
	pause  time.Duration
	// onArrival, if not nil, is called with each request that reaches the engine.
	onArrival func(e *engine, attempt string)

	store    *store
	address  string
	born     int64 // in Unix milliseconds
	server   *http.Server
	sequence atomic.Int64
	// begun counts the requests that the engine began to run.
	begun    atomic.Int64
	leaving  atomic.Bool
	ended    atomic.Bool
	stopBeat chan struct{}
	// silentUntil is the end of a silence in Unix nanoseconds.
	silentUntil atomic.Int64
}

// startEngine starts an engine at the address, or at a free one if that is empty.
func (s *site) startEngine(e *engine, address string) error {
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	e.store, e.address, e.born, e.stopBeat = s.store, l.Addr().String(), time.Now().UnixMilli(), make(chan struct{})
	e.server = &http.Server{Handler: e}
	e.register() // before it takes its first request
	go func() { _ = e.server.Serve(l) }()
	go e.beat()
	return nil
}

// register writes the engine's entry.
func (e *engine) register() {
	state := "ready"
	if e.leaving.Load() {
		state = "draining"
	}
	e.store.put("servers/"+e.id, map[string]any{
		"service": serviceName, "address": e.address, "zone": e.zone, "version": e.version, "slots": engineSlots, "state": state,
		"cold_remaining_ms": 0, "stage": "combined", "models": []any{}, "sequence": e.sequence.Add(1), "born": e.born,
	})
}

func (e *engine) beat() {
	tick := time.NewTicker(beatInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			e.register()
		case <-e.stopBeat:
			return
		}
	}
}

// crash closes the listener and all connections, and leaves the entry as it is.
func (e *engine) crash() {
	if !e.ended.Swap(true) {
		close(e.stopBeat)
		_ = e.server.Close()
	}
}

// exit removes the entry and ends the engine.
func (e *engine) exit() {
	e.store.remove("servers/" + e.id)
	e.crash()
}

// sleep waits, and returns false if ctx ends before.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// awaitSound waits while the engine is silent.
func (e *engine) awaitSound(ctx context.Context) bool {
	return sleep(ctx, time.Until(time.Unix(0, e.silentUntil.Load())))
}

// announce adds the headers of an engine that leaves.
func (e *engine) announce(w http.ResponseWriter) {
	if e.leaving.Load() {
		w.Header().Set("Server-Leaving", "1")
		w.Header().Set("Connection", "close")
	}
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("X-Attempt-Id")
	if e.onArrival != nil {
		e.onArrival(e, attempt)
	}
	_, _ = io.ReadAll(r.Body)
	w.Header().Set("X-Instance-Id", e.id)
	w.Header().Set("X-Attempt-Id", attempt)
	if r.Header.Get("X-Expected-Instance") != e.id {
		e.announce(w)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.begun.Add(1)
	if !sleep(r.Context(), e.work) {
		return
	}
	e.announce(w)
	w.Header().Set("X-Response-Signature", "signed-"+attempt)
	if e.events > 0 {
		e.stream(w, r)
		return
	}
	_, _ = io.WriteString(w, "answer to "+attempt)
}

// stream writes the events after the one that the request names. Each holds its number, and
// the ID and the version of the engine that made it.
func (e *engine) stream(w http.ResponseWriter, r *http.Request) {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	for i := last + 1; i <= e.events; i++ {
		if !e.awaitSound(r.Context()) {
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %d %s %s\n\n", i, i, e.id, e.version); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		if !sleep(r.Context(), e.pause) {
			return
		}
	}
}
