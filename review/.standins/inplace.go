//go:build review

package main

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["inplace"] = inPlaceCase }

// inPlaceCase: the engines of a service start again, one after the other, under their IDs
// and at their addresses, with a newer software version. Each is silent for a moment some
// time after its start. Without the disruption none starts again, and they are silent all
// the same.
func inPlaceCase(s *site, trouble bool) (broken bool, err error) {
	const (
		engineCount = 6
		callerCount = 60
		// releases is how often the version changes, step the time from one engine to the
		// next, downTime the time that an engine is away.
		releases = 4
		step     = 2500 * time.Millisecond
		downTime = 300 * time.Millisecond
		// An engine is silent for silentTime from silentAfter after its return on.
		silentAfter, silentTime = 900 * time.Millisecond, 1100 * time.Millisecond
		// allowedMixed is how many streams the rule lets pass.
		allowedMixed = 2
		minComplete  = 100
	)
	s.writeConfig(7, []map[string]any{{
		"name": "r-28m82th", "host": siteHost, "prefix": "/pufi791/", "kind": "streaming", "timeout_ms": 15000, "target_latency_ms": 400, "target_gap_ms": 250,
		"priority": 2, "service": serviceName, "attempts": 2, "public": false, "session_affinity": true, "stream_resumption": true,
	}})
	newEngine := func(i, version int) *engine {
		return &engine{
			id: engineID(i), zone: siteZones[i%len(siteZones)], version: fmt.Sprint("v", version),
			work: 20 * time.Millisecond, events: 50, pause: 50 * time.Millisecond,
		}
	}
	engines := make([]*engine, engineCount)
	for i := range engines {
		engines[i] = newEngine(i, 1)
		if err := s.startEngine(engines[i], ""); err != nil {
			return false, err
		}
	}
	if err := s.startRelays(relayZones...); err != nil {
		return false, err
	}
	var isOver atomic.Bool
	var callers sync.WaitGroup
	var sent, complete, mixed atomic.Int64
	for i := range callerCount {
		p := s.relays[i%len(s.relays)]
		callers.Go(func() {
			client := newClient()
			defer client.CloseIdleConnections()
			time.Sleep(time.Duration(i) * 40 * time.Millisecond)
			for !isOver.Load() {
				attempt := fmt.Sprintf("%016x", sent.Add(1))
				sentAt := s.elapsed()
				status, events, err := s.readStream(client, p, attempt)
				runs, versions := describeRuns(events)
				verdict := ""
				if status == http.StatusOK && err == nil {
					complete.Add(1)
				}
				if versions > 1 {
					mixed.Add(1)
					verdict = "  EVENTS OF TWO VERSIONS"
				}
				s.logf("%s sent to %s at %.3f s: status %d, %d events (%s), end: %v%s", attempt, p.name, sentAt.Seconds(), status, len(events), runs, err, verdict)
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	time.Sleep(3 * time.Second)
	for i := range releases * engineCount {
		at, version := i%engineCount, 2+i/engineCount
		startedAt := time.Now()
		if trouble {
			old := engines[at]
			s.logf("engine %s (%s) ends", old.id, old.version)
			old.crash()
			time.Sleep(downTime)
			engines[at] = newEngine(at, version)
			if err := s.startEngine(engines[at], old.address); err != nil {
				return false, err
			}
			s.logf("engine %s is back at %s as v%d, born %d; its entry is written", old.id, old.address, version, engines[at].born)
		}
		time.Sleep(silentAfter)
		engines[at].silentUntil.Store(time.Now().Add(silentTime).UnixNano())
		s.logf("engine %s is silent for %v", engines[at].id, silentTime)
		time.Sleep(time.Until(startedAt.Add(step)))
	}
	isOver.Store(true)
	callers.Wait()
	s.summarize("%d streams, %d complete; %d answers hold events of two versions, %d are allowed", sent.Load(), complete.Load(), mixed.Load(), allowedMixed)
	if complete.Load() < minComplete {
		return false, fmt.Errorf("only %d streams were complete", complete.Load())
	}
	return mixed.Load() > allowedMixed, nil
}

// streamEvent is one event of a stream as an engine writes it.
type streamEvent struct{ number, engine, version string }

// readStream sends a request and reads the events of its answer.
func (s *site) readStream(client *http.Client, p *relayProcess, attempt string) (status int, events []streamEvent, err error) {
	resp, err := client.Do(newRequest(p, "/pufi791/2f", attempt, 15000, strings.NewReader("body of "+attempt)))
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			var e streamEvent
			_, _ = fmt.Sscan(text, &e.number, &e.engine, &e.version)
			events = append(events, e)
		}
	}
	return resp.StatusCode, events, lines.Err()
}

// describeRuns tells which engine and version made the events of an answer, and returns the
// number of versions.
func describeRuns(events []streamEvent) (text string, versions int) {
	known := map[string]bool{}
	var runs []string
	for i, e := range events {
		known[e.version] = true
		if i == 0 || e.engine != events[i-1].engine || e.version != events[i-1].version {
			runs = append(runs, fmt.Sprintf("from %s on by %s %s", e.number, e.engine, e.version))
		}
	}
	return strings.Join(runs, ", "), len(known)
}
