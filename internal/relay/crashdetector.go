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
	// maxNeighbourProbes limits the servers that are probed beside a crashed one.
	maxNeighbourProbes = 4
)

// crashDetector distinguishes crashes of backend servers from lost responses and cuts of
// the network. A broken connection counts as a crash if the server accepts no connection
// shortly afterwards, and others of its zone do.
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
	if result != upstream.ProbeAccepted && d.isCutOff(t) {
		d.relay.Log.Log(EvCrashDoubted, "server", t.ID, "runs", len(runs))
		return
	}
	if result == upstream.ProbeAccepted {
		for _, run := range runs {
			if run.isAnswered {
				d.relay.recordAnswered(&run.content, run.attemptID)
			}
		}
		return
	}
	if d.relay.Balancer.isLeaving(t) || d.relay.isStoppedByRollout(t) {
		return
	}
	if d.relay.Balancer.mayHaveFallen(t) {
		d.relay.Log.Log(EvCrashDoubted, "server", t.ID, "runs", len(runs), "fallen", true)
		return
	}
	d.recordCrash(t, runs, result)
}

// isCutOff reports whether none of the other servers of the server's availability zone
// accepts a connection either: the zone, or this entry, is cut off. It is false if there
// are no others.
func (d *crashDetector) isCutOff(t upstream.Target) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	others := d.relay.Balancer.neighbours(t, maxNeighbourProbes)
	results := make(chan upstream.ProbeResult, len(others))
	for _, other := range others {
		go func() { results <- d.relay.Pool.Probe(ctx, other) }()
	}
	for range others {
		if <-results == upstream.ProbeAccepted {
			return false
		}
	}
	return len(others) > 0
}

// recordCrash records a crash for the content of the runs. Parts of prompts are not
// blamed for a host that does not answer: it may be cut off, and they are in many
// requests.
func (d *crashDetector) recordCrash(t upstream.Target, runs []endedRun, result upstream.ProbeResult) {
	notice := CrashNotice{Crash: blame.NewCrash(t.ID, t.Incarnation, time.Now(), minRestartTime), Server: t.ID}
	isNew := false
	for _, run := range runs {
		content := run.content
		if result == upstream.ProbeUnanswered {
			content.Parts = nil
		}
		isNew = len(d.relay.Crashes.RecordCrash(notice.Crash, 0, content.Keys())) > 0 || isNew
		notice.Contents = append(notice.Contents, content)
		d.relay.Log.Log(EvContentCrashed, "request", run.attemptID, "content", content.Whole, "parts", content.Parts,
			"server", t.ID, "crashes", d.relay.Crashes.MaxCrashCount(&content))
	}
	if isNew {
		d.relay.Peers.NotifyCrash(notice)
	}
}
