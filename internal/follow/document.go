package follow

import (
	"sync/atomic"
	"time"

	"buckthornpick/internal/config"
	"buckthornpick/internal/kv"
	"buckthornpick/internal/rules"
	"buckthornpick/internal/telemetry"
)

// Document is a version of the operators' document, ready for use. It does not
// change.
type Document struct {
	*config.Document
	Rules *rules.Set
	// organisations by the hash of each of their keys.
	keys     map[string]*config.Organisation
	services map[string]*config.Service
}

// Organisation returns the organisation that holds the key with this hash.
func (d *Document) Organisation(keyHash string) (*config.Organisation, bool) {
	o, ok := d.keys[keyHash]
	return o, ok
}

// Service returns a service by its name, or nil.
func (d *Document) Service(name string) *config.Service { return d.services[name] }

func newDocument(doc *config.Document) (*Document, config.Problems) {
	set, problems := rules.CompileAccepted(doc)
	d := &Document{Document: doc, Rules: set, keys: map[string]*config.Organisation{}, services: map[string]*config.Service{}}
	for i := range doc.Organisations {
		for _, hash := range doc.Organisations[i].KeyHashes {
			d.keys[hash] = &doc.Organisations[i]
		}
	}
	for i := range doc.Services {
		d.services[doc.Services[i].Name] = &doc.Services[i]
	}
	return d, problems
}

// Documents holds the version in force. Versions only rise.
type Documents struct {
	key      string
	decode   func([]byte) (*config.Document, error)
	log      *telemetry.Logger
	follower *Follower
	current  atomic.Pointer[Document]
	onChange func(*Document)
}

// NewDocuments returns a holder of the document under key. OnChange is called
// for each new version.
func NewDocuments(key string, decode func([]byte) (*config.Document, error), log *telemetry.Logger, onChange func(*Document)) *Documents {
	return &Documents{key: key, decode: decode, log: log, onChange: onChange}
}

// Bind names the follower that feeds the holder.
func (d *Documents) SetFollower(f *Follower) { d.follower = f }

// Current returns the version in force, nil before the first, and the time since
// the store confirmed it.
func (d *Documents) Current() (*Document, time.Duration) {
	return d.current.Load(), d.follower.Age()
}

// Replace implements Sink.
func (d *Documents) Replace(entries []kv.Entry) {
	for _, e := range entries {
		d.take(e)
	}
}

// Apply implements Sink.
func (d *Documents) Apply(events []kv.Event) {
	for _, e := range events {
		if !e.Deleted {
			d.take(e.Entry)
		}
	}
}

// Regained implements Sink.
func (d *Documents) StoreRecovered(time.Duration) {}

func (d *Documents) take(e kv.Entry) {
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
