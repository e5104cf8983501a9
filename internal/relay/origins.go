package relay

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"buckthornpick/internal/clock"
	"buckthornpick/internal/follow"
)

const (
	// originRetention is how long the origin of a stream is kept: the longest time
	// that callers wait for a stream and their retries.
	originRetention = 2 * time.Minute
	// originHistory is how long an origin counts as used after its last server has
	// left. It exceeds originRetention by maxOriginViewAge, so that the views of two
	// entries, one of which is that old, have some time in common.
	originHistory = originRetention + maxOriginViewAge
	// maxOriginViewAge is the age from which on a view of the registry does not count
	// as settled: an entry that is cut off may not know of a new version. It exceeds
	// the age between two polls.
	maxOriginViewAge = 4 * time.Second
	// minOriginWatch is how long an entry must have watched a rule's servers before
	// its view counts as settled. Callers resume streams that a restart of all entries
	// cut off sooner than that.
	minOriginWatch = 10 * time.Second
	// maxOriginRecords limits the number of records.
	maxOriginRecords = 1 << 16
)

// OriginRecord is the origin of the stream whose first event an attempt of a caller
// brought.
type OriginRecord struct {
	AttemptID string       `msgpack:"a"`
	Origin    StreamOrigin `msgpack:"o"`
}

// OriginAnswer is what an entry knows about the origin of a stream.
type OriginAnswer struct {
	// IsKnown is true if there is a record; the fields after Origin are then unset.
	IsKnown bool         `msgpack:"k,omitempty"`
	Origin  StreamOrigin `msgpack:"o,omitempty"`
	// Seen holds the origins that the stream's rule has lately had, sorted.
	Seen []StreamOrigin `msgpack:"s,omitempty"`
	// IsSettled is true if the entry has watched them for long enough, and if the last
	// confirmation of its view is not too old, for Seen to hold the origin of any
	// stream of which there is no record.
	IsSettled bool `msgpack:"t,omitempty"`
}

// Merge returns the joint knowledge of two entries without a record.
func (a OriginAnswer) Merge(b OriginAnswer) OriginAnswer {
	seen := slices.Concat(a.Seen, b.Seen)
	slices.SortFunc(seen, compareOrigins)
	return OriginAnswer{Seen: slices.Compact(seen), IsSettled: a.IsSettled || b.IsSettled}
}

func compareOrigins(a, b StreamOrigin) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version))
}

// Origins holds the origins of streams that callers may resume, and the origins that
// each rule has lately had. Streams of a rule with a single origin need no record at
// other entries. It is safe for concurrent use.
type Origins struct {
	clock   clock.Clock
	viewAge func() time.Duration

	mu       sync.Mutex
	document *follow.Document
	servers  []follow.Server
	// rules are keyed by the name of the rule, records by the ID of the attempt.
	rules   map[string]*ruleOrigins
	records map[string]originRecord
	// unshared holds the keys of the records that were not shared, by rule.
	unshared map[string]map[string]bool
	// queue holds the keys of records in the order of their creation.
	queue []queuedOrigin
}

// ruleOrigins holds the origins that a rule has lately had.
type ruleOrigins struct {
	// watchedSince is when the rule first had a server.
	watchedSince time.Duration
	current      map[StreamOrigin]bool
	// lastSeen holds the time of the last change at which the origin was current.
	lastSeen map[StreamOrigin]time.Duration
}

// originRecord is the origin of one stream.
type originRecord struct {
	origin StreamOrigin
	// rule is the rule of a stream that this entry began.
	rule      string
	createdAt time.Duration
}

type queuedOrigin struct {
	attemptID string
	createdAt time.Duration
}

// NewOrigins returns an empty set of records. viewAge returns the time since the view
// of the registry of backend servers was last confirmed.
func NewOrigins(c clock.Clock, viewAge func() time.Duration) *Origins {
	return &Origins{clock: c, viewAge: viewAge, rules: map[string]*ruleOrigins{}, records: map[string]originRecord{}, unshared: map[string]map[string]bool{}}
}

// SetDocument sets the configuration document. It returns the records that must be
// shared with other entries because their rules got a second origin.
func (o *Origins) SetDocument(doc *follow.Document) []OriginRecord {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.document = doc
	return o.updateLocked()
}

// SetServers replaces the list of registered backend servers. It returns records as
// SetDocument does.
func (o *Origins) SetServers(list []follow.Server) []OriginRecord {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.servers = list
	return o.updateLocked()
}

