//go:build review

package platform

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// TestReviewCase12: two backend servers start again in place as another software version while
// the store compacts its history, and are silent for a moment some time later.
func TestReviewCase12(t *testing.T) {
	const (
		streams  = 90
		events   = 300 // a stream lasts three seconds and more
		downtime = 2 * time.Second
		// quietTime is the time of a compaction for which watches hear nothing.
		quietTime = time.Second
		// The servers are silent for silence, from silentAfter their return on.
		silentAfter, silence = 1600 * time.Millisecond, 1100 * time.Millisecond
		// allowed is the number of streams that may hold events of two versions.
		allowed = 2
	)
	runCase(t, func(s *caseSite) (isBroken bool, err error) {
		store := &compactingStore{fakeStore: s.store}
		s.storeAddress = s.serve(store)
		s.doc.doc.routes = []map[string]any{route("tail", "/tail/", kindStreaming, 3, "stream_resumption", true, "timeout_ms", 15000)}
		s.doc.writeDocument()
		backends := map[string]*caseBackend{}
		for i, zone := range []string{"a", "a", "a", "b", "b", "b"} {
			id := fmt.Sprint("e", i)
			if backends[id], err = s.startBackend(id, zone, "v1"); err != nil {
				return false, err
			}
			backends[id].eventCount = events
			backends[id].server.set(func(e *fakeServer) { e.eventCount = events })
		}
		// Four relays of a zone: two follow the store, and the others follow these two.
		ids := []string{"n0", "n1", "n2", "n3"}
		for _, id := range ids {
			if _, err := s.addRelay(id, "a", true); err != nil {
				return false, err
			}
		}
		for _, id := range ids {
			if err := s.awaitReady(s.relays[id], 10*time.Second); err != nil {
				return false, err
			}
		}
		time.Sleep(5 * time.Second)

		upgraded := []string{"e0", "e1"}
		for _, id := range upgraded {
			backends[id].stop()
		}
		time.Sleep(downtime)
		if s.trouble {
			s.note("the store compacts its history")
			store.compact(quietTime)
		}
		for _, id := range upgraded {
			if err := backends[id].start("v2"); err != nil {
				return false, err
			}
		}
		back := time.Now()
		for _, id := range upgraded {
			time.AfterFunc(silentAfter, func() {
				backends[id].server.set(func(e *fakeServer) { e.silentUntil = time.Now().Add(silence) })
				s.note("backend server is silent", "server", id, "for", silence)
			})
		}
		var mu sync.Mutex
		var callers sync.WaitGroup
		joined, complete := map[string]int{}, map[string]int{}
		for i := range streams {
			id := ids[i%len(ids)]
			callers.Go(func() {
				time.Sleep(time.Duration(i) * 3 * time.Millisecond)
				attempt, sent := fmt.Sprint(id, "-", i), time.Since(back)
				stream, status := readStream(s.relays[id], attempt)
				v1, v2 := strings.Count(stream, " v1\n"), strings.Count(stream, " v2\n")
				s.note("stream", "relay", id, "request", attempt, "sent_s_after_return", sent.Seconds(), "status", status, "events_v1", v1, "events_v2", v2)
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
		callers.Wait()
		total := 0
		for _, n := range joined {
			total += n
		}
		s.note("streams", "of", streams, "joined_by_relay", joined, "complete_by_relay", complete)
		if len(complete) < len(ids) {
			return false, fmt.Errorf("no stream is complete at some relay")
		}
		return total > allowed, nil
	})
}

// compactingStore is a store whose watches hear nothing for some time while it compacts its
// history. Then it drops the history and cuts the watches.
type compactingStore struct {
	*fakeStore
	quiet atomic.Pointer[quietSpan]
}

type quietSpan struct {
	until time.Time
	ended chan struct{}
}

// compact starts a compaction.
func (s *compactingStore) compact(quietTime time.Duration) {
	span := &quietSpan{until: time.Now().Add(quietTime), ended: make(chan struct{})}
	s.quiet.Store(span)
	time.AfterFunc(quietTime, func() {
		s.fakeStore.compact()
		s.quiet.Store(nil)
		close(span.ended)
	})
}

// ServeHTTP implements http.Handler. A watch is answered from the history in short steps, so
// that it hears nothing from the start of a compaction on.
func (s *compactingStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	const step = 10 * time.Millisecond
	if r.URL.Path != pathWatch {
		s.fakeStore.ServeHTTP(w, r)
		return
	}
	query := r.URL.Query()
	end := time.Now().Add(time.Duration(parseInt(query.Get("wait_ms"))) * time.Millisecond)
	for {
		if span := s.quiet.Load(); span != nil {
			timeout := time.NewTimer(time.Until(end))
			select {
			case <-span.ended:
				timeout.Stop()
				panic(http.ErrAbortHandler) // the watch is cut
			case <-timeout.C:
			case <-r.Context().Done():
				timeout.Stop()
				return
			}
			s.fakeStore.set(func(f *fakeStore) { f.markLocked(w) })
			writeJSON(w, map[string]any{"events": []item{}, "store_revision": parseInt(query.Get("after"))})
			return
		}
		left := time.Until(end)
		if left <= 0 || s.hasNews(query) {
			s.serveNow(w, r, query)
			return
		}
		select {
		case <-time.After(min(step, left)):
		case <-r.Context().Done():
			return
		}
	}
}

// hasNews reports whether a watch is answered at once.
func (s *compactingStore) hasNews(query url.Values) (isNews bool) {
	after, prefix := parseInt(query.Get("after")), query.Get("prefix")
	s.fakeStore.set(func(f *fakeStore) {
		isNews = f.isAway || after < f.compacted || after > f.revision
		for _, e := range f.history {
			isNews = isNews || e.Revision > after && strings.HasPrefix(e.Key, prefix)
		}
	})
	return isNews
}

// serveNow answers a watch without waiting.
func (s *compactingStore) serveNow(w http.ResponseWriter, r *http.Request, query url.Values) {
	query.Set("wait_ms", strconv.Itoa(0))
	now := r.Clone(r.Context())
	now.URL.RawQuery = query.Encode()
	s.fakeStore.ServeHTTP(w, now)
}
