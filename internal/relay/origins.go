package relay

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"buckthornpick/internal/clock"
	"buckthornpick/internal/follow"
)

const (
	// OriginRetention is how long the origin of a stream is kept: the longest time
	// that callers wait for a stream and their retries.
	OriginRetention = 2 * time.Minute
	// originHistory is how long an origin counts as used after its last server has
	// left. It exceeds OriginRetention by maxOriginViewAge, so that the views of two
	// entries, one of which is that old, have some time in common.
	originHistory = OriginRetention + maxOriginViewAge
	// maxOriginViewAge is the age from which on a view of the registry does not count
	// as settled: an entry that is cut off may not know of a new version. It exceeds
	// the age between two polls of the store, whose wait and pause both count twice.
	maxOriginViewAge = 5 * time.Second
	// minOriginWatch is how long an entry must have watched the servers during an upgrade
	// from a version without declarations before its view counts as settled.
	minOriginWatch = 10 * time.Second
	// reregistrationTime is the time within which the servers that live are registered again
	// after the store was away, or has come back from a copy.
	reregistrationTime = 3 * time.Second
	// maxOriginRecords limits the number of records.
	maxOriginRecords = 1 << 16
)

// OriginRecord is the origin of the stream whose first event an attempt of a caller
// brought.
type OriginRecord struct {
	AttemptID string       `msgpack:"a"`
	Origin    StreamOrigin `msgpack:"o"`
	// Remaining is how long the caller waits for the stream, from the time at which the
	// record is sent; 0 is unknown.
	Remaining time.Duration `msgpack:"r,omitempty"`
}

// RuleService is a service that a rule sends resumable streams to.
type RuleService struct{ Rule, Service string }

// OriginUses holds the origins that streams may begin at: those of the registered
// servers, under the rules whose service has them.
type OriginUses struct {
	Origins map[StreamOrigin]bool
	Rules   map[RuleService]bool
}

func newOriginUses() OriginUses {
	return OriginUses{Origins: map[StreamOrigin]bool{}, Rules: map[RuleService]bool{}}
}

// DeclaredOrigins holds the origins that are declared in the store, where entries find
// them that have just started.
type DeclaredOrigins struct {
	// InUse holds the declarations that streams may begin under.
	InUse OriginUses
	// ByRule holds the origins that the streams of each rule may have, also those that
	// are no longer in use, sorted.
	ByRule map[string][]StreamOrigin
	// ValidUntil is when the declarations become too old to begin streams under them, and
	// CompleteAt when they hold the origins of all streams.
	ValidUntil, CompleteAt time.Duration
	// IsUpgrade is true if until CompleteAt entries of a version without declarations may
	// run, or have run.
	IsUpgrade bool
}

// OriginStore finds origins of streams in the store.
type OriginStore interface {
	// Find returns what the store holds about the origin of the stream that an attempt
	// began under a rule. The data are not older than the call. If they cannot be read,
	// the error is that of the store or of ctx.
	Find(ctx context.Context, rule, attemptID string) (StoredOrigin, error)
}

// StoredOrigin is what the store holds about the origin of a stream.
type StoredOrigin struct {
	// IsKnown is true if there is a record of the stream, and IsOnly if there is none but
	// its rule has had a single origin. Origin is unset otherwise.
	IsKnown, IsOnly bool
	Origin          StreamOrigin
	// Seen holds the origins that the stream may have, sorted.
	Seen []StreamOrigin
	// CompleteIn is the time until Seen is complete; 0 if it is. IsUpgrade is true if it is
	// not because of entries of a version without declarations.
	CompleteIn time.Duration
	IsUpgrade  bool
}

// OriginAnswer is what an entry knows about the origin of a stream.
type OriginAnswer struct {
	// IsKnown is true if there is a record; the fields after Origin are then unset.
	IsKnown bool         `msgpack:"k,omitempty"`
	Origin  StreamOrigin `msgpack:"o,omitempty"`
	// Seen holds the origins that the stream's rule has lately had, sorted.
	Seen []StreamOrigin `msgpack:"s,omitempty"`
	// IsSettled is true if Seen holds the origin of any stream of which there is no record,
	// unless one began since the last confirmation of the entry's view.
	IsSettled bool `msgpack:"t,omitempty"`
	// Only is the single origin that the stream can have by the store, read since the
	// question; nil if there are several, or if the question does not ask for it.
	Only *StreamOrigin `msgpack:"n,omitempty"`
}

