package kv

import (
	"bytes"
	"sort"
	"time"

	"buckthornpick/internal/kv/etcd/wire"
)

// maxHistory is the largest number of events kept for watches that start at an
// earlier revision.
const maxHistory = 100_000

// record is one stored key.
type record struct {
	kv wire.KeyValue
}

// lease is a lease with the keys that are deleted when it expires.
type lease struct {
	id      int64
	ttl     time.Duration
	expires time.Time
	keys    map[string]struct{}
}

// change is an event with its revision.
type change struct {
	revision int64
	event    wire.Event
}

// state is the content of the store. Server.mu guards it.
type state struct {
	revision     int64
	compacted    int64 // events up to this revision are discarded
	keys         map[string]*record
	leases       map[int64]*lease
	nextLease    int64
	history      []change
	historyGrown chan struct{} // closed and replaced when the history grows
}

func newState() *state {
	return &state{
		revision:     1,
		keys:         map[string]*record{},
		leases:       map[int64]*lease{},
		nextLease:    1000,
		historyGrown: make(chan struct{}),
	}
}

// inRange reports whether key is in [from, end). An empty end means the single
// key from, an end of one zero byte all keys from from on.
func inRange(key, from, end []byte) bool {
	if len(end) == 0 {
		return bytes.Equal(key, from)
	}
	if bytes.Compare(key, from) < 0 {
		return false
	}
	return bytes.Equal(end, []byte{0}) || bytes.Compare(key, end) < 0
}

// read returns the keys of the range in order.
func (s *state) read(from, end []byte) []wire.KeyValue {
	if len(end) == 0 {
		if r := s.keys[string(from)]; r != nil {
			return []wire.KeyValue{r.kv}
		}
		return nil
	}
	var out []wire.KeyValue
	for _, r := range s.keys {
		if inRange(r.kv.Key, from, end) {
			out = append(out, r.kv)
		}
	}
	sort.Slice(out, func(i, j int) bool { return bytes.Compare(out[i].Key, out[j].Key) < 0 })
	return out
}

func (s *state) put(revision int64, p *wire.PutRequest) {
	key := string(p.Key)
	kv := wire.KeyValue{Key: p.Key, Value: p.Value, Lease: p.Lease, CreateRevision: revision, ModRevision: revision, Version: 1}
	if old := s.keys[key]; old != nil {
		kv.CreateRevision = old.kv.CreateRevision
		kv.Version = old.kv.Version + 1
		s.detachFromLease(old.kv)
	}
	if l := s.leases[p.Lease]; l != nil {
		l.keys[key] = struct{}{}
	}
	s.keys[key] = &record{kv: kv}
	s.record(revision, wire.Event{Kv: kv})
}

func (s *state) detachFromLease(kv wire.KeyValue) {
	if l := s.leases[kv.Lease]; l != nil {
		delete(l.keys, string(kv.Key))
	}
}

func (s *state) deleteRange(revision int64, from, end []byte) int {
	deleted := s.read(from, end)
	for _, kv := range deleted {
		s.detachFromLease(kv)
		delete(s.keys, string(kv.Key))
		tombstone := wire.KeyValue{Key: kv.Key, ModRevision: revision}
		s.record(revision, wire.Event{Type: wire.EventDelete, Kv: tombstone})
	}
	return len(deleted)
}

// record adds an event to the history and wakes the watches.
func (s *state) record(revision int64, e wire.Event) {
	s.revision = revision
	s.history = append(s.history, change{revision: revision, event: e})
	if len(s.history) > maxHistory {
		s.compact(s.history[maxHistory/10].revision)
	}
	close(s.historyGrown)
	s.historyGrown = make(chan struct{})
}

// compact discards the events up to revision.
func (s *state) compact(revision int64) {
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].revision > revision })
	s.history = append([]change(nil), s.history[first:]...)
	s.compacted = max(s.compacted, revision)
}

// since returns the events in the range with a revision of at least from.
func (s *state) since(from int64, key, end []byte) []wire.Event {
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].revision >= from })
	var out []wire.Event
	for _, c := range s.history[first:] {
		if inRange(c.event.Kv.Key, key, end) {
			out = append(out, c.event)
		}
	}
	return out
}

// compareAll reports whether all comparisons hold. checkTxn admits only equality
// with the CREATE or MOD revision; both are 0 for a key that does not exist.
func (s *state) compareAll(compares []wire.Compare) bool {
	for _, c := range compares {
		var kv wire.KeyValue
		if r := s.keys[string(c.Key)]; r != nil {
			kv = r.kv
		}
		if c.Target == "CREATE" && kv.CreateRevision != c.CreateRevision {
			return false
		}
		if c.Target != "CREATE" && kv.ModRevision != c.ModRevision {
			return false
		}
	}
	return true
}

// apply executes the operations of a transaction at one new revision.
func (s *state) apply(ops []wire.RequestOp) {
	next := s.revision + 1
	for _, op := range ops {
		if op.Put != nil {
			s.put(next, op.Put)
		}
		if op.DeleteRange != nil {
			s.deleteRange(next, op.DeleteRange.Key, op.DeleteRange.RangeEnd)
		}
	}
}

func (s *state) grant(ttl time.Duration, now time.Time) *lease {
	s.nextLease++
	l := &lease{id: s.nextLease, ttl: ttl, expires: now.Add(ttl), keys: map[string]struct{}{}}
	s.leases[l.id] = l
	return l
}

// endLease deletes the lease and its keys.
func (s *state) endLease(l *lease) {
	keys := make([]string, 0, len(l.keys))
	for key := range l.keys {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	next := s.revision + 1
	for _, key := range keys {
		s.deleteRange(next, []byte(key), nil)
	}
	delete(s.leases, l.id)
}

// expire ends the leases that have expired, in the order of their IDs.
func (s *state) expire(now time.Time) {
	var expired []*lease
	for _, l := range s.leases {
		if !now.Before(l.expires) {
			expired = append(expired, l)
		}
	}
	sort.Slice(expired, func(i, j int) bool { return expired[i].id < expired[j].id })
	for _, l := range expired {
		s.endLease(l)
	}
}
