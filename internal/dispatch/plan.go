package dispatch

import (
	"encoding/json"
	"math"
	"net/http"
	"time"

	"buckthornpick/internal/backend"
	"buckthornpick/internal/config"
	"buckthornpick/internal/request"
	"buckthornpick/internal/rules"
)

// plan is what the rules decided for one request.
type plan struct {
	rule     string
	services []config.Service
	priority string
	vmClass  string
	// startBy is the time by which the request must be dispatched.
	startBy time.Time
	// older is set if the older system takes the request.
	older *backend.Target
	// sent is the request as it goes to backend servers; its model may differ
	// from what the caller asked for.
	sent *request.Request
	// prefix holds the chained hashes of the prompt's blocks.
	prefix []uint64
}

// Types of the error objects that the owner puts into ends.
const (
	problemRefused     = "refused_by_rule"
	problemOverloaded  = "overloaded_error"
	problemUnavailable = "unavailable_error"
	problemTimeout     = "timeout_error"
	problemBackend     = "backend_error"
	problemQuarantined = "request_quarantined"
	problemUnresolved  = "outcome_unknown"
	problemStopping    = "stopping_error"
)

// OlderSystem is the name under which requests for the older system are
// admitted and logged.
const OlderSystem = "older-system"

// admittedAs returns the name of the capacity that the request takes.
func (p *plan) admittedAs() string {
	if p.older != nil {
		return OlderSystem
	}
	return p.services[0].Name
}

// decide applies the rules. A non-nil end refuses the request.
func (d *Dispatcher) decide(r *request.Request, now time.Time) (*plan, *request.End) {
	snapshot, ok := d.deps.Document()
	if !ok {
		return nil, &request.End{Outcome: request.NotRun, Problem: problemUnavailable,
			Message: "no configuration yet", Status: http.StatusServiceUnavailable, RetryAfter: time.Second}
	}
	load, price := d.deps.Pools.LoadAndPrice(now, r.Service)
	decision := snapshot.Rules.Match(rules.Input{
		Organisation: r.Organisation, Service: r.Service, Model: r.Model, Kind: string(r.Kind),
		PromptTokens: r.PromptTokens, Repeatable: r.Repeatable, Priority: r.Priority,
		Context: r.Context, RequestID: string(r.ID), Zone: r.Zone, Now: now.UTC(),
		Load: load, Price: price,
	})
	if decision.Then.Refuse != nil {
		return nil, refusedByRule(decision)
	}
	return d.planOf(r, snapshot.Document, decision, now), nil
}

func refusedByRule(decision rules.Decision) *request.End {
	refuse := decision.Then.Refuse
	return &request.End{
		Outcome: request.NotRun, Problem: problemRefused, Message: refuse.Reason,
		Status:     http.StatusForbidden,
		RetryAfter: time.Duration(refuse.RetryAfterSeconds * float64(time.Second)),
	}
}

func (d *Dispatcher) planOf(r *request.Request, doc *config.Document, decision rules.Decision, now time.Time) *plan {
	then := decision.Then
	p := &plan{
		rule: decision.Name, priority: then.Priority, vmClass: then.VMClass,
		startBy: now.Add(d.cfg.StartWait), sent: withModel(r, then.Model, then.Version),
	}
	p.prefix = prefixHashes(p.sent)
	if p.priority == "" {
		p.priority = r.Priority
	}
	if then.DeadlineMillis > 0 {
		p.startBy = now.Add(time.Duration(then.DeadlineMillis * float64(time.Millisecond)))
	}
	for _, name := range append([]string{then.Service}, then.Fallback...) {
		if s, ok := findService(doc, name); ok {
			p.services = append(p.services, s)
		}
	}
	if decision.OlderSystem && doc.OlderSystem != nil {
		p.older = &backend.Target{ID: OlderSystem, Address: doc.OlderSystem.Address, Class: backend.Older}
	}
	return p
}

func findService(doc *config.Document, name string) (config.Service, bool) {
	for _, s := range doc.Services {
		if s.Name == name {
			return s, true
		}
	}
	return config.Service{}, false
}

// withModel returns r, or a copy whose body names another model or version.
func withModel(r *request.Request, model, version string) *request.Request {
	if r.Kind == request.Plain || (model == "" && version == "") {
		return r
	}
	var fields map[string]json.RawMessage
	if json.Unmarshal(r.Body, &fields) != nil {
		return r
	}
	sent := *r
	if model != "" {
		sent.Model = model
	}
	name := sent.Model
	if version != "" {
		name += "@" + version
	}
	fields["model"], _ = json.Marshal(name)
	body, err := json.Marshal(fields)
	if err != nil {
		return r
	}
	sent.Body = body
	return &sent
}

// blockBytes of the prompt make one block of route's prefix index.
const blockBytes = 256

const maxPrefixBlocks = math.MaxUint16

// prefixHashes returns chained hashes of the body's blocks.
func prefixHashes(r *request.Request) []uint64 {
	if r.Kind == request.Plain {
		return nil
	}
	n := min(len(r.Body)/blockBytes, maxPrefixBlocks)
	return chainHashes(r.Body[:n*blockBytes])
}
