package follow

import (
	"sync/atomic"
	"time"

	"buckthornpick/internal/config"
	"buckthornpick/internal/kv"
	"buckthornpick/internal/rules"
	"buckthornpick/internal/telemetry"
)

// Document is one version of the operators' document with its compiled rules and
// lookup tables. It is immutable.
type Document struct {
	*config.Document
	Rules *rules.Set
	// organisationsByKey is indexed by the hash of each API key.
	organisationsByKey map[string]*config.Organisation
	servicesByName     map[string]*config.Service
}

// Organisation returns the organisation that owns the API key with this hash.
func (d *Document) Organisation(keyHash string) (*config.Organisation, bool) {
	o, ok := d.organisationsByKey[keyHash]
	return o, ok
}

// Service returns the service with this name, or nil.
func (d *Document) Service(name string) *config.Service { return d.servicesByName[name] }

// newDocument compiles a document. The problems do not prevent its use.
func newDocument(doc *config.Document) (*Document, config.Problems) {
	set, problems := rules.CompileAccepted(doc)
	d := &Document{Document: doc, Rules: set, organisationsByKey: map[string]*config.Organisation{}, servicesByName: map[string]*config.Service{}}
	for i := range doc.Organisations {
		for _, hash := range doc.Organisations[i].KeyHashes {
			d.organisationsByKey[hash] = &doc.Organisations[i]
		}
	}
	for i := range doc.Services {
		d.servicesByName[doc.Services[i].Name] = &doc.Services[i]
	}
	return d, problems
}

// Documents holds the version of the operators' document that is in force. It
// ignores versions that are not newer than that.
type Documents struct {
	key      string
	decode   func([]byte) (*config.Document, error)
	log      *telemetry.Logger
	follower *Follower
	current  atomic.Pointer[Document]
	onChange func(*Document)
}

// NewDocuments returns an empty holder for the document stored under key.
// onChange is called with each new version; it may be nil.
func NewDocuments(key string, decode func([]byte) (*config.Document, error), log *telemetry.Logger, onChange func(*Document)) *Documents {
	return &Documents{key: key, decode: decode, log: log, onChange: onChange}
}

// SetFollower sets the follower that updates the holder. It must be called before
// Current.
func (d *Documents) SetFollower(f *Follower) { d.follower = f }

// Current returns the version in force, or nil before the first one, and the
// time since the store last confirmed it.
func (d *Documents) Current() (*Document, time.Duration) {
	return d.current.Load(), d.follower.Age()
}

// Replace implements Sink.
func (d *Documents) Replace(entries []kv.Entry) {
	for _, e := range entries {
		d.update(e)
	}
}

// Apply implements Sink.
func (d *Documents) Apply(events []kv.Event) {
	for _, e := range events {
		if !e.Deleted {
			d.update(e.Entry)
		}
	}
}

// StoreRestored implements Sink. The version in force stays until a newer one.
func (d *Documents) StoreRestored() {}

// StoreRecovered implements Sink.
func (d *Documents) StoreRecovered(time.Duration) {}

// update puts the document in e in force if it is newer than the current one.
func (d *Documents) update(e kv.Entry) {
	if e.Key != d.key {
		return
	}
	doc, err := d.decode(e.Value)
	if err != nil {
		d.log.Log(EvDocumentUnreadable, "revision", e.ModRevision, "error", err.Error())
		return
	}
	if old := d.current.Load(); old != nil && doc.Revision <= old.Revision {
		return
	}
	next, problems := newDocument(doc)
	if len(problems) > 0 {
		d.log.Log(EvDocumentFaults, "version", doc.Revision, "error", problems.Error())
	}
	d.current.Store(next)
	d.log.Log(EvDocumentInForce, "version", doc.Revision, "revision", e.ModRevision,
		"rules", len(doc.Rules), "services", len(doc.Services), "organisations", len(doc.Organisations))
	if d.onChange != nil {
		d.onChange(next)
	}
}
