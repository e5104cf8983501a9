package route

import (
	"time"

	"buckthornpick/internal/config"
)

// State tells whether a backend server may get new work.
type State int

// States of a backend server.
const (
	// Live servers get new work.
	Live State = iota
	// Leaving servers get no new work.
	Leaving
	// Suspect servers get new work only if no live server is left.
	Suspect
)

// String implements fmt.Stringer.
func (s State) String() string {
	switch s {
	case Live:
		return "live"
	case Leaving:
		return "leaving"
	default:
		return "suspect"
	}
}

// Server is a backend server as the inventory shows it.
type Server struct {
	ID   string
	Zone string
	// Class is the VM class.
	Class string
	// Address is "host:port".
	Address string
	// Price is per hour for the whole VM.
	Price float64
	// Accelerators is the number of accelerators; 0 counts as 1.
	Accelerators int
	Reclaimable  bool
	State        State
}

// weight is the server's relative capacity.
func (s *Server) weight() float64 { return float64(max(s.Accelerators, 1)) }

// Query is what a decision needs to know about a request.
type Query struct {
	Now     time.Time
	Service string
	// Context is the hash of the conversation or shared prefix; 0 is none.
	Context      uint64
	PromptTokens int
	// SharedTokens bounds the tokens that a server can hold of the prompt; 0 is
	// all of it.
	MaxCachedTokens int
	MaxTokens       int
	// PrefixHashes are chained hashes of the prompt's blocks, Config.BlockTokens
	// each; hash i stands for blocks 0 to i. Empty if unknown.
	PrefixHashes []uint64
	// Priority is "high", "normal" or "low".
	Priority string
	// VMClass restricts the choice to one VM class; empty is any.
	VMClass string
	// FirstTokenWithin refuses the request with ErrSaturated if the predicted
	// time to the first token exceeds it; 0 never does.
	MaxFirstTokenDelay time.Duration
	// Exclude reports servers that must not be chosen; nil excludes none.
	Exclude func(id string) bool
}

// Reasons of a choice.
const (
	// ReasonOnly: there was one candidate.
	ReasonSingleCandidate = "only"
	// ReasonPrefix: the cheapest candidate holds some of the prompt.
	ReasonPrefix = "prefix"
	// ReasonHome: the cheapest candidate is the context's rendezvous server.
	ReasonHome = "home"
	// ReasonKeep: hysteresis kept the context where it was.
	ReasonHysteresis = "keep"
	// ReasonCost: the cheapest candidate.
	ReasonCost = "cost"
	// ReasonTwoChoices: the cheaper one of two random candidates.
	ReasonTwoChoices = "two-choices"
)

// CandidateTerms are the cost terms of one candidate, in milliseconds.
type CandidateCost struct {
	ID string `json:"id"`
	// Latency is the predicted time to the first token.
	Latency float64 `json:"latency"`
	// Pressure is the cost of coming near or above the first-token target.
	TargetPenalty float64 `json:"pressure"`
	// Recompute is the weighted cost of recomputed prompt tokens.
	Recompute float64 `json:"recompute"`
	Price     float64 `json:"price"`
	Total     float64 `json:"total"`
	// CachedTokens is the expected number of prompt tokens in the cache.
	CachedTokens int `json:"cached"`
	// Requests is the corrected number of requests at the server.
	Requests float64 `json:"requests"`
}

// MaxTerms bounds Choice.Terms.
const MaxCandidateCosts = 8

// Choice is a decision with its grounds.
type Choice struct {
	Server Server
	Reason string
	// Terms holds the cheapest candidates considered, cheapest first.
	Candidates           []CandidateCost
	ExpectedCachedTokens int
	PredictedFirstToken  time.Duration

	// features are the inputs of the latency prediction.
	features     features
	modelTrained bool
}

// Config parametrises a Picker.
type Config struct {
	Weights config.RouteWeights
	Target  config.LatencyTarget
	// MaxConcurrentPerServer bounds this entry's running requests at one
	// server; default 64.
	MaxConcurrentPerServer int
	// SubsetSize bounds the servers that this entry uses; 0 is all.
	SubsetSize int
	// Self is the entry's ID; it selects the subset and seeds the random choice.
	Self string
	// Zone is the entry's availability zone. No decision depends on it yet.
	Zone string
	// BlockTokens is the size of a prompt block in tokens; default 64.
	BlockTokens int
	// MaxContexts bounds the contexts remembered; default 16,384.
	MaxContexts int
	// MaxBlocks bounds the prompt blocks remembered; default 131,072.
	MaxBlocks int
}

// Defaults of Config.
const (
	defaultMaxConcurrent   = 64
	defaultBlockTokens     = 64
	defaultMaxContexts     = 16384
	defaultMaxBlocks       = 131072
	defaultRecomputeMillis = 0.2
	defaultPriceMillis     = 10
)

func (c Config) withDefaults() Config {
	if c.MaxConcurrentPerServer <= 0 {
		c.MaxConcurrentPerServer = defaultMaxConcurrent
	}
	if c.BlockTokens <= 0 {
		c.BlockTokens = defaultBlockTokens
	}
	if c.MaxContexts <= 0 {
		c.MaxContexts = defaultMaxContexts
	}
	if c.MaxBlocks <= 0 {
		c.MaxBlocks = defaultMaxBlocks
	}
	if c.Weights.RecomputedTokenMillis <= 0 {
		c.Weights.RecomputedTokenMillis = defaultRecomputeMillis
	}
	if c.Weights.PriceMillis <= 0 {
		c.Weights.PriceMillis = defaultPriceMillis
	}
	return c
}
