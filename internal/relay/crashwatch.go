package relay

import (
	"context"
	"strconv"
	"sync"
	"time"

	"buckthornpick/internal/upstream"
)

const (
	// probeDelay leaves a crashing process time to be gone.
	probeDelay = 50 * time.Millisecond
	// probeTimeout bounds the connection that shows whether a server lives.
	probeTimeout = 500 * time.Millisecond
)

// crashWatch distinguishes crashes from lost answers: a break of a connection
// is a crash if the server takes no connection just after it.
type crashWatch struct {
	relay *Relay

	mu      sync.Mutex
	probing map[string][]brokenRun
}

// brokenRun is a run whose connection broke.
type brokenRun struct {
	content uint64
	attempt string
}

func newCrashWatch(r *Relay) *crashWatch {
	return &crashWatch{relay: r, probing: map[string][]brokenRun{}}
}

// broke notes that the connection of a run broke at the server.
func (w *crashWatch) broke(t upstream.Target, run brokenRun) {
	w.mu.Lock()
	defer w.mu.Unlock()
	runs, isProbing := w.probing[t.ID]
	w.probing[t.ID] = append(runs, run)
	if !isProbing {
		go w.probe(t)
	}
}

// probe asks once whether the server takes connections.
func (w *crashWatch) probe(t upstream.Target) {
	time.Sleep(probeDelay)
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	lives := w.relay.Pool.Probe(ctx, t)
	w.mu.Lock()
	runs := w.probing[t.ID]
	delete(w.probing, t.ID)
	w.mu.Unlock()
	if lives {
		return
	}
	for _, run := range runs {
		crash := Crash{Fingerprint: run.content, Server: t.ID, RunID: t.ID + "/" + strconv.FormatInt(t.Incarnation, 10) + "/" + run.attempt}
		n, _ := w.relay.Crashes.Record(crash)
		w.relay.Log.Log(EvContentCrashed, "request", run.attempt, "content", run.content, "server", t.ID, "crashes", n)
		w.relay.Peers.NotifyCrash(crash)
	}
}
