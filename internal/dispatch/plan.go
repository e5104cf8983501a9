package dispatch

import (
	"encoding/json"
	"math"
	"net/http"
	"time"

	"buckthornpick/internal/backend"
	"buckthornpick/internal/blame"
	"buckthornpick/internal/config"
	"buckthornpick/internal/request"
	"buckthornpick/internal/rules"
)

// plan is the result of the routing rules for one request.
type plan struct {
	// rule is the name of the rule that matched.
	rule string
	// services are the service to use and its fallbacks, in order.
	services []config.Service
	priority string
	vmClass  string
	// startBy is the latest time of the first dispatch.
	startBy time.Time
	// olderSystem is the address of the older system if it handles the request,
	// else nil.
	olderSystem *backend.Target
	// sent is the request as sent to backend servers. Its model may differ from
	// the one that the caller requested.
	sent *request.Request
	// prefixHashes are the chained hashes of the prompt's blocks.
	prefixHashes []uint64
	// sharedParts are the parts of the prompt that other requests may share.
	sharedParts []blame.Key
}

// Types of the error objects in a request.End.
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

// admissionService returns the service name under which the request is admitted.
func (p *plan) admissionService() string {
	if p.olderSystem != nil {
		return OlderSystem
	}
	return p.services[0].Name
}

// planRequest evaluates the routing rules. If they refuse the request, it
// returns the request's end.
func (d *Dispatcher) planRequest(r *request.Request, now time.Time) (*plan, *request.End) {
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
	return d.newPlan(r, snapshot.Document, decision, now), nil
}

func refusedByRule(decision rules.Decision) *request.End {
	refuse := decision.Then.Refuse
	return &request.End{
		Outcome: request.NotRun, Problem: problemRefused, Message: refuse.Reason,
		Status:     http.StatusForbidden,
		RetryAfter: time.Duration(refuse.RetryAfterSeconds * float64(time.Second)),
	}
}

func (d *Dispatcher) newPlan(r *request.Request, doc *config.Document, decision rules.Decision, now time.Time) *plan {
	then := decision.Then
	p := &plan{
		rule: decision.Name, priority: then.Priority, vmClass: then.VMClass,
		startBy: now.Add(d.cfg.StartWait), sent: withModel(r, then.Model, then.Version),
	}
	p.prefixHashes, p.sharedParts = prefixHashes(p.sent), sharedParts(r)
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
		p.olderSystem = &backend.Target{ID: OlderSystem, Address: doc.OlderSystem.Address, Class: backend.Older}
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

// withModel returns r, or a copy with another model or version in its body. It
// returns r if the body cannot be decoded.
func withModel(r *request.Request, model, version string) *request.Request {
	if r.Kind == request.Plain || (model == "" && version == "") {
		return r
	}
	var fields map[string]json.RawMessage
	if json.Unmarshal(r.Body, &fields) != nil {
		return r
	}
	modified := *r
	if model != "" {
		modified.Model = model
	}
	name := modified.Model
	if version != "" {
		name += "@" + version
	}
	fields["model"], _ = json.Marshal(name)
	body, err := json.Marshal(fields)
	if err != nil {
		return r
	}
	modified.Body = body
	return &modified
}

// sharedParts returns the messages of a chat but the last, which belongs to this
// request; nil for requests of other kinds.
func sharedParts(r *request.Request) []blame.Key {
	var chat struct {
		Messages []json.RawMessage `json:"messages"`
	}
	if r.Kind != request.Chat || json.Unmarshal(r.Body, &chat) != nil || len(chat.Messages) < 2 {
		return nil
	}
	ids := make([]string, len(chat.Messages)-1)
	for i := range ids {
		ids[i] = string(chat.Messages[i])
	}
	content := blame.NewContent(0, ids)
	return content.Parts
}

// blockBytes is the size of a block in the prefix index of package route.
const blockBytes = 256

const maxPrefixBlocks = math.MaxUint16

// prefixHashes returns the chained hashes of the body's blocks, nil for calls
// of plain services, which have no prompt.
func prefixHashes(r *request.Request) []uint64 {
	if r.Kind == request.Plain {
		return nil
	}
	n := min(len(r.Body)/blockBytes, maxPrefixBlocks)
	return chainHashes(r.Body[:n*blockBytes])
}
