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

// Key is the hash of a part of prompts or of the content of a request. The lowest bit is
// set for parts only.
type Key uint64

func (k Key) isPart() bool { return k&1 == 1 }

// Crash identifies the crash of one server. Entries that see the same crash give it
// the same ID.
type Crash uint64

// Content is what a request holds that may crash a server.
type Content struct {
	// Whole is the key of the whole content.
	Whole Key `msgpack:"w"`
	// Parts are the keys of the parts that other requests may share.
	Parts []Key `msgpack:"p,omitempty"`
}

// MaxParts limits the parts of one request that can be blamed.
const MaxParts = 256

// NewContent returns the content with the given hash, and the IDs of the parts that it
// may share with others.
func NewContent(whole uint64, partIDs []string) Content {
	c := Content{Whole: Key(whole &^ 1)}
	for _, id := range partIDs[:min(len(partIDs), MaxParts)] {
		c.Parts = append(c.Parts, Key(xxhash.Sum64String(id)|1))
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
	// candidates are the keys with enough crashes to be blocked if these are separate and
	// not explained by another key.
	candidates map[Key]bool
	blocked    map[Key]bool
	// answered holds keys of which this entry has lately seen complete answers.
	answered *lru.Cache[Key, struct{}]
	trial    trial
	// digest is the exclusive or of the hashes of all evidence.
	digest    uint64
	expiredAt time.Duration
	// isRecalled is true once the stored evidence has been read.
	isRecalled bool
}

// evidence is what speaks against one key.
type evidence struct {
	// epoch is the number of times that answers have cleared the key.
	epoch       uint32
	wasAnswered bool
	// crashes holds the time of each crash by this entry's clock.
	crashes map[Crash]time.Duration
	// trials is the number of trials in this epoch.
	trials    int
	changedAt time.Duration

	// The following fields are set by noteLocked.

	// learnedAt is the time at which this entry learned of the last change.
	learnedAt time.Duration
	// separateCount is the number of separate crashes.
	separateCount int
	hash          uint64
}

// New returns a tracker without evidence.
func New(c clock.Clock, log *telemetry.Logger) *Tracker {
	answered, _ := lru.New[Key, struct{}](maxAnswered) // fails only if the size is not positive
	return &Tracker{clock: c, log: log, evidence: map[Key]*evidence{}, candidates: map[Key]bool{}, blocked: map[Key]bool{}, answered: answered}
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
			t.noteLocked(now, key, e)
			added = append(added, key)
		}
	}
	if len(added) > 0 {
		t.judgeLocked()
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
			*e = evidence{epoch: e.epoch + 1, wasAnswered: true, crashes: map[Crash]time.Duration{}, changedAt: now, hash: e.hash}
			t.noteLocked(now, key, e)
			cleared = append(cleared, e.record(key, now))
		}
	}
	if len(cleared) > 0 {
		t.judgeLocked()
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

// expiryInterval is the time between two searches for expired evidence.
const expiryInterval = time.Second

// expireLocked deletes evidence that has not changed for its retention.
func (t *Tracker) expireLocked(now time.Duration) {
	if now-t.expiredAt < expiryInterval {
		return
	}
	t.expiredAt = now
	isChanged := false
	for key, e := range t.evidence {
		if now-e.changedAt > t.retentionLocked(key) {
			t.deleteLocked(key)
			isChanged = true
		}
	}
	if isChanged {
		t.judgeLocked()
	}
}

func (t *Tracker) retentionLocked(key Key) time.Duration {
	if t.blocked[key] {
		return blockedRetention
	}
	return suspectRetention
}

func (t *Tracker) deleteLocked(key Key) {
	t.digest ^= t.evidence[key].hash
	delete(t.evidence, key)
	delete(t.candidates, key)
}

// noteLocked brings everything that follows from the evidence against one key up to
// date; judgeLocked must be called after it.
func (t *Tracker) noteLocked(now time.Duration, key Key, e *evidence) {
	e.learnedAt = now
	e.separateCount = countSeparate(e.crashes, nil)
	if len(e.crashes) >= crashLimit {
		t.candidates[key] = true
	} else {
		delete(t.candidates, key)
	}
	t.digest ^= e.hash
	e.hash = e.computeHash(key)
	t.digest ^= e.hash
}

// computeHash returns a hash of what entries tell each other, but for times.
func (e *evidence) computeHash(key Key) uint64 {
	var b [25]byte
	crashes := uint64(0)
	for crash := range e.crashes {
		crashes ^= uint64(crash)
	}
	binary.LittleEndian.PutUint64(b[0:], uint64(key))
	binary.LittleEndian.PutUint64(b[8:], crashes)
	binary.LittleEndian.PutUint32(b[16:], e.epoch)
	binary.LittleEndian.PutUint32(b[20:], uint32(e.trials))
	if e.wasAnswered {
		b[24] = 1
	}
	return xxhash.Sum64(b[:])
}

// judgeLocked decides which keys are blocked.
func (t *Tracker) judgeLocked() {
	t.evictLocked()
	if len(t.candidates) == 0 && len(t.blocked) == 0 {
		return
	}
	before := t.blocked
	t.blocked = map[Key]bool{}
	// A key comes after those that may explain its crashes.
	candidates := slices.SortedFunc(maps.Keys(t.candidates), func(a, b Key) int {
		x, y := t.evidence[a], t.evidence[b]
		return cmp.Or(cmp.Compare(x.crashLimit(), y.crashLimit()), cmp.Compare(y.separateCount, x.separateCount))
	})
	for _, key := range candidates {
		e := t.evidence[key]
		if e.separateCount < e.crashLimit() {
			continue
		}
		if countSeparate(e.crashes, func(c Crash) bool { return t.isExplainedLocked(c, e) }) >= e.crashLimit() {
			t.blocked[key] = true
		}
	}
	t.logChangesLocked(before)
}

// isExplainedLocked reports whether a blocked key that is a better explanation of its
// crashes than the key with the evidence e ran during the crash.
func (t *Tracker) isExplainedLocked(crash Crash, e *evidence) bool {
	for key := range t.blocked {
		other := t.evidence[key]
		if _, ran := other.crashes[crash]; ran && other.isBetterExplanation(e) {
			return true
		}
	}
	return false
}

// isBetterExplanation reports whether a key explains crashes better than another: one
// that was never answered better than one that was, and otherwise the one that ran
// during more crashes.
func (e *evidence) isBetterExplanation(other *evidence) bool {
	if e.wasAnswered != other.wasAnswered {
		return other.wasAnswered
	}
	return e.separateCount > other.separateCount
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
		return cmp.Or(cmp.Compare(x.separateCount, y.separateCount), cmp.Compare(x.changedAt, y.changedAt))
	})
	for _, key := range keys[:len(keys)-maxKeys*3/4] {
		t.deleteLocked(key)
	}
}

// Digest returns a hash of the evidence, which is equal at entries with the same.
func (t *Tracker) Digest() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expireLocked(t.clock())
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
