//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// relayEngine is an engine as one relay process uses it.
type relayEngine struct{ relay, engine string }

func init() { cases["leaving"] = leavingCase }

// leavingCase: the engines of a service are replaced all at once, again and again. The old
// ones announce that in the registry and in their answers, serve on for a while and exit.
// Without the disruption none leaves.
func leavingCase(s *site, trouble bool) (broken bool, err error) {
	const (
		engineCount = 9
		callerCount = 300
		// Callers send at the same moments, one in each burstInterval.
		burstInterval = 100 * time.Millisecond
		routeCount    = 350
		releases      = 15
		// The old engines leave overlap after the new ones have come, and exit leaveTime later.
		overlap, leaveTime = 700 * time.Millisecond, 3200 * time.Millisecond
		drainTimeout       = 2 * time.Second
		minServed          = 1000
	)
	var mu sync.Mutex
	sentAt := map[string]time.Time{}          // by attempt
	sentTo := map[string]string{}             // the relay, by attempt
	toldAt := map[relayEngine]time.Time{}     // when a caller got the first answer with the announcement
	lateSends := map[relayEngine]int{}        // requests that reached the engine after the drain timeout
	latest := map[relayEngine]time.Duration{} // of these, the latest
	onArrival := func(e *engine, attempt string) {
		mu.Lock()
		defer mu.Unlock()
		key := relayEngine{sentTo[attempt], e.id}
		told, ok := toldAt[key]
		if after := sentAt[attempt].Sub(told); ok && after > drainTimeout {
			lateSends[key]++
			latest[key] = max(latest[key], after)
			s.logf("LATE: %s, sent to %s %.3f s after that had passed on an answer with Server-Leaving of %s, reaches that engine", attempt, key.relay, after.Seconds(), e.id)
		}
	}
	routes := []map[string]any{{
		"name": "r-once", "host": siteHost, "prefix": "/puxa403/", "kind": "non_idempotent", "timeout_ms": 4000, "target_latency_ms": 300,
		"priority": 2, "service": serviceName, "attempts": 1, "public": false, "session_affinity": false, "stream_resumption": false,
	}}
	for i := range routeCount {
		routes = append(routes, map[string]any{
			"name": fmt.Sprint("r-", i), "host": siteHost, "prefix": fmt.Sprintf("/lohu930/%d/", i), "kind": "streaming", "timeout_ms": 6000, "target_latency_ms": 800, "target_gap_ms": 250,
			"priority": 1, "service": serviceName, "attempts": 2, "public": false, "session_affinity": true, "stream_resumption": true,
		})
	}
	s.writeConfig(7, routes)
	count := 0
	startEngines := func() ([]*engine, error) {
		var list []*engine
		for range engineCount {
			e := &engine{id: engineID(count), zone: siteZones[count%len(siteZones)], version: "v1", work: 30 * time.Millisecond, onArrival: onArrival}
			count++
			if err := s.startEngine(e, ""); err != nil {
				return nil, err
			}
			list = append(list, e)
		}
		return list, nil
	}
	engines, err := startEngines()
	if err != nil {
		return false, err
	}
	if err := s.startRelays(relayZones...); err != nil {
		return false, err
	}
	var isOver atomic.Bool
	var callers sync.WaitGroup
	var sent, served, refused, lost atomic.Int64
	call := func(client *http.Client, p *relayProcess) {
		attempt := fmt.Sprintf("%016x", sent.Add(1))
		mu.Lock()
		sentAt[attempt], sentTo[attempt] = time.Now(), p.name
		mu.Unlock()
		resp, err := client.Do(newRequest(p, "/puxa403/2f", attempt, 4000, strings.NewReader("body of "+attempt)))
		if err != nil {
			lost.Add(1)
			s.logf("%s sent to %s: %v", attempt, p.name, err)
			return
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		switch {
		case err == nil && resp.StatusCode == http.StatusOK:
			served.Add(1)
		case err == nil && resp.StatusCode == http.StatusServiceUnavailable:
			refused.Add(1)
			s.logf("%s sent to %s: refused, %s", attempt, p.name, strings.TrimSpace(string(body)))
		default:
			lost.Add(1)
			s.logf("%s sent to %s: status %d, %v, %s", attempt, p.name, resp.StatusCode, err, strings.TrimSpace(string(body)))
		}
		if key := (relayEngine{p.name, resp.Header.Get("X-Instance-Id")}); resp.Header.Get("Server-Leaving") == "1" {
			mu.Lock()
			if _, ok := toldAt[key]; !ok {
				toldAt[key] = time.Now()
				s.logf("%s has passed on an answer with Server-Leaving of %s", key.relay, key.engine)
			}
			mu.Unlock()
		}
	}
	for i := range callerCount {
		p := s.relays[i%len(s.relays)]
		callers.Go(func() {
			client := newClient()
			defer client.CloseIdleConnections()
			for !isOver.Load() {
				call(client, p)
				time.Sleep(time.Until(time.Now().Truncate(burstInterval).Add(burstInterval)))
			}
		})
	}
	time.Sleep(2 * time.Second)
	for range releases {
		if !trouble {
			time.Sleep(overlap + leaveTime)
			continue
		}
		old := engines
		if engines, err = startEngines(); err != nil {
			return false, err
		}
		time.Sleep(overlap)
		s.logf("%d engines, from %s to %s, leave", len(old), old[0].id, old[len(old)-1].id)
		for _, e := range old {
			e.leaving.Store(true)
		}
		for _, e := range old {
			e.register()
		}
		time.Sleep(leaveTime)
		for _, e := range old {
			e.exit()
			s.logf("engine %s has exited; it began to run %d requests", e.id, e.begun.Load())
		}
		s.logf("%d requests sent so far, %d served, %d refused, %d lost", sent.Load(), served.Load(), refused.Load(), lost.Load())
	}
	isOver.Store(true)
	callers.Wait()
	mu.Lock()
	defer mu.Unlock()
	for key, n := range lateSends {
		s.summarize("%s has sent %d requests to %s later than %v after it had passed on its announcement, the last one %.3f s after it", key.relay, n, key.engine, drainTimeout, latest[key].Seconds())
	}
	s.summarize("%d requests, %d served, %d refused, %d without an answer of their engine; %d announcements passed on, %d of them not followed",
		sent.Load(), served.Load(), refused.Load(), lost.Load(), len(toldAt), len(lateSends))
	if served.Load() < minServed {
		return false, fmt.Errorf("only %d requests were served", served.Load())
	}
	return len(lateSends) > 0, nil
}
