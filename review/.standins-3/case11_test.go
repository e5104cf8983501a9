//go:build review

package platform

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

// TestReviewCase11: an API key is taken away; more than the revocation time later, in a drill of
// the store, one relay is killed and starts again while the store has the older configuration.
func TestReviewCase11(t *testing.T) {
	const (
		revokeTime   = 5 * time.Second
		takenAwayKey = "key-goes"
		// The store is away for a moment, comes back from a copy some seconds old, and the
		// operator writes its configuration again a second later.
		awayTime     = 700 * time.Millisecond
		rewriteDelay = time.Second
		restartDelay = 200 * time.Millisecond
	)
	runCase(t, func(s *caseSite) (isBroken bool, err error) {
		s.doc.doc.keys = map[string][]string{siteOrg: {siteKey, takenAwayKey}}
		s.doc.doc.routes = []map[string]any{route("once", "/once/", kindNonIdempotent, 1)}
		s.doc.writeDocument()
		for i, zone := range []string{"a", "b", "c"} {
			if _, err := s.startBackend(fmt.Sprint("e", i), zone, "v1"); err != nil {
				return false, err
			}
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
			if reply := s.request(r, "/once/", "before-"+r.id, takenAwayKey); reply.status != 200 {
				return false, fmt.Errorf("%s before the change: %v", r.id, reply)
			}
		}
		time.Sleep(2 * time.Second)
		saved := s.store.copyState()
		s.note("the copy of the store is made")
		time.Sleep(time.Second)
		s.doc.doc.keys = map[string][]string{siteOrg: {siteKey}}
		s.doc.writeDocument()
		acknowledged := time.Now()
		s.note("acknowledged: the configuration without the key", "version", s.doc.version)
		time.Sleep(revokeTime)

		stop := make(chan struct{})
		var callers sync.WaitGroup
		var mu sync.Mutex
		broken, answers := 0, map[string]int{}
		for id, r := range s.relays {
			callers.Go(func() {
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					case <-time.After(40 * time.Millisecond):
					}
					attempt, sent := fmt.Sprint(id, "-", n), time.Now()
					reply := s.request(r, "/once/", attempt, takenAwayKey)
					ran := s.runs(attempt)
					mu.Lock()
					answers[fmt.Sprint(id, ":", reply.status)]++
					mu.Unlock()
					if ran == 0 || sent.Sub(acknowledged) <= revokeTime {
						continue
					}
					s.note("a request with the key has run", "relay", id, "request", attempt, "sent_s_after_acknowledgement", sent.Sub(acknowledged).Seconds(), "status", reply.status, "runs", ran)
					mu.Lock()
					broken++
					mu.Unlock()
				}
			})
		}
		time.Sleep(time.Second)
		if s.trouble {
			var drill sync.WaitGroup
			s.store.set(func(f *fakeStore) { f.rewriteDelay = rewriteDelay })
			s.note("the store is away")
			drill.Go(func() {
				s.store.drill(saved, awayTime)
				s.note("the operator and the backend servers have written again")
			})
			r := s.relays["n0"]
			s.kill(r)
			time.Sleep(restartDelay)
			if err := s.start(r); err != nil {
				return false, err
			}
			drill.Wait()
		}
		time.Sleep(5 * time.Second)
		close(stop)
		callers.Wait()
		s.note("answers", "by_relay_and_status", answers)
		return broken > 0, nil
	})
}