// Merge returns the joint knowledge of two entries without a record.
func (a OriginAnswer) Merge(b OriginAnswer) OriginAnswer {
	seen := slices.Concat(a.Seen, b.Seen)
	slices.SortFunc(seen, CompareOrigins)
	return OriginAnswer{Seen: slices.Compact(seen), IsSettled: a.IsSettled || b.IsSettled, Only: cmp.Or(a.Only, b.Only)}
}

// CompareOrigins orders origins by service and version.
func CompareOrigins(a, b StreamOrigin) int {
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
	// hasServers is true once the list of servers is known, which was at serversAt.
	hasServers bool
	serversAt  time.Duration
	// accepting holds the origins with servers that accept requests, and stoppedAt when
	// the others ceased to have any.
	accepting map[StreamOrigin]bool
	stoppedAt map[StreamOrigin]time.Duration
	// uses are the origins in the view; usesChanged is closed and replaced when they
	// change.
	uses        OriginUses
	usesChanged chan struct{}
	declared    DeclaredOrigins
	// rules are keyed by the name of the rule, records by the ID of the attempt.
	rules   map[string]*ruleOrigins
	records map[string]originRecord
	// unshared holds the keys of the records that were not shared, by rule.
	unshared map[string]map[string]bool
	// queue holds the keys of records in the order of their creation.
	queue []queuedOrigin
	// processes are those that may write streams. unsettled holds the keys of the records
	// whose writer's version is not settled, judged at each change of the view and at the
	// first record after each confirmation.
	processes          processHistories
	unsettled          map[string]bool
	unsettledCheckedAt time.Duration
}

// ruleOrigins holds the origins that a rule has lately had.
type ruleOrigins struct {
	current map[StreamOrigin]bool
	// lastSeen holds the time of the last change at which the origin was current.
	lastSeen map[StreamOrigin]time.Duration
}

// originRecord is the origin of one stream.
type originRecord struct {
	origin StreamOrigin
	// rule is the rule of a stream that this entry began.
	rule      string
	createdAt time.Duration
	// callerEnd is when the caller stops waiting; 0 is unknown.
	callerEnd time.Duration
	// writer and lastEventAt are set for a stream that this entry began.
	writer      *StreamWriter
	lastEventAt time.Duration
}

// toShare returns the record as it is sent to other entries.
func (r originRecord) toShare(attemptID string, now time.Duration) OriginRecord {
	record := OriginRecord{AttemptID: attemptID, Origin: r.origin}
	if r.callerEnd > 0 {
		record.Remaining = max(1, r.callerEnd-now)
	}
	return record
}

type queuedOrigin struct {
	attemptID string
	createdAt time.Duration
}

// NewOrigins returns an empty set of records. viewAge returns the time since the view
// of the registry of backend servers was last confirmed.
func NewOrigins(c clock.Clock, viewAge func() time.Duration) *Origins {
	return &Origins{
		clock: c, viewAge: viewAge, uses: newOriginUses(), usesChanged: make(chan struct{}), stoppedAt: map[StreamOrigin]time.Duration{},
		rules: map[string]*ruleOrigins{}, records: map[string]originRecord{}, unshared: map[string]map[string]bool{},
		processes: processHistories{}, unsettled: map[string]bool{},
	}
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
	if !o.hasServers {
		o.hasServers, o.serversAt = true, o.clock()
	}
	o.servers = list
	o.setAcceptingLocked()
	o.processes.update(list, o.clock(), o.clock()-o.viewAge())
	corrected := o.settleLocked()
	return append(corrected, o.updateLocked()...)
}

// setAcceptingLocked updates the origins with servers that accept requests.
func (o *Origins) setAcceptingLocked() {
	accepting := map[StreamOrigin]bool{}
	for _, s := range o.servers {
		if !s.Leaving {
			accepting[StreamOrigin{Service: s.Service, Version: s.Version}] = true
		}
	}
	now := o.clock()
	for origin := range o.accepting {
		if !accepting[origin] {
			o.stoppedAt[origin] = now
		}
	}
	maps.DeleteFunc(o.stoppedAt, func(origin StreamOrigin, at time.Duration) bool {
		return accepting[origin] || now-at > OriginRetention
	})
	o.accepting = accepting
}

