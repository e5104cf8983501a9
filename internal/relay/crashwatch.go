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
type crashDetector struct {
	relay *Relay

	mu          sync.Mutex
	pendingRuns map[string][]brokenRun
}

// brokenRun is a run whose connection broke.
type brokenRun struct {
	fingerprint uint64
	attemptID   string
}

func newCrashDetector(r *Relay) *crashDetector {
	return &crashDetector{relay: r, pendingRuns: map[string][]brokenRun{}}
}

// broke notes that the connection of a run broke at the server.
func (d *crashDetector) reportBroken(t upstream.Target, run brokenRun) {
	d.mu.Lock()
	defer d.mu.Unlock()
	runs, isProbeRunning := d.pendingRuns[t.ID]
	d.pendingRuns[t.ID] = append(runs, run)
	if !isProbeRunning {
		go d.probe(t)
	}
}

// probe asks once whether the server takes connections.
func (d *crashDetector) probe(t upstream.Target) {
	time.Sleep(probeDelay)
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	isAlive := d.relay.Pool.Probe(ctx, t)
	d.mu.Lock()
	runs := d.pendingRuns[t.ID]
	delete(d.pendingRuns, t.ID)
	d.mu.Unlock()
	if isAlive {
		return
	}
	for _, run := range runs {
		crash := Crash{Fingerprint: run.fingerprint, Server: t.ID, RunID: t.ID + "/" + strconv.FormatInt(t.Incarnation, 10) + "/" + run.attemptID}
		n, _ := d.relay.Crashes.Record(crash)
		d.relay.Log.Log(EvContentCrashed, "request", run.attemptID, "content", run.fingerprint, "server", t.ID, "crashes", n)
		d.relay.Peers.NotifyCrash(crash)
	}
}
