// Package originstore keeps in the key-value store what entries must know about the
// origins of streams after all entries have failed. The origin of a stream is the service
// and the software version of the servers that write it; no other servers may continue it.
//
// Invariants:
//   - A resumable stream begins only at an origin that is declared in the store, under a
//     rule that is declared for its service. An entry that reads the declarations after a
//     caller has returned therefore knows every origin that the caller's stream can have.
//   - A declaration is removed only once no stream that began under it can be resumed.
//   - A record, once written, is never changed. Records may be missing; a stream without
//     one is continued only if its rule has a single origin.
package originstore

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"buckthornpick/internal/fault"
	"buckthornpick/internal/relay"
	"buckthornpick/internal/strictmsg"
)

// DeclarationsKey is the key of the declarations.
const DeclarationsKey = "buckthornpick/origins/declared"

const (
	// copyValidity is how long after an entry has read the declarations it may begin
	// streams under them. An entry that is cut off from the store goes on for so long.
	copyValidity = 10 * time.Minute
	// retention is how long a declaration outlasts the last sight of its servers: entries
	// may begin streams for copyValidity, and callers may resume them for two minutes. The
	// rest covers steps of the wall clocks that the times are taken from.
	retention = copyValidity + relay.OriginRetention + 30*time.Second
	// redeclareTime is the time within which all entries that are in touch declare their
	// origins again after the store has come back from a copy.
	redeclareTime = 6 * time.Second
)

// Declarations are the origins that streams may have begun at. Times are in milliseconds
// since the Unix epoch.
type Declarations struct {
	// Generation is the generation of the store that the declarations were made in. In a
	// later one some of them may be lost.
	Generation int64
	// CompleteAt is when they hold the origins of all streams that may be resumed.
	CompleteAt int64
	// IsUpgrade is true if until then entries of a version without declarations may run, or
	// have run.
	IsUpgrade bool
	// Origins and Rules hold when each was last in use, 0 while it is.
	Origins map[relay.StreamOrigin]int64
	Rules   map[relay.RuleService]int64
}

// format is the version of the encoding. Entries ignore fields that they do not know, so
// it rises only if the meaning of a field changes.
const format = 1

// encodedDeclarations is the stored form of Declarations, sorted.
type encodedDeclarations struct {
	Format     int             `msgpack:"f"`
	Generation int64           `msgpack:"g"`
	CompleteAt int64           `msgpack:"c,omitempty"`
	IsUpgrade  bool            `msgpack:"u,omitempty"`
	Origins    []encodedOrigin `msgpack:"o"`
	Rules      []encodedRule   `msgpack:"r"`
}

type encodedOrigin struct {
	Service string `msgpack:"s"`
	Version string `msgpack:"v"`
	GoneAt  int64  `msgpack:"g,omitempty"`
}

type encodedRule struct {
	Rule    string `msgpack:"u"`
	Service string `msgpack:"s"`
	GoneAt  int64  `msgpack:"g,omitempty"`
}

func newDeclarations() *Declarations {
	return &Declarations{Origins: map[relay.StreamOrigin]int64{}, Rules: map[relay.RuleService]int64{}}
}

func (d *Declarations) clone() *Declarations {
	c := *d
	c.Origins, c.Rules = maps.Clone(d.Origins), maps.Clone(d.Rules)
	return &c
}

func (d *Declarations) encode() ([]byte, error) {
	e := encodedDeclarations{Format: format, Generation: d.Generation, CompleteAt: d.CompleteAt, IsUpgrade: d.IsUpgrade}
	for origin, goneAt := range d.Origins {
		e.Origins = append(e.Origins, encodedOrigin{origin.Service, origin.Version, goneAt})
	}
	for rule, goneAt := range d.Rules {
		e.Rules = append(e.Rules, encodedRule{rule.Rule, rule.Service, goneAt})
	}
	slices.SortFunc(e.Origins, func(a, b encodedOrigin) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version))
	})
	slices.SortFunc(e.Rules, func(a, b encodedRule) int {
		return cmp.Or(cmp.Compare(a.Rule, b.Rule), cmp.Compare(a.Service, b.Service))
	})
	return msgpack.Marshal(e)
}

