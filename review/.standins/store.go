//go:build review

package main

import (
	"encoding/base64"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is an in-memory stand-in of the platform's metadata store.
type store struct {
	mu       sync.Mutex
	items    map[string]storeItem
	history  []storeItem
	floor    int64
	revision int64
	leases   map[int64]*storeLease
	nextID   int64
	changed  chan struct{}
}

type storeItem struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type storeLease struct {
	ttl time.Duration
	end time.Time
}

func newStore() *store {
	return &store{items: map[string]storeItem{}, leases: map[int64]*storeLease{}, revision: 1, changed: make(chan struct{})}
}

// put writes a key as the operator and the servers do.
func (s *store) put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.putLocked(key, base64.StdEncoding.EncodeToString(text), 0)
	s.notifyLocked()
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.removeLocked(key)
	s.notifyLocked()
}

func (s *store) putLocked(key, value string, lease int64) {
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	i := storeItem{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.items[key] = i
	s.recordLocked(i)
}

func (s *store) removeLocked(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.recordLocked(storeItem{Key: key, Revision: s.revision, Deleted: true})
	}
}

const historyLength = 20_000

func (s *store) recordLocked(i storeItem) {
	s.history = append(s.history, i)
	if extra := len(s.history) - historyLength; extra > 0 {
		s.floor = s.history[extra-1].Revision
		s.history = slices.Clone(s.history[extra:])
	}
}

func (s *store) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expireLocked() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.end) {
			s.endLocked(id)
		}
	}
}

func (s *store) endLocked(id int64) {
	if _, ok := s.leases[id]; !ok {
		return
	}
	delete(s.leases, id)
	s.revision++
	for key, i := range s.items {
		if i.Lease == id {
			s.removeLocked(key)
		}
	}
	s.notifyLocked()
}

// run ends leases that have run out.
func (s *store) run() {
	for range time.Tick(20 * time.Millisecond) {
		s.mu.Lock()
		s.expireLocked()
		s.mu.Unlock()
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

const storeDelay = 4 * time.Millisecond

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	s.mu.Lock()
	s.expireLocked()
	s.mu.Unlock()
	q := r.URL.Query()
	switch path := r.URL.Path; {
	case path == "/v1/kv-key":
		s.serveKey(w, q.Get("key"))
	case path == "/v1/kv-range":
		s.serveRange(w, q.Get("prefix"), q.Get("after"))
	case path == "/v1/kv-watch":
		s.serveWatch(w, r)
	case path == "/v1/kv-txn":
		s.serveTxn(w, r)
	case path == "/v1/kv-lease":
		s.serveGrant(w, r)
	case strings.HasPrefix(path, "/v1/kv-keep/"):
		s.serveKeep(w, strings.TrimPrefix(path, "/v1/kv-keep/"))
	case strings.HasPrefix(path, "/v1/kv-lease-end/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(path, "/v1/kv-lease-end/"), 10, 64)
		s.mu.Lock()
		s.endLocked(id)
		s.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{})
	default:
		reply(w, http.StatusNotFound, map[string]any{})
	}
}

func (s *store) serveKey(w http.ResponseWriter, key string) {
	s.mu.Lock()
	i, ok := s.items[key]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"store_revision": revision})
		return
	}
	reply(w, http.StatusOK, map[string]any{"key": i.Key, "value": i.Value, "revision": i.Revision, "created": i.Created, "lease": i.Lease, "store_revision": revision})
}

const pageLength = 500

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	found := []storeItem{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, i)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(found, func(a, b storeItem) int { return strings.Compare(a.Key, b.Key) })
	hasMore := len(found) > pageLength
	reply(w, http.StatusOK, map[string]any{"items": found[:min(len(found), pageLength)], "has_more": hasMore, "store_revision": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for isOver := false; ; {
		s.mu.Lock()
		if after < s.floor || after > s.revision {
			s.mu.Unlock()
			reply(w, http.StatusGone, map[string]any{})
			return
		}
		events := []storeItem{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || isOver {
			reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			isOver = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expected_revision"`
		Writes []struct {
			Key   string `json:"key"`
			Value string `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"writes"`
		Remove []string `json:"remove"`
	}
	body, _ := io.ReadAll(r.Body)
	if json.Unmarshal(body, &t) != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	isMet := true
	found := []storeItem{}
	for _, e := range t.Expected {
		i, ok := s.items[e.Key]
		if ok {
			found = append(found, i)
		}
		isMet = isMet && i.Revision == e.Revision
	}
	if !isMet {
		s.mu.Unlock()
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": found})
		return
	}
	for _, write := range t.Writes {
		if _, ok := s.leases[write.Lease]; write.Lease != 0 && !ok {
			s.mu.Unlock()
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	s.revision++
	for _, write := range t.Writes {
		s.putLocked(write.Key, write.Value, write.Lease)
	}
	for _, key := range t.Remove {
		s.removeLocked(key)
	}
	s.notifyLocked()
	revision := s.revision
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"revision": revision})
}

func (s *store) serveGrant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	ttl := time.Duration(max(1000, min(body.TTL, 600_000))) * time.Millisecond
	s.mu.Lock()
	s.nextID++
	id := s.nextID
	s.leases[id] = &storeLease{ttl: ttl, end: time.Now().Add(ttl)}
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": ttl.Milliseconds()})
}

func (s *store) serveKeep(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseInt(text, 10, 64)
	s.mu.Lock()
	l, ok := s.leases[id]
	if ok {
		l.end = time.Now().Add(l.ttl)
	}
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	reply(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}
