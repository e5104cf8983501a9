package confstore

import (
	"reflect"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"buckthornpick/internal/config"
	"buckthornpick/internal/fault"
)

// maxRecentSnapshots is the number of recent documents kept as bases of deltas.
const maxRecentSnapshots = 16

// Delta holds the changes between two revisions of the document. Nodes send it
// to each other instead of the full document.
type Delta struct {
	// BaseRevision is the revision that the delta applies to. 0 means that it
	// applies to an empty document, so it holds the full lists.
	BaseRevision int64  `msgpack:"b,omitempty"`
	Revision     int64  `msgpack:"v"`
	OperationID  string `msgpack:"o,omitempty"`

	Organisations splice[config.Organisation] `msgpack:"og"`
	Services      splice[config.Service]      `msgpack:"sv"`
	Rules         splice[config.Rule]         `msgpack:"ru"`
	OlderSystem   *config.OlderSystem         `msgpack:"ol,omitempty"`
	// Checksum is the checksum of the resulting document. It is checked unless
	// BaseRevision is 0.
	Checksum uint64 `msgpack:"s"`
}

// splice keeps the first First and the last Last elements of a list and
// replaces the elements between them by Items.
type splice[T any] struct {
	First int `msgpack:"f,omitempty"`
	Last  int `msgpack:"l,omitempty"`
	Items []T `msgpack:"i,omitempty"`
}

func newSplice[T any](from, to []T) splice[T] {
	shorter := min(len(from), len(to))
	var s splice[T]
	for s.First < shorter && reflect.DeepEqual(from[s.First], to[s.First]) {
		s.First++
	}
	for s.Last < shorter-s.First && reflect.DeepEqual(from[len(from)-1-s.Last], to[len(to)-1-s.Last]) {
		s.Last++
	}
	s.Items = to[s.First : len(to)-s.Last]
	return s
}

// apply returns a new list; ok is false if from is too short for the splice.
func (s splice[T]) apply(from []T) (to []T, ok bool) {
	if s.First < 0 || s.Last < 0 || s.First+s.Last > len(from) {
		return nil, false
	}
	to = append(to, from[:s.First]...)
	to = append(to, s.Items...)
	return append(to, from[len(from)-s.Last:]...), true
}

// DeltaBaseRevision returns the revision to which the next delta from a peer must
// apply: that of the document in force, or 0 to request the full document.
func (s *Store) DeltaBaseRevision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil || s.needsFullDocument {
		return 0
	}
	return s.current.Revision
}

// DeltaSince returns the delta from an earlier revision to the document in
// force, or a delta with the full document if that revision is not among the
// recent ones of this node. ok is false if no document is in force yet.
func (s *Store) DeltaSince(revision int64) (d *Delta, ok bool, err error) {
	s.mu.Lock()
	current, base := s.current, s.findRecentLocked(revision)
	s.mu.Unlock()
	if current == nil {
		return nil, false, nil
	}
	doc := current.Document
	d = &Delta{Revision: doc.Revision, OperationID: doc.OperationID, OlderSystem: doc.OlderSystem}
	from := &config.Document{}
	if base != nil {
		d.BaseRevision, from = revision, base.Document
	}
	d.Organisations = newSplice(from.Organisations, doc.Organisations)
	d.Services = newSplice(from.Services, doc.Services)
	d.Rules = newSplice(from.Rules, doc.Rules)
	d.Checksum, err = checksum(doc)
	return d, err == nil, err
}

// findRecentLocked returns the recent snapshot of revision, or nil. s.mu must be
// held.
func (s *Store) findRecentLocked(revision int64) *Snapshot {
	for _, r := range s.recent {
		if r.Revision == revision {
			return r
		}
	}
	return nil
}

// ApplyDelta applies a delta from a peer and reports whether the resulting
// document came into force. A delta is ignored if its base is not the revision in
// force or its result is not newer. If the result differs from the peer's document, the error is
// of type fault.Protocol, and DeltaBaseRevision requests the full document.
func (s *Store) ApplyDelta(d *Delta) (bool, error) {
	from := &config.Document{}
	if current, ok := s.Current(); ok && d.Revision <= current.Revision {
		return false, nil
	} else if d.BaseRevision != 0 {
		if !ok || d.BaseRevision != current.Revision {
			return false, nil
		}
		from = current.Document
	}
	doc, err := d.apply(from)
	s.mu.Lock()
	s.needsFullDocument = err != nil
	s.mu.Unlock()
	if err != nil {
		return false, err
	}
	return s.ApplyFromPeer(doc), nil
}

// apply returns the document that results from applying d to from.
func (d *Delta) apply(from *config.Document) (*config.Document, error) {
	doc := &config.Document{Revision: d.Revision, OperationID: d.OperationID, OlderSystem: d.OlderSystem}
	var applied [3]bool
	doc.Organisations, applied[0] = d.Organisations.apply(from.Organisations)
	doc.Services, applied[1] = d.Services.apply(from.Services)
	doc.Rules, applied[2] = d.Rules.apply(from.Rules)
	sum, err := checksum(doc)
	if err != nil {
		return nil, err
	}
	// The checksum of a full document is not compared, so that a node whose document
	// differs from its peers' always gets theirs eventually.
	sumMatches := d.BaseRevision == 0 || sum == d.Checksum
	if applied != [3]bool{true, true, true} || !sumMatches {
		return nil, fault.New(fault.Protocol, "config.delta", "", "the delta from revision %d to %d does not fit", d.BaseRevision, d.Revision)
	}
	return doc, nil
}

// checksum returns the xxhash of the encoded document. Empty and nil lists give
// the same checksum.
func checksum(doc *config.Document) (uint64, error) {
	normalized := *doc
	normalized.Organisations = nilIfEmpty(normalized.Organisations)
	normalized.Services = nilIfEmpty(normalized.Services)
	normalized.Rules = nilIfEmpty(normalized.Rules)
	encoded, err := msgpack.Marshal(&normalized)
	if err != nil {
		return 0, fault.Wrap(err, fault.Invalid, "config.delta", "", "cannot encode the document")
	}
	return xxhash.Sum64(encoded), nil
}

func nilIfEmpty[T any](list []T) []T {
	if len(list) == 0 {
		return nil
	}
	return list
}