// updateLocked updates the origins of all rules and returns the records to share.
func (o *Origins) updateLocked() []OriginRecord {
	now := o.clock()
	for name, rule := range o.rules {
		rule.setCurrent(now, nil)
		rule.forget(now)
		if len(rule.lastSeen) == 0 {
			delete(o.rules, name)
		}
	}
	if o.document == nil {
		return nil
	}
	byService := map[string]map[StreamOrigin]bool{}
	for _, s := range o.servers {
		if byService[s.Service] == nil {
			byService[s.Service] = map[StreamOrigin]bool{}
		}
		byService[s.Service][StreamOrigin{Service: s.Service, Version: s.Version}] = true
	}
	for i := range o.document.Document.Rules {
		r := &o.document.Document.Rules[i]
		if r.Then.Call == nil || r.Then.Call.Repetition != resumable {
			continue
		}
		current := map[StreamOrigin]bool{}
		for _, service := range servicesOf(&r.Then) {
			maps.Copy(current, byService[service])
		}
		if len(current) == 0 {
			continue
		}
		rule, ok := o.rules[r.Name]
		if !ok {
			rule = &ruleOrigins{watchedSince: now, lastSeen: map[StreamOrigin]time.Duration{}}
			o.rules[r.Name] = rule
		}
		rule.setCurrent(now, current)
	}
	return o.takeUnsharedLocked()
}

// setCurrent replaces the current origins.
func (r *ruleOrigins) setCurrent(now time.Duration, current map[StreamOrigin]bool) {
	for origin := range r.current {
		r.lastSeen[origin] = now
	}
	for origin := range current {
		r.lastSeen[origin] = now
	}
	r.current = current
}

// forget drops the origins that were last seen before originHistory.
func (r *ruleOrigins) forget(now time.Duration) {
	maps.DeleteFunc(r.lastSeen, func(origin StreamOrigin, at time.Duration) bool {
		return !r.current[origin] && now-at > originHistory
	})
}

// takeUnsharedLocked returns the records of rules with several origins that were not
// shared yet, and marks them as shared.
func (o *Origins) takeUnsharedLocked() []OriginRecord {
	o.expireLocked(o.clock())
	var taken []OriginRecord
	for name, rule := range o.rules {
		if len(rule.lastSeen) < 2 {
			continue
		}
		for id := range o.unshared[name] {
			taken = append(taken, OriginRecord{AttemptID: id, Origin: o.records[id].origin})
		}
		delete(o.unshared, name)
	}
	return taken
}

// Record records the origin of a stream that this entry begins under a rule. It
// reports whether the record must be shared with other entries now.
func (o *Origins) Record(rule string, record OriginRecord) (mustShare bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if record.AttemptID == "" {
		return false
	}
	o.putLocked(record, rule)
	if !o.answerLocked(rule).IsSettled {
		return true
	}
	if o.unshared[rule] == nil {
		o.unshared[rule] = map[string]bool{}
	}
	o.unshared[rule][record.AttemptID] = true
	return false
}

// MergeRecords adds the records of another entry.
func (o *Origins) MergeRecords(records []OriginRecord) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, record := range records {
		o.putLocked(record, "")
	}
}

func (o *Origins) putLocked(record OriginRecord, rule string) {
	now := o.clock()
	o.deleteLocked(record.AttemptID)
	o.records[record.AttemptID] = originRecord{origin: record.Origin, rule: rule, createdAt: now}
	o.queue = append(o.queue, queuedOrigin{attemptID: record.AttemptID, createdAt: now})
	o.expireLocked(now)
}

// deleteLocked deletes the record of an attempt, if there is one.
func (o *Origins) deleteLocked(attemptID string) {
	delete(o.unshared[o.records[attemptID].rule], attemptID)
	delete(o.records, attemptID)
}

// expireLocked drops expired records, and the oldest ones above maxOriginRecords.
func (o *Origins) expireLocked(now time.Duration) {
	n := 0
	for n < len(o.queue) && (now-o.queue[n].createdAt > originRetention || len(o.queue)-n > maxOriginRecords) {
		first := o.queue[n]
		if record, ok := o.records[first.attemptID]; ok && record.createdAt == first.createdAt {
			o.deleteLocked(first.attemptID)
		}
		n++
	}
	o.queue = o.queue[n:]
}

// Find returns what this entry knows about the origin of the stream that an attempt
// began under a rule.
func (o *Origins) Find(rule, attemptID string) OriginAnswer {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.expireLocked(o.clock())
	if record, ok := o.records[attemptID]; ok {
		return OriginAnswer{IsKnown: true, Origin: record.origin}
	}
	return o.answerLocked(rule)
}

// answerLocked returns the answer about a stream of the rule without a record.
// IsSettled is only true with a single origin.
func (o *Origins) answerLocked(name string) OriginAnswer {
	rule := o.rules[name]
	if rule == nil {
		return OriginAnswer{}
	}
	now := o.clock()
	rule.forget(now)
	return OriginAnswer{
		Seen:      slices.SortedFunc(maps.Keys(rule.lastSeen), compareOrigins),
		IsSettled: len(rule.lastSeen) == 1 && now-rule.watchedSince >= minOriginWatch && o.viewAge() <= maxOriginViewAge,
	}
}
