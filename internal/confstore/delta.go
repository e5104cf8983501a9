package confstore

import (
	"reflect"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"buckthornpick/internal/config"
	"buckthornpick/internal/fault"
)

// maxRecent bounds the earlier documents from which a node can tell changes.
const maxRecentSnapshots = 16

// Delta leads from one revision of the document to another.
type Delta struct {
	// Since is the revision that the delta starts from; 0 is no document, and
	// the lists are then whole.
	BaseRevision int64  `msgpack:"b,omitempty"`
	Revision     int64  `msgpack:"v"`
	OperationID  string `msgpack:"o,omitempty"`

	Organisations splice[config.Organisation] `msgpack:"og"`
	Services      splice[config.Service]      `msgpack:"sv"`
	Rules         splice[config.Rule]         `msgpack:"ru"`
	OlderSystem   *config.OlderSystem         `msgpack:"ol,omitempty"`
	// Sum is the checksum of the resulting document; checked if Since is not 0.
	Checksum uint64 `msgpack:"s"`
}

// splice keeps the first and the last elements of a list and replaces those
// between them.
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

// apply returns a new list; ok is false if the splice does not fit.
func (s splice[T]) apply(from []T) (to []T, ok bool) {
	if s.First < 0 || s.Last < 0 || s.First+s.Last > len(from) {
		return nil, false
	}
	to = append(to, from[:s.First]...)
	to = append(to, s.Items...)
	return append(to, from[len(from)-s.Last:]...), true
}

// WantedRevision returns the revision from which a delta is wanted: that of the
// document in force, 0 for a whole document.
func (s *Store) DeltaBaseRevision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil || s.needsFullDocument {
		return 0
	}
	return s.current.Revision
}

// DeltaSince returns what leads from an earlier revision to the document in
// force: a short delta if this node has had that revision lately, otherwise
// the whole document. ok is false before there is a document.
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

func (s *Store) findRecentLocked(revision int64) *Snapshot {
	for _, r := range s.recent {
		if r.Revision == revision {
			return r
		}
	}
	return nil
}

// ObserveDelta takes a delta from a peer and reports whether its document came
// into force. A delta from another revision than this node's is not used;
// after one that does not give the peer's document, the error is of type
// fault.Protocol and the node wants a whole document.
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

func (d *Delta) apply(from *config.Document) (*config.Document, error) {
	doc := &config.Document{Revision: d.Revision, OperationID: d.OperationID, OlderSystem: d.OlderSystem}
	var fits [3]bool
	doc.Organisations, fits[0] = d.Organisations.apply(from.Organisations)
	doc.Services, fits[1] = d.Services.apply(from.Services)
	doc.Rules, fits[2] = d.Rules.apply(from.Rules)
	sum, err := checksum(doc)
	if err != nil {
		return nil, err
	}
	// A whole document needs no checksum, and so always ends a disagreement.
	sumMatches := d.BaseRevision == 0 || sum == d.Checksum
	if fits != [3]bool{true, true, true} || !sumMatches {
		return nil, fault.New(fault.Protocol, "config.delta", "", "the delta from revision %d to %d does not fit", d.BaseRevision, d.Revision)
	}
	return doc, nil
}

// checksum is of the encoded document; an empty list counts as an absent one.
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
