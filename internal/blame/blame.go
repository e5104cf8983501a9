// Package blame finds the content that crashes backend servers: a part of prompts that
// several requests share, or the whole content of one that is sent again.
//
// When a server crashes, all content that was running there is suspect. Content in a
// complete answer is cleared. What remains is blocked once it has run during a number
// of separate crashes that no other blocked content explains better.
//
// The evidence against a key is a set of crashes that only grows until an answer clears
// it, which begins a new epoch. Entries merge their evidence in any order: the higher
// epoch replaces the lower one, and crashes of the same epoch are united.
package blame

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"

	"buckthornpick/internal/clock"
	"buckthornpick/internal/telemetry"
)

// Key is the hash of a part of prompts or of the content of a request.
type Key uint64

// Crash identifies the crash of one server. Entries that see the same crash give it
// the same ID.
type Crash uint64

// Content is what a request holds that may crash a server.
type Content struct {
	// Whole is the key of the whole content.
	Whole Key
	// Parts are the keys of the parts that other requests may share.
	Parts []Key
}

// maxParts limits the parts of one request that can be blamed.
const maxParts = 256

// NewContent returns the content with the given hash, and the IDs of the parts that it
// may share with others.
func NewContent(whole uint64, partIDs []string) Content {
	c := Content{Whole: Key(whole)}
	for _, id := range partIDs[:min(len(partIDs), maxParts)] {
		c.Parts = append(c.Parts, Key(xxhash.Sum64String("part\x00"+id)))
	}
	return c
}

// Keys returns all keys of the content.
func (c *Content) Keys() []Key { return append([]Key{c.Whole}, c.Parts...) }

// NewCrash returns the ID of a crash of a server that was seen at the given time. The
// server does not crash twice within restartTime.
func NewCrash(server string, incarnation int64, at time.Time, restartTime time.Duration) Crash {
	b := binary.LittleEndian.AppendUint64([]byte(server+"\x00"), uint64(incarnation))
	return Crash(xxhash.Sum64(binary.LittleEndian.AppendUint64(b, uint64(at.UnixNano()/int64(restartTime)))))
}

const (
	// crashLimit is the number of separate crashes from which on a key is blocked, and
	// answeredCrashLimit that of a key of which an entry has seen a complete answer.
	crashLimit         = 3
	answeredCrashLimit = 4
	// separation is the time from which on two crashes count as separate. Servers that
	// are killed or cut off together crash at one moment.
	separation = 100 * time.Millisecond
	// suspectRetention is how long evidence is kept after its last change, and
	// blockedRetention that against a blocked key.
	suspectRetention = 2 * time.Minute
	blockedRetention = time.Hour
	// mergeMargin is how much younger than its retention the evidence of another entry
	// must be, so that entries do not renew what others have just forgotten.
	mergeMargin = 10 * time.Second
	// maxKeys limits the keys with evidence, and maxCrashesPerKey their crashes.
	maxKeys          = 4096
	maxCrashesPerKey = 32
	// maxAnswered limits the keys that are remembered as answered.
	maxAnswered = 1 << 14
)

// Tracker holds the evidence against the content that ran during crashes. It is safe
// for concurrent use.
type Tracker struct {
	clock clock.Clock
	log   *telemetry.Logger

	mu       sync.Mutex
	evidence map[Key]*evidence
	blocked  map[Key]bool
	// answered holds keys of which this entry has lately seen complete answers.
	answered *lru.Cache[Key, struct{}]
	trial    trial
	digest   uint64
	// isChanged is set if digest has to be computed anew.
	isChanged bool
}

// evidence is what speaks against one key.
type evidence struct {
	// epoch is the number of times that answers have cleared the key.
	epoch       uint32
	wasAnswered bool
	// crashes holds the time at which this entry has heard of each crash.
	crashes map[Crash]time.Duration
	// trials is the number of trials in this epoch.
	trials    int
	changedAt time.Duration
}

// New returns a tracker without evidence.
func New(c clock.Clock, log *telemetry.Logger) *Tracker {
	answered, _ := lru.New[Key, struct{}](maxAnswered) // fails only if the size is not positive
	return &Tracker{clock: c, log: log, evidence: map[Key]*evidence{}, blocked: map[Key]bool{}, answered: answered}
}

// RecordCrash records that the keys were running at a server when it crashed, the given
// time ago. It returns the keys for which the crash is new.
func (t *Tracker) RecordCrash(crash Crash, age time.Duration, keys []Key) []Key {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock()
	t.expireLocked(now)
	var added []Key
	for _, key := range keys {
		e := t.evidenceLocked(key)
		if _, isKnown := e.crashes[crash]; !isKnown && len(e.crashes) < maxCrashesPerKey {
			e.crashes[crash], e.changedAt = now-age, now
			added = append(added, key)
		}
	}
	if len(added) > 0 {
		t.updateLocked()
	}
	return added
}

// evidenceLocked returns the evidence against the key and creates it if necessary.
func (t *Tracker) evidenceLocked(key Key) *evidence {
	e, ok := t.evidence[key]
	if !ok {
		e = &evidence{crashes: map[Crash]time.Duration{}, wasAnswered: t.answered.Contains(key)}
		t.evidence[key] = e
	}
	return e
}

