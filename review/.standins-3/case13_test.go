//go:build review

package platform

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestReviewCase13: the backend servers of a service are upgraded in place, two at a time. The
// store turns one relay away from just before the first ones are back.
func TestReviewCase13(t *testing.T) {
	const (
		streams    = 90
		events     = 300 // a stream lasts three seconds and more
		outageTime = 5 * time.Second
		downtime   = 2 * time.Second
		// allowed is the number of streams that may hold events of two versions.
		allowed = 2
	)
	runCase(t, func(s *caseSite) (isBroken bool, err error) {
		s.doc.doc.routes = []map[string]any{route("tail", "/tail/", kindStreaming, 3, "stream_resumption", true, "timeout_ms", 15000)}
		s.doc.writeDocument()
		backends := map[string]*caseBackend{}
		for i, zone := range []string{"a", "b", "c", "a", "b", "c"} {
			id := fmt.Sprint("e", i)
			if backends[id], err = s.startBackend(id, zone, "v1"); err != nil {
				return false, err
			}
			backends[id].eventCount = events
			backends[id].server.set(func(e *fakeServer) { e.eventCount = events })
		}
		for i, zone := range []string{"a", "b", "c"} {
			if _, err := s.addRelay(fmt.Sprint("n", i), zone, true); err != nil {
				return false, err
			}
		}
		for _, r := range s.relays {
			if err := s.awaitReady(r, 10*time.Second); err != nil {
				return false, err
			}
		}
		time.Sleep(5 * time.Second)

		// Two at a time, and another one 0.4 s later: half of the service.
		upgrade := func(id string) {
			backends[id].stop()
			time.Sleep(downtime)
			if err := backends[id].start("v2"); err != nil {
				s.note("not started", "server", id, "error", err)
			}
		}
		var upgrades sync.WaitGroup
		upgrades.Go(func() { upgrade("e3") })
		upgrades.Go(func() { upgrade("e4") })
		time.Sleep(400 * time.Millisecond)
		upgrades.Go(func() { upgrade("e5") })
		time.Sleep(downtime - 500*time.Millisecond)
		if s.trouble {
			s.storeProxies["n0"].set(proxyReset)
			s.note("the store turns n0 away")
			time.AfterFunc(outageTime, func() { s.storeProxies["n0"].set(proxyPass); s.note("the store serves n0 again") })
		}
		upgrades.Wait()
		time.Sleep(100 * time.Millisecond)
		var mu sync.Mutex
		var callers sync.WaitGroup
		joined, complete := map[string]int{}, map[string]int{}
		for i := range streams {
			for id, r := range s.relays {
				if id != "n0" && i%5 > 0 {
					continue // the other relays get a fifth
				}
				callers.Go(func() {
					time.Sleep(time.Duration(i) * 4 * time.Millisecond)
					attempt := fmt.Sprint(id, "-", i)
					sent := time.Since(s.started)
					stream, status := readStream(r, attempt)
					v1, v2 := strings.Count(stream, " v1\n"), strings.Count(stream, " v2\n")
					s.note("stream", "relay", id, "request", attempt, "sent", sent.Seconds(), "status", status, "events_v1", v1, "events_v2", v2)
					mu.Lock()
					defer mu.Unlock()
					if v1 > 0 && v2 > 0 {
						joined[id]++
						s.note("a stream holds events of two versions", "relay", id, "request", attempt, "around_the_join", joinOf(stream))
					}
					if v1+v2 == events {
						complete[id]++
					}
				})
			}
		}
		time.Sleep(1200 * time.Millisecond)
		upgrades.Go(func() { upgrade("e0") })
		upgrades.Go(func() { upgrade("e1") })
		upgrades.Wait()
		callers.Wait()
		s.note("streams", "joined_by_relay", joined, "complete_by_relay", complete)
		if complete["n1"] == 0 {
			return false, fmt.Errorf("no stream is complete at a relay without a disruption")
		}
		return joined["n0"]+joined["n1"]+joined["n2"] > allowed, nil
	})
}
