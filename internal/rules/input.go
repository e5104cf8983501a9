package rules

import (
	"time"

	"buckthornpick/internal/config"
)

// Input is what rules can tell about one request.
type Input struct {
	Organisation string
	// Service is the service that the caller asked for.
	Service string
	Model   string
	// Kind is "chat", "completion" or "plain".
	Kind         string
	PromptTokens int
	Repeatable   bool
	// Priority is "high", "normal" or "low"; empty is "normal".
	Priority string
	// Context is the hash of the conversation; 0 is a request without one.
	Context uint64
	// RequestID takes the place of Context in the choice of the older system
	// for requests without a context.
	RequestID string
	// Zone is the availability zone of the entry that took the request.
	Zone string
	// Host is the host that the caller named, in lower case and without a port.
	Host string
	// Path is the call's path.
	Path string
	// Now gives the hour of the day, UTC.
	Now time.Time
	// Load is the load of Service, 0 to 1 and above.
	Load float64
	// Price is that of the cheapest live server of Service per hour.
	Price float64
}

// NoRule is Decision.Rule if no rule matched.
const NoRule = -1

// Decision is the outcome of a request.
type Decision struct {
	// Rule is the index of the rule that matched, or NoRule.
	Rule int
	// Name is the rule's name.
	Name string
	// Then is the rule's outcome; without a rule it refuses the request. Its
	// slices and pointers are shared and must not be changed.
	Then config.Then
	// OlderSystem is true if the older system takes this request.
	OlderSystem bool
}

// Step tells how one rule fared with a request.
type ExplainStep struct {
	Rule    int    `json:"rule"`
	Name    string `json:"name"`
	Matched bool   `json:"matched"`
	// Reasons name every condition that did not hold.
	Reasons []string `json:"reasons,omitempty"`
}