// GoneIn returns the time until an origin without servers that accept requests counts as
// gone for good; 0 if it does.
func (o *Origins) GoneIn(origin StreamOrigin) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return max(0, max(o.serversAt, o.stoppedAt[origin])+reregistrationTime-o.clock())
}

// SetDeclared replaces the declarations. It returns records as SetDocument does.
func (o *Origins) SetDeclared(declared DeclaredOrigins) []OriginRecord {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.declared = declared
	return o.takeUnsharedLocked()
}

// Uses returns the origins that streams may begin at once they are declared; ok is false
// until the document and the servers are known.
func (o *Origins) Uses() (uses OriginUses, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.uses, o.document != nil && o.hasServers
}

// UsesChanged returns a channel that is closed at the next change of Uses.
func (o *Origins) UsesChanged() <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.usesChanged
}

// DeclaredVersions returns the versions of a service at whose servers a stream may begin
// under a rule.
func (o *Origins) DeclaredVersions(rule, service string) map[string]bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	versions := map[string]bool{}
	if o.clock() > o.declared.ValidUntil || !o.declared.InUse.Rules[RuleService{rule, service}] {
		return versions
	}
	for origin, isInUse := range o.declared.InUse.Origins {
		if isInUse && origin.Service == service {
			versions[origin.Version] = true
		}
	}
	return versions
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
	uses := newOriginUses()
	for i := range o.document.Document.Rules {
		r := &o.document.Document.Rules[i]
		if r.Then.Call == nil || r.Then.Call.Repetition != resumable {
			continue
		}
		current := map[StreamOrigin]bool{}
		for _, service := range servicesOf(&r.Then) {
			maps.Copy(current, byService[service])
			maps.Copy(uses.Origins, byService[service])
			uses.Rules[RuleService{r.Name, service}] = true
		}
		if len(current) == 0 {
			continue
		}
		rule, ok := o.rules[r.Name]
		if !ok {
			rule = &ruleOrigins{lastSeen: map[StreamOrigin]time.Duration{}}
			o.rules[r.Name] = rule
		}
		rule.setCurrent(now, current)
	}
	if !maps.Equal(uses.Origins, o.uses.Origins) || !maps.Equal(uses.Rules, o.uses.Rules) {
		o.uses = uses
		close(o.usesChanged)
		o.usesChanged = make(chan struct{})
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
	for name := range o.unshared {
		if len(o.seenLocked(name)) < 2 {
			continue
		}
		for id := range o.unshared[name] {
			taken = append(taken, o.records[id].toShare(id, o.clock()))
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
	kept := originRecord{origin: record.Origin, rule: rule, createdAt: now}
	if record.Remaining > 0 {
		kept.callerEnd = now + record.Remaining
	}
	o.records[record.AttemptID] = kept
	o.queue = append(o.queue, queuedOrigin{attemptID: record.AttemptID, createdAt: now})
	o.expireLocked(now)
}

// deleteLocked deletes the record of an attempt, if there is one.
func (o *Origins) deleteLocked(attemptID string) {
	delete(o.unshared[o.records[attemptID].rule], attemptID)
	delete(o.unsettled, attemptID)
	delete(o.records, attemptID)
}

// expireLocked drops expired records, and the oldest ones above maxOriginRecords.
func (o *Origins) expireLocked(now time.Duration) {
	n := 0
	for n < len(o.queue) && (now-o.queue[n].createdAt > OriginRetention || len(o.queue)-n > maxOriginRecords) {
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
	seen, now := o.seenLocked(name), o.clock()
	isDeclared := now <= o.declared.ValidUntil && len(o.declared.ByRule[name]) == 1
	if now < o.declared.CompleteAt {
		isDeclared = isDeclared && o.declared.IsUpgrade && now-o.serversAt >= minOriginWatch
	}
	return OriginAnswer{Seen: seen, IsSettled: len(seen) == 1 && isDeclared && o.viewAge() <= maxOriginViewAge}
}

// seenLocked returns the origins that the rule has lately had, by this entry's view or by
// the declarations, sorted.
func (o *Origins) seenLocked(name string) []StreamOrigin {
	seen := slices.Clone(o.declared.ByRule[name])
	if rule := o.rules[name]; rule != nil {
		rule.forget(o.clock())
		seen = slices.AppendSeq(seen, maps.Keys(rule.lastSeen))
	}
	slices.SortFunc(seen, CompareOrigins)
	return slices.Compact(seen)
}
