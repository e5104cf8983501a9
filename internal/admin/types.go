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

// Headers of a change, in addition to If-Match with the revision that it is
// based on.
const (
	HeaderOperationID = "Operation-Id"
	HeaderAuthor      = "Operation-Author"
)

// Error types of ErrorAnswer.
const (
	TypeUnauthorized   = "unauthorized"
	TypeInvalid        = "invalid"
	TypeConflict       = "conflict"
	TypeUnavailable    = "unavailable"
	TypeOutcomeUnknown = "outcome-unknown"
	TypeNotFound       = "not-found"
)

// ErrorAnswer is the body of an error response.
type ErrorAnswer struct {
	Type    string `json:"type"`
	Message string `json:"message"`
	// Problems lists the validation errors of a document.
	Problems config.Problems `json:"problems,omitempty"`
	// Revision is the current revision, if a change was refused with a conflict.
	Revision int64 `json:"revision,omitempty"`
	// Diff lists the differences from the current document to the proposed one,
	// if a change was refused with a conflict.
	Diff []config.Difference `json:"diff,omitempty"`
	// OperationID is the ID of a change that failed or whose outcome is unknown.
	OperationID string `json:"operationId,omitempty"`
}

// ChangeAnswer is the response to an accepted change.
type ChangeAnswer struct {
	Revision    int64  `json:"revision"`
	OperationID string `json:"operationId"`
}

// RevisionAnswer reports the revision of the document in force at one node.
type RevisionAnswer struct {
	Node        string `json:"node"`
	Zone        string `json:"zone"`
	Revision    int64  `json:"revision"`
	OperationID string `json:"operationId,omitempty"`
}

// StatusAnswer describes one node and the members that it knows.
type StatusAnswer struct {
	RevisionAnswer
	Region  string `json:"region"`
	Version string `json:"version"`
	// StoreBehind is true while the store has been rolled back, that is, while it
	// returns StoreRevision, which is lower than a revision read earlier.
	StoreBehind   bool     `json:"storeBehind,omitempty"`
	StoreRevision int64    `json:"storeRevision,omitempty"`
	Members       []Member `json:"members"`
}

// Member is one entry as known to its peers.
type Member struct {
	ID   string `json:"id"`
	Zone string `json:"zone"`
	// State is the membership state, such as "live" or "leaving".
	State string `json:"state"`
	// AdminURL is the base URL of its admin listener, if known.
	AdminURL string `json:"adminUrl,omitempty"`
}

// HistoryAnswer lists accepted changes, the latest first.
type HistoryAnswer struct {
	Entries []confstore.HistoryEntry `json:"entries"`
}

// ExplainRequest is a sample request to evaluate against the rules.
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
	// Context is any text that identifies the conversation; empty means none.
	// Its hash is not that of a live request, so it does not show whether the
	// older system is chosen for a particular one; ContextHash does.
	Context string `json:"context"`
	// ContextHash is the context hash of a live request, in hexadecimal digits;
	// it takes precedence over Context.
	ContextHash string `json:"contextHash"`
	// RequestID is used in place of an empty Context; default "sample".
	RequestID string `json:"requestId"`
	// Zone is the availability zone of the entry; default that of the answering
	// node.
	Zone string `json:"zone"`
	// Host and Path are those of the call; they matter for the rules of relays.
	Host string `json:"host"`
	Path string `json:"path"`
	// Now is the time of the request; default the current time.
	Now *time.Time `json:"now"`
	// Load is the load of the service: 0 means idle, 1 means all slots in use. It
	// can exceed 1.
	Load float64 `json:"load"`
	// Price is the hourly price of the service's cheapest live server.
	Price float64 `json:"price"`
	// Document is used in place of the document in force, if given.
	Document *config.Document `json:"document"`
}

// ExplainAnswer reports which rule decides a sample request and why the earlier
// ones do not match.
type ExplainAnswer struct {
	// Revision is 0 if the document was given in the request.
	Revision int64               `json:"revision"`
	Steps    []rules.ExplainStep `json:"steps"`
	// Rule is the index of the deciding rule, -1 if none matches.
	Rule        int         `json:"rule"`
	Name        string      `json:"name,omitempty"`
	Then        config.Then `json:"then"`
	OlderSystem bool        `json:"olderSystem"`
}
