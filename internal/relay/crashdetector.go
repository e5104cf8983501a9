package relay

import (
	"context"
	"sync"
	"time"

	"buckthornpick/internal/blame"
	"buckthornpick/internal/upstream"
)

const (
	// probeDelay is the time between a broken connection and the probe, in which a
	// crashing process ends.
	probeDelay = 50 * time.Millisecond
	// probeTimeout limits the time to open the probe's connection.
	probeTimeout = 500 * time.Millisecond
	// minRestartTime is the least time between two crashes of a server that keeps its ID.
	minRestartTime = 2 * time.Second
)

// crashDetector distinguishes crashes of backend servers from lost responses. A
// broken connection counts as a crash if the server accepts no connection shortly
// afterwards.
type crashDetector struct {
	relay *Relay

	mu sync.Mutex
	// pendingRuns holds, by server ID, the runs that await the result of a probe.
	pendingRuns map[string][]endedRun
}

// endedRun is a run of a request at a server whose connection has ended.
type endedRun struct {
	content   blame.Content
	attemptID string
	// isAnswered is true if the end of the connection was that of a complete answer,
	// unless the server has crashed.
	isAnswered bool
}

// newCrashDetector returns a detector that reports crashes to the tracker and the
// peers of the relay.
func newCrashDetector(r *Relay) *crashDetector {
	return &crashDetector{relay: r, pendingRuns: map[string][]endedRun{}}
}

// report records that the connection of a run to the server has ended, and starts a
// probe of the server unless one is running.
func (d *crashDetector) report(t upstream.Target, run endedRun) {
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
	result := d.relay.Pool.Probe(ctx, t)
	d.mu.Lock()
	runs := d.pendingRuns[t.ID]
	delete(d.pendingRuns, t.ID)
	d.mu.Unlock()
	if result == upstream.ProbeAccepted {
		for _, run := range runs {
			if run.isAnswered {
				d.relay.recordAnswered(&run.content, run.attemptID)
			}
		}
		return
	}
	if d.relay.Balancer.isLeaving(t) {
		return
	}
	crash := blame.NewCrash(t.ID, t.Incarnation, time.Now(), minRestartTime)
	for _, run := range runs {
		d.recordCrash(t, crash, run, result)
	}
}

// recordCrash records a crash for the content of one run. Parts of prompts are not
// blamed for a host that does not answer: it may be cut off, and they are in many
// requests.
func (d *crashDetector) recordCrash(t upstream.Target, crash blame.Crash, run endedRun, result upstream.ProbeResult) {
	notice := CrashNotice{Crash: crash, Server: t.ID, Content: run.content}
	if result == upstream.ProbeUnanswered {
		notice.Content.Parts = nil
	}
	added := d.relay.Crashes.RecordCrash(crash, 0, notice.Content.Keys())
	d.relay.Log.Log(EvContentCrashed, "request", run.attemptID, "content", run.content.Whole, "parts", notice.Content.Parts,
		"server", t.ID, "crashes", d.relay.Crashes.MaxCrashCount(&notice.Content))
	if len(added) > 0 {
		d.relay.Peers.NotifyCrash(notice)
	}
}
