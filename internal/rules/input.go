package rules

import (
	"time"

	"buckthornpick/internal/config"
)

// Input holds the properties of a request on which rules can depend.
type Input struct {
	Organisation string
	// Service is the service that the caller requested.
	Service string
	Model   string
	// Kind is "chat", "completion" or "plain".
	Kind         string
	PromptTokens int
	Repeatable   bool
	// Priority is "high", "normal" or "low"; empty means "normal".
	Priority string
	// Context is the hash of the conversation; 0 means none.
	Context uint64
	// RequestID is used instead of Context to select requests for the older
	// system if the request has no context.
	RequestID string
	// Zone is the availability zone of the entry that received the request.
	Zone string
	// Host is the requested host, in lower case and without a port.
	Host string
	// Path is the path of the request.
	Path string
	// Now is the current time; rules use its hour in UTC.
	Now time.Time
	// Load is the load of Service: 0 means idle, 1 means all slots in use. It can
	// exceed 1.
	Load float64
	// Price is the price per hour of the cheapest live server of Service.
	Price float64
}

// NoRule is the value of Decision.Rule if no rule matched.
const NoRule = -1

// Decision is the result of matching a request against the rules.
type Decision struct {
	// Rule is the index of the rule that matched, or NoRule.
	Rule int
	// Name is the rule's name.
	Name string
	// Then is the rule's outcome; if no rule matched, it refuses the request. Its
	// slices and pointers are shared and must not be modified.
	Then config.Then
	// OlderSystem is true if this request goes to config.OlderSystem, the serving
	// system that this one replaces.
	OlderSystem bool
}

// ExplainStep is the evaluation of one rule for a request.
type ExplainStep struct {
	Rule    int    `json:"rule"`
	Name    string `json:"name"`
	Matched bool   `json:"matched"`
	// Reasons describe every condition that was not met.
	Reasons []string `json:"reasons,omitempty"`
}
