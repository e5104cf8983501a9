package route

import (
	"time"

	"buckthornpick/internal/config"
)

// State is a backend server's eligibility for new requests.
type State int

// States of a backend server.
const (
	// Live servers accept new requests.
	Live State = iota
	// Leaving servers are draining and get no new requests.
	Leaving
	// Suspect servers failed recently; they get new requests only if no live
	// server remains.
	Suspect
	// Paused servers asked for no requests for a while and get none.
	Paused
)

// String implements fmt.Stringer.
func (s State) String() string {
	switch s {
	case Live:
		return "live"
	case Leaving:
		return "leaving"
	case Paused:
		return "paused"
	default:
		return "suspect"
	}
}

// Server describes a backend server as listed in the inventory.
type Server struct {
	ID   string
	Zone string
	// Class is the VM class.
	Class string
	// Address is "host:port".
	Address string
	// Price is the price of the whole VM per hour.
	Price float64
	// Accelerators is the number of accelerators; 0 is treated as 1.
	Accelerators int
	Reclaimable  bool
	State        State
}

// weight returns the server's relative capacity: its number of accelerators.
func (s *Server) weight() float64 { return float64(max(s.Accelerators, 1)) }

// Query holds the properties of a request that affect the selection.
type Query struct {
	Now     time.Time
	Service string
	// Context is the hash of the conversation or shared prefix; 0 means none.
	Context      uint64
	PromptTokens int
	// MaxCachedTokens is the largest number of prompt tokens that a server can
	// have in its cache; 0 means the whole prompt.
	MaxCachedTokens int
	MaxTokens       int
	// PrefixHashes are chained hashes of the prompt's blocks of
	// Config.BlockTokens tokens; hash i covers blocks 0 to i. Empty if unknown.
	PrefixHashes []uint64
	// Priority is "high", "normal" or "low".
	Priority string
	// VMClass restricts the selection to one VM class; empty means any.
	VMClass string
	// MaxFirstTokenDelay bounds the predicted time to the first token; Pick
	// returns *SaturatedError if the prediction is too long. 0 means no bound.
	MaxFirstTokenDelay time.Duration
	// Exclude reports whether a server must not be selected; nil excludes none.
	Exclude func(id string) bool
}

// Reasons for a selection.
const (
	// ReasonSingleCandidate: there was only one candidate.
	ReasonSingleCandidate = "only"
	// ReasonPrefix: the cheapest candidate is expected to have part of the
	// prompt in its cache.
	ReasonPrefix = "prefix"
	// ReasonHome: the cheapest candidate is the context's home server, which
	// rendezvous hashing assigns to it, and no block of the prompt is known to be
	// cached there.
	ReasonHome = "home"
	// ReasonHysteresis: the context stayed on the server that ran it last,
	// because no other was cheaper by more than the margin.
	ReasonHysteresis = "keep"
	// ReasonCost: the candidate was the cheapest, without cached tokens.
	ReasonCost = "cost"
	// ReasonTwoChoices: the candidate was the cheaper of two random ones.
	ReasonTwoChoices = "two-choices"
)

// CandidateCost holds the cost terms of one candidate, in milliseconds.
type CandidateCost struct {
	ID string `json:"id"`
	// Latency is the predicted time to the first token.
	Latency float64 `json:"latency"`
	// TargetPenalty is the penalty for a latency close to or above the
	// first-token target.
	TargetPenalty float64 `json:"pressure"`
	// Recompute is the weighted cost of prompt tokens to recompute.
	Recompute float64 `json:"recompute"`
	Price     float64 `json:"price"`
	Total     float64 `json:"total"`
	// CachedTokens is the expected number of prompt tokens in the cache.
	CachedTokens int `json:"cached"`
	// Requests is the estimated number of requests at the server: the last load
	// report, corrected by this entry's later dispatches and completions.
	Requests float64 `json:"requests"`
}

// MaxCandidateCosts bounds the length of Choice.Candidates.
const MaxCandidateCosts = 8

// Choice is the selected server with the data that led to its selection.
type Choice struct {
	Server Server
	Reason string
	// Candidates holds the costs of the cheapest candidates, cheapest first. It
	// always includes the selected server.
	Candidates           []CandidateCost
	ExpectedCachedTokens int
	PredictedFirstToken  time.Duration
	// UsualFirstToken is the prediction for a server of usual speed; 0 if too little was
	// observed to predict it.
	UsualFirstToken time.Duration

	// features are the inputs of the latency prediction.
	features features
	// modelTrained is true if the latency model had enough observations.
	modelTrained bool
}

// Config holds the parameters of a Picker.
type Config struct {
	Weights config.RouteWeights
	Target  config.LatencyTarget
	// MaxConcurrentPerServer bounds this entry's running requests on one
	// server; default 64.
	MaxConcurrentPerServer int
	// SubsetSize is the number of servers that this entry uses; 0 means all.
	SubsetSize int
	// Self is the entry's ID; it determines the subset of servers and seeds the
	// random number generator.
	Self string
	// Zone is the entry's availability zone. The selection does not use it yet.
	Zone string
	// BlockTokens is the size of a prompt block in tokens; default 64.
	BlockTokens int
	// MaxContexts bounds the number of contexts in the index; default 16,384.
	MaxContexts int
	// MaxBlocks bounds the number of prompt blocks in each index of blocks;
	// default 131,072.
	MaxBlocks int
}

// Default values of Config.
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