// decodeDeclarations returns an error of kind fault.Invalid if the value has another
// format.
func decodeDeclarations(value []byte) (*Declarations, error) {
	var e encodedDeclarations
	if err := strictmsg.Unmarshal(value, &e); err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "origins.decode", DeclarationsKey, "cannot decode the declarations")
	}
	if e.Format != format {
		return nil, fault.New(fault.Invalid, "origins.decode", DeclarationsKey, "unknown format %d", e.Format)
	}
	d := newDeclarations()
	d.Generation, d.CompleteAt, d.IsUpgrade = e.Generation, e.CompleteAt, e.IsUpgrade
	for _, o := range e.Origins {
		d.Origins[relay.StreamOrigin{Service: o.Service, Version: o.Version}] = o.GoneAt
	}
	for _, r := range e.Rules {
		d.Rules[relay.RuleService{Rule: r.Rule, Service: r.Service}] = r.GoneAt
	}
	return d, nil
}

// covers reports whether all origins and rules in use are declared as in use.
func (d *Declarations) covers(uses relay.OriginUses) bool {
	return coversAll(d.Origins, uses.Origins) && coversAll(d.Rules, uses.Rules)
}

func coversAll[K comparable](declared map[K]int64, inUse map[K]bool) bool {
	for k := range inUse {
		if goneAt, ok := declared[k]; !ok || goneAt != 0 {
			return false
		}
	}
	return true
}

// declare adds what is in use.
func (d *Declarations) declare(uses relay.OriginUses) {
	for origin := range uses.Origins {
		d.Origins[origin] = 0
	}
	for rule := range uses.Rules {
		d.Rules[rule] = 0
	}
}

// merge adds the declarations of other that d lacks, or that are in use there.
func (d *Declarations) merge(other *Declarations) {
	mergeUses(d.Origins, other.Origins)
	mergeUses(d.Rules, other.Rules)
}

func mergeUses[K comparable](into, from map[K]int64) {
	for k, goneAt := range from {
		if known, ok := into[k]; !ok || goneAt == 0 || known != 0 && goneAt > known {
			into[k] = goneAt
		}
	}
}

// retire marks what is no longer in use, and removes what has not been for the retention.
// It reports whether it has changed anything.
func (d *Declarations) retire(uses relay.OriginUses, now time.Duration) bool {
	origins := retireUnused(d.Origins, uses.Origins, now)
	return retireUnused(d.Rules, uses.Rules, now) || origins
}

func retireUnused[K comparable](declared map[K]int64, inUse map[K]bool, now time.Duration) (isChanged bool) {
	for k, goneAt := range declared {
		switch {
		case inUse[k]:
		case goneAt == 0:
			declared[k], isChanged = now.Milliseconds(), true
		case now.Milliseconds()-goneAt > retention.Milliseconds():
			delete(declared, k)
			isChanged = true
		}
	}
	return isChanged
}

// candidates returns the origins that a stream of the rule may have, sorted.
func (d *Declarations) candidates(rule string) []relay.StreamOrigin {
	var list []relay.StreamOrigin
	for origin := range d.Origins {
		if _, ok := d.Rules[relay.RuleService{Rule: rule, Service: origin.Service}]; ok {
			list = append(list, origin)
		}
	}
	slices.SortFunc(list, relay.CompareOrigins)
	return list
}

// completeIn returns the time until the declarations are complete in the generation of
// the store, 0 if they are, given the time since the Unix epoch.
func (d *Declarations) completeIn(generation int64, now time.Duration) time.Duration {
	if d.Generation != generation {
		return redeclareTime
	}
	return max(0, time.Duration(d.CompleteAt)*time.Millisecond-now)
}
