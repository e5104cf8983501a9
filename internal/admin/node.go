package admin

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"buckthornpick/internal/config"
	"buckthornpick/internal/fault"
	"buckthornpick/internal/rules"
)

const sampleRequestID = "sample"

func (a *API) revision() RevisionAnswer {
	answer := RevisionAnswer{Node: a.cfg.Node, Zone: a.cfg.Zone}
	if current, ok := a.cfg.Document.Current(); ok {
		answer.Revision, answer.OperationID = current.Revision, current.Document.OperationID
	}
	return answer
}

func (a *API) getRevision(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, a.revision())
}

func (a *API) getStatus(w http.ResponseWriter, _ *http.Request) {
	answer := StatusAnswer{RevisionAnswer: a.revision(), Region: a.cfg.Region, Version: a.cfg.Version, Members: []Member{}}
	answer.StoreRevision, answer.StoreBehind = a.cfg.Document.RolledBackRevision()
	if a.cfg.Members != nil {
		answer.Members = append(answer.Members, a.cfg.Members.Members()...)
	}
	writeJSON(w, http.StatusOK, answer)
}

func (a *API) drain(w http.ResponseWriter, r *http.Request) {
	if a.cfg.Drainer == nil {
		writeError(w, http.StatusNotFound, ErrorAnswer{Type: TypeNotFound, Message: "this process cannot drain"})
		return
	}
	a.cfg.Log.Log(EvDrainRequested, "peer", r.RemoteAddr)
	if err := a.cfg.Drainer.Drain(r.Context()); err != nil {
		writeError(w, http.StatusServiceUnavailable, ErrorAnswer{Type: TypeUnavailable, Message: err.Error()})
		return
	}
	writeJSON(w, http.StatusAccepted, a.revision())
}

func (a *API) explain(w http.ResponseWriter, r *http.Request) {
	sample, ok := readBody[ExplainRequest](w, r)
	if !ok {
		return
	}
	set, revision, ok := a.rulesFor(w, sample.Document)
	if !ok {
		return
	}
	in, err := a.ruleInput(&sample)
	if err != nil {
		writeError(w, http.StatusUnprocessableEntity, ErrorAnswer{Type: TypeInvalid, Message: err.Error()})
		return
	}
	d := set.Match(in)
	writeJSON(w, http.StatusOK, ExplainAnswer{
		Revision: revision, Steps: set.Explain(in),
		Rule: d.Rule, Name: d.Name, Then: d.Then, OlderSystem: d.OlderSystem,
	})
}

// rulesFor returns the rules of doc, or those in force if doc is nil. If there
// are none or doc is invalid, it writes the error response and returns false.
func (a *API) rulesFor(w http.ResponseWriter, doc *config.Document) (set *rules.Set, revision int64, ok bool) {
	if doc == nil {
		current, ok := a.cfg.Document.Current()
		if !ok {
			writeError(w, http.StatusNotFound, ErrorAnswer{Type: TypeNotFound, Message: "this node has no document yet"})
			return nil, 0, false
		}
		return current.Rules, current.Revision, true
	}
	set, err := rules.Compile(doc)
	if err != nil {
		answer := ErrorAnswer{Type: TypeInvalid, Message: "the document has faults"}
		errors.As(err, &answer.Problems)
		writeError(w, http.StatusUnprocessableEntity, answer)
		return nil, 0, false
	}
	return set, 0, true
}

func (a *API) ruleInput(s *ExplainRequest) (rules.Input, error) {
	in := rules.Input{
		Organisation: s.Organisation, Service: s.Service, Model: s.Model, Kind: s.Kind,
		PromptTokens: s.PromptTokens, Repeatable: s.Repeatable == nil || *s.Repeatable,
		Priority: s.Priority, RequestID: s.RequestID, Zone: s.Zone,
		Host: s.Host, Path: s.Path,
		Now: time.Now(), Load: s.Load, Price: s.Price,
	}
	if in.Kind == "" {
		in.Kind = "chat"
	}
	if in.Zone == "" {
		in.Zone = a.cfg.Zone
	}
	if in.RequestID == "" {
		in.RequestID = sampleRequestID
	}
	if s.Context != "" {
		in.Context = max(xxhash.Sum64String(s.Context), 1)
	}
	if s.ContextHash != "" {
		hash, err := strconv.ParseUint(s.ContextHash, 16, 64)
		if err != nil {
			return in, fault.New(fault.Invalid, "admin.explain", "",
				"contextHash: expected up to 16 hexadecimal digits, got %q", s.ContextHash)
		}
		in.Context = hash
	}
	if s.Now != nil {
		in.Now = *s.Now
	}
	return in, nil
}
