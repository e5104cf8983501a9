//go:build review

package platform

import (
	"fmt"
	"reflect"
	"sync"
	"syscall"
	"testing"
	"time"

	"buckthornpick/internal/relayd"
)

// TestReviewCase15: all relays are killed and start again. Just after one of them has taken the
// duties over, the store goes away for a drill, in which leases expire. Up to four times.
func TestReviewCase15(t *testing.T) {
	const (
		rounds       = 4
		usageWindow  = 5 * time.Second
		awayTime     = 700 * time.Millisecond
		restartDelay = 300 * time.Millisecond
		// The copy is made a second before the end of a usage window, and the relays are
		// killed two seconds after its end, when it has been reported.
		copyBefore, killAfter = time.Second, 2 * time.Second
	)
	runCase(t, func(s *caseSite) (isBroken bool, err error) {
		s.doc.doc.routes = []map[string]any{route("once", "/once/", kindNonIdempotent, 1)}
		s.doc.writeDocument()
		for i, zone := range []string{"a", "b", "c"} {
			if _, err := s.startBackend(fmt.Sprint("e", i), zone, "v1"); err != nil {
				return false, err
			}
		}
		ids := []string{"n0", "n1", "n2"}
		for i, zone := range []string{"a", "b", "c"} {
			if _, err := s.addRelay(ids[i], zone, true); err != nil {
				return false, err
			}
		}
		for _, id := range ids {
			if err := s.awaitReady(s.relays[id], 10*time.Second); err != nil {
				return false, err
			}
		}
		stop := make(chan struct{})
		var callers sync.WaitGroup
		var mu sync.Mutex
		served := 0
		for _, id := range ids {
			r := s.relays[id]
			callers.Go(func() {
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					case <-time.After(50 * time.Millisecond):
					}
					if reply := s.request(r, "/once/", fmt.Sprint(id, "-", n), siteKey); reply.status == 200 {
						mu.Lock()
						served++
						mu.Unlock()
					}
				}
			})
		}
		time.Sleep(2 * usageWindow)
		for range rounds {
			end := time.Now().Truncate(usageWindow).Add(usageWindow)
			if time.Until(end) < copyBefore+100*time.Millisecond {
				end = end.Add(usageWindow)
			}
			time.Sleep(time.Until(end.Add(-copyBefore)))
			saved := withoutLeases(s.store.copyState())
			s.note("the copy of the store is made")
			time.Sleep(time.Until(end.Add(killAfter)))
			s.noteReports()
			holder := s.dutyRevision()
			for _, id := range ids {
				s.signal(s.relays[id], syscall.SIGKILL)
			}
			for _, id := range ids {
				s.kill(s.relays[id])
			}
			time.Sleep(restartDelay)
			for _, id := range ids {
				if err := s.start(s.relays[id]); err != nil {
					return false, err
				}
			}
			for now := s.dutyRevision(); now == holder || now == 0; now = s.dutyRevision() {
				if time.Since(end) > 15*time.Second {
					return false, fmt.Errorf("no relay has taken the duties over")
				}
				time.Sleep(5 * time.Millisecond)
			}
			s.note("the duties are taken over")
			if s.trouble {
				s.note("the store is away")
				s.store.drill(saved, awayTime)
				s.note("the store is back from the copy")
			}
			time.Sleep(usageWindow + time.Second) // until the windows are reported
			if s.noteReports() > 0 {
				break
			}
		}
		close(stop)
		callers.Wait()
		s.note("requests", "served", served)
		if served == 0 {
			return false, fmt.Errorf("no request was served")
		}
		return s.noteReports() > 0, nil
	})
}

// withoutLeases returns the copy after its leases have expired.
func withoutLeases(c storeCopy) storeCopy {
	for key, i := range c.items {
		if i.Lease != 0 {
			delete(c.items, key)
		}
	}
	clear(c.leases)
	return c
}

// dutyRevision returns the store's revision of the key of the duties' holder, 0 without one.
func (s *caseSite) dutyRevision() (revision int64) {
	s.store.set(func(f *fakeStore) {
		f.expireLocked()
		revision = f.items[relayd.DutyLeaseKey].Revision
	})
	return revision
}

// noteReports notes the usage reports that the cloud has accepted, and returns the number of
// windows of which it has accepted two with different counts.
func (s *caseSite) noteReports() (broken int) {
	s.cloud.mu.Lock()
	defer s.cloud.mu.Unlock()
	for window, reports := range s.cloud.reports {
		for _, r := range reports[1:] {
			if !reflect.DeepEqual(r, reports[0]) {
				broken++
				s.note("a window is reported twice with different counts", "window", window, "first", reports[0].Counts, "another", r.Counts)
				break
			}
		}
	}
	s.note("usage reports", "windows", len(s.cloud.reports), "with_different_counts", broken)
	return broken
}
