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
	// unreadableFrom is when the store last confirmed the version in force, by the
	// follower's clock, if it has a later one that could not be decoded; nil otherwise.
	unreadableFrom atomic.Pointer[time.Duration]
	onChange       func(*Document)
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
// time since the store last confirmed it. A version that cannot be decoded confirms none,
// so that what it may have taken away is not granted for longer than while the store
// is away.
func (d *Documents) Current() (*Document, time.Duration) {
	age := d.follower.Age()
	if from := d.unreadableFrom.Load(); from != nil {
		age = max(age, d.follower.clock()-*from)
	}
	return d.current.Load(), age
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
		if d.unreadableFrom.Load() == nil {
			from := d.follower.clock() - d.follower.Age()
			d.unreadableFrom.Store(&from)
		}
		return
	}
	defer d.unreadableFrom.Store(nil) // once the version is in force
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
