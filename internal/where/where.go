// Package where defines the question where an entry would send a request now, and its
// answer. Nothing is sent, reserved or counted to answer it.
package where

// Path is the path of the question on the admin listener of a relay.
const Path = "/where"

// Request is the request that is asked about, as its caller would send it.
type Request struct {
	Method string `json:"method"`
	Host   string `json:"host"`
	// URI is the path with the query.
	URI    string            `json:"uri"`
	Header map[string]string `json:"header,omitempty"`
}

// Answer says where the request would go, or how it would be refused.
type Answer struct {
	Entry        string `json:"entry"`
	Zone         string `json:"zone"`
	Rule         string `json:"rule,omitempty"`
	Organisation string `json:"organisation,omitempty"`
	Service      string `json:"service,omitempty"`
	// DocumentRevision and DocumentAgeMillis are those of the document that decides.
	DocumentRevision  int64 `json:"documentRevision"`
	DocumentAgeMillis int64 `json:"documentAgeMillis"`
	// QuotaSpent and QuotaLimit are what the organisation has spent of its quota in the
	// window, and may spend by what this entry knows; QuotaCost is what the request costs.
	QuotaSpent float64 `json:"quotaSpent,omitempty"`
	QuotaLimit float64 `json:"quotaLimit,omitempty"`
	QuotaCost  float64 `json:"quotaCost,omitempty"`
	// Refusal is the reason why the request would be refused, empty if it would be sent;
	// RetryAfterMillis is when to come back, 0 if that is not said.
	Refusal          string `json:"refusal,omitempty"`
	Status           int    `json:"status,omitempty"`
	RetryAfterMillis int64  `json:"retryAfterMillis,omitempty"`
	// Server is the backend server, Reason why it was preferred.
	Server string `json:"server,omitempty"`
	Reason string `json:"reason,omitempty"`
	// Candidates are the cheapest servers, the cheapest first.
	Candidates []Candidate `json:"candidates,omitempty"`
	// Notes say what the answer does not take into account.
	Notes []string `json:"notes,omitempty"`
}

// Candidate is a backend server with what it would cost to send the request there. Costs are
// in milliseconds.
type Candidate struct {
	Server  string `json:"server"`
	Zone    string `json:"zone"`
	Version string `json:"version,omitempty"`
	// Total is the sum of the time to the first token, the penalty for coming close to the
	// target, the cost of tokens to recompute and the price.
	Total         float64 `json:"total"`
	FirstToken    float64 `json:"firstToken"`
	TargetPenalty float64 `json:"targetPenalty"`
	Recompute     float64 `json:"recompute"`
	Price         float64 `json:"price"`
	CachedTokens  int     `json:"cachedTokens"`
	// Requests is the estimated number of requests there, of all entries.
	Requests float64 `json:"requests"`
	// Slowness is how long work takes there by the server's last statement, 1 is as usual
	// and 0 unknown, StatedAgeMillis the age of the statement.
	Slowness        float64 `json:"slowness,omitempty"`
	StatedAgeMillis int64   `json:"statedAgeMillis,omitempty"`
	// Speed is how long work takes by the answers of all entries, as a multiple of what is
	// usual at its like, and Limit the requests that it takes well; 0 is unknown.
	Speed float64 `json:"speed,omitempty"`
	Limit int     `json:"limit,omitempty"`
}
