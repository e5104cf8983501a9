package relay

import (
	"context"
	"strconv"
	"sync"
	"time"

	"buckthornpick/internal/upstream"
)

const (
	// probeDelay is the time between a broken connection and the probe, in which a
	// crashing process ends.
	probeDelay = 50 * time.Millisecond
	// probeTimeout limits the time to open the probe's connection.
	probeTimeout = 500 * time.Millisecond
)

// crashDetector distinguishes crashes of backend servers from lost responses. A
// broken connection counts as a crash if the server accepts no connection shortly
// afterwards.
type crashDetector struct {
	relay *Relay

	mu sync.Mutex
	// pendingRuns holds, by server ID, the broken runs that await the result of a
	// probe.
	pendingRuns map[string][]brokenRun
}

// brokenRun is a run of a request at a server whose connection broke before the
// response was complete.
type brokenRun struct {
	fingerprint uint64
	attemptID   string
}

// newCrashDetector returns a detector that reports crashes to the tracker and the
// peers of the relay.
func newCrashDetector(r *Relay) *crashDetector {
	return &crashDetector{relay: r, pendingRuns: map[string][]brokenRun{}}
}

// reportBroken records that the connection of a run to the server broke, and
// starts a probe of the server unless one is running.
func (d *crashDetector) reportBroken(t upstream.Target, run brokenRun) {
	d.mu.Lock()
	defer d.mu.Unlock()
	runs, isProbeRunning := d.pendingRuns[t.ID]
	d.pendingRuns[t.ID] = append(runs, run)
	if !isProbeRunning {
		go d.probe(t)
	}
}

// probe checks once whether the server accepts connections. If not, it records a
// crash for each of the server's pending runs and notifies the other entries.
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
