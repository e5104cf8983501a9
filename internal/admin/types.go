package admin

import (
	"time"

	"buckthornpick/internal/config"
	"buckthornpick/internal/confstore"
	"buckthornpick/internal/rules"
)

// Paths of the operators' API.
const (
	PathDocument = "/admin/v1/document"
	PathHistory  = "/admin/v1/history"
	PathExplain  = "/admin/v1/explain"
	PathRevision = "/admin/v1/revision"
	PathStatus   = "/admin/v1/status"
	PathDrain    = "/admin/v1/drain"
)

// Headers of a change, beside If-Match with the revision it is based on.
const (
	HeaderOperationID = "Operation-Id"
	HeaderAuthor      = "Operation-Author"
)

// Types of errors.
const (
	TypeUnauthorized   = "unauthorized"
	TypeInvalid        = "invalid"
	TypeConflict       = "conflict"
	TypeUnavailable    = "unavailable"
	TypeOutcomeUnknown = "outcome-unknown"
	TypeNotFound       = "not-found"
)

// ErrorAnswer is the body of every answer that is not a success.
type ErrorAnswer struct {
	Type    string `json:"type"`
	Message string `json:"message"`
	// Problems name the faults of a document.
	Problems config.Problems `json:"problems,omitempty"`
	// Revision is the current one, in answers to a lost change.
	Revision int64 `json:"revision,omitempty"`
	// Diff leads from the current document to the proposed one.
	Diff []config.Difference `json:"diff,omitempty"`
	// OperationID names the change whose outcome is unknown.
	OperationID string `json:"operationId,omitempty"`
}

// ChangeAnswer says that a change is accepted.
type ChangeAnswer struct {
	Revision    int64  `json:"revision"`
	OperationID string `json:"operationId"`
}

// RevisionAnswer tells what is in force at one node.
type RevisionAnswer struct {
	Node        string `json:"node"`
	Zone        string `json:"zone"`
	Revision    int64  `json:"revision"`
	OperationID string `json:"operationId,omitempty"`
}

// StatusAnswer describes one node and the members it knows.
type StatusAnswer struct {
	RevisionAnswer
	Region  string `json:"region"`
	Version string `json:"version"`
	// StoreBehind is true while the store shows StoreRevision, which is lower
	// than a revision that it had.
	StoreBehind   bool     `json:"storeBehind,omitempty"`
	StoreRevision int64    `json:"storeRevision,omitempty"`
	Members       []Member `json:"members"`
}

// Member is one entry as its peers know it.
type Member struct {
	ID   string `json:"id"`
	Zone string `json:"zone"`
	// State is a word such as "live" or "leaving".
	State string `json:"state"`
	// AdminURL is the base URL of its admin listener, if known.
	AdminURL string `json:"adminUrl,omitempty"`
}

// HistoryAnswer lists accepted changes, the latest first.
type HistoryAnswer struct {
	Entries []confstore.HistoryEntry `json:"entries"`
}

// ExplainRequest is a sample request.
type ExplainRequest struct {
	Organisation string `json:"organisation"`
	Service      string `json:"service"`
	Model        string `json:"model"`
	// Kind is "chat" (default), "completion" or "plain".
	Kind         string `json:"kind"`
	PromptTokens int    `json:"promptTokens"`
	// Repeatable is true by default.
	Repeatable *bool  `json:"repeatable"`
	Priority   string `json:"priority"`
	// Context is any text that names the conversation; empty is none. The
	// choice of the older system is then that of a made-up context.
	Context string `json:"context"`
	// ContextHash is the context of a live request, in hexadecimal digits; it
	// goes before Context.
	ContextHash string `json:"contextHash"`
	// RequestID stands in for Context; default "sample".
	RequestID string `json:"requestId"`
	// Zone is that of the entry; default the answering node's.
	Zone string `json:"zone"`
	// Host and Path are those of the call, for rules of relays.
	Host string `json:"host"`
	Path string `json:"path"`
	// Now is the time of the request; default the present.
	Now   *time.Time `json:"now"`
	Load  float64    `json:"load"`
	Price float64    `json:"price"`
	// Document is explained in place of the one in force, if given.
	Document *config.Document `json:"document"`
}

// ExplainAnswer tells which rule decides a sample request and why the earlier
// ones do not.
type ExplainAnswer struct {
	// Revision is 0 for a document that came with the request.
	Revision int64               `json:"revision"`
	Steps    []rules.ExplainStep `json:"steps"`
	// Rule is the index of the deciding rule, -1 if none matches.
	Rule        int         `json:"rule"`
	Name        string      `json:"name,omitempty"`
	Then        config.Then `json:"then"`
	OlderSystem bool        `json:"olderSystem"`
}