// RecordAnswered clears the content of a request that was answered completely. It
// returns what other entries have to hear of.
func (t *Tracker) RecordAnswered(c *Content) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock()
	for _, part := range c.Parts {
		t.answered.Add(part, struct{}{})
	}
	if len(t.evidence) == 0 {
		return nil
	}
	var cleared []Record
	for _, key := range c.Keys() {
		if e, ok := t.evidence[key]; ok && len(e.crashes) > 0 {
			*e = evidence{epoch: e.epoch + 1, wasAnswered: true, crashes: map[Crash]time.Duration{}, changedAt: now}
			cleared = append(cleared, e.record(key, now))
		}
	}
	if len(cleared) > 0 {
		t.updateLocked()
	}
	return cleared
}

// HasEvidence reports whether there are crashes against anything in the content.
func (t *Tracker) HasEvidence(c *Content) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(c.Keys(), func(key Key) bool { e, ok := t.evidence[key]; return ok && len(e.crashes) > 0 })
}

// CrashCount returns the number of crashes against the key.
func (t *Tracker) CrashCount(key Key) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.evidence[key]; ok {
		return len(e.crashes)
	}
	return 0
}

// expireLocked deletes evidence that has not changed for its retention.
func (t *Tracker) expireLocked(now time.Duration) {
	size := len(t.evidence)
	maps.DeleteFunc(t.evidence, func(key Key, e *evidence) bool { return now-e.changedAt > t.retentionLocked(key) })
	if len(t.evidence) != size {
		t.updateLocked()
	}
}

func (t *Tracker) retentionLocked(key Key) time.Duration {
	if t.blocked[key] {
		return blockedRetention
	}
	return suspectRetention
}

// updateLocked brings everything that depends on the evidence up to date.
func (t *Tracker) updateLocked() {
	t.isChanged = true
	t.evictLocked()
	before := t.blocked
	t.blocked = map[Key]bool{}
	defer func() { t.logChangesLocked(before) }()
	var candidates []Key
	separate := map[Key]int{}
	for key, e := range t.evidence {
		if separate[key] = countSeparate(e.crashes, nil); separate[key] >= e.crashLimit() {
			candidates = append(candidates, key)
		}
	}
	slices.SortFunc(candidates, func(a, b Key) int { return cmp.Compare(separate[b], separate[a]) })
	for _, key := range candidates {
		e := t.evidence[key]
		isExplained := func(crash Crash) bool {
			for other := range t.blocked {
				o := t.evidence[other]
				if _, ran := o.crashes[crash]; ran && separate[other] > separate[key] && o.crashLimit() <= e.crashLimit() {
					return true
				}
			}
			return false
		}
		if countSeparate(e.crashes, isExplained) >= e.crashLimit() {
			t.blocked[key] = true
		}
	}
}

// logChangesLocked logs what was blocked or unblocked since before.
func (t *Tracker) logChangesLocked(before map[Key]bool) {
	for key := range t.blocked {
		if !before[key] {
			e := t.evidence[key]
			t.log.Log(EvBlocked, "key", key, "crashes", len(e.crashes), "answered_before", e.wasAnswered, "epoch", e.epoch)
		}
	}
	for key := range before {
		if !t.blocked[key] {
			t.log.Log(EvUnblocked, "key", key)
		}
	}
}

func (e *evidence) crashLimit() int {
	if e.wasAnswered {
		return answeredCrashLimit
	}
	return crashLimit
}

// countSeparate returns the number of crashes, other than the explained ones, that are
// at least the separation apart.
func countSeparate(crashes map[Crash]time.Duration, isExplained func(Crash) bool) int {
	if len(crashes) < crashLimit {
		return len(crashes) // too few to block a key
	}
	times := make([]time.Duration, 0, len(crashes))
	for crash, at := range crashes {
		if isExplained == nil || !isExplained(crash) {
			times = append(times, at)
		}
	}
	slices.Sort(times)
	n, last := 0, time.Duration(0)
	for _, at := range times {
		if n == 0 || at-last >= separation {
			n, last = n+1, at
		}
	}
	return n
}

// evictLocked drops the weakest evidence, the oldest first, once there are more than
// maxKeys keys. It makes room for a quarter of them, since it looks at all.
func (t *Tracker) evictLocked() {
	if len(t.evidence) <= maxKeys {
		return
	}
	keys := slices.SortedFunc(maps.Keys(t.evidence), func(a, b Key) int {
		x, y := t.evidence[a], t.evidence[b]
		return cmp.Or(cmp.Compare(countSeparate(x.crashes, nil), countSeparate(y.crashes, nil)), cmp.Compare(x.changedAt, y.changedAt))
	})
	for _, key := range keys[:len(keys)-maxKeys*3/4] {
		delete(t.evidence, key)
	}
}

// Digest returns a hash of the evidence, which is equal at entries with the same.
func (t *Tracker) Digest() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expireLocked(t.clock())
	if !t.isChanged {
		return t.digest
	}
	t.digest, t.isChanged = 0, false
	var b [32]byte
	for key, e := range t.evidence {
		crashes := uint64(0)
		for crash := range e.crashes {
			crashes ^= uint64(crash)
		}
		binary.LittleEndian.PutUint64(b[0:], uint64(key))
		binary.LittleEndian.PutUint64(b[8:], crashes)
		binary.LittleEndian.PutUint32(b[16:], e.epoch)
		binary.LittleEndian.PutUint32(b[20:], uint32(e.trials))
		b[24] = 0
		if e.wasAnswered {
			b[24] = 1
		}
		t.digest ^= xxhash.Sum64(b[:])
	}
	return t.digest
}

// MaxCrashCount returns the number of crashes against the part of the content, or the
// whole, with the most.
func (t *Tracker) MaxCrashCount(c *Content) int {
	n := 0
	for _, key := range c.Keys() {
		n = max(n, t.CrashCount(key))
	}
	return n
}
