package config

// Document is the operators' configuration: organisations, services and the
// ordered list of rules. It is stored as one value in the key-value service and
// changes only by compare-and-swap on Revision.
type Document struct {
	// Revision increases by one with every accepted change; the first is 1.
	Revision int64 `json:"revision" msgpack:"rev"`
	// OperationID identifies the change that produced this revision, so that the
	// outcome of a write whose response was lost can be found by a read.
	OperationID string `json:"operationId,omitempty" msgpack:"op,omitempty"`

	Organisations []Organisation `json:"organisations" msgpack:"orgs"`
	Services      []Service      `json:"services" msgpack:"svcs"`
	Rules         []Rule         `json:"rules" msgpack:"rules"`
	// OlderSystem is the system that is being replaced; nil if there is none.
	OlderSystem *OlderSystem `json:"olderSystem,omitempty" msgpack:"old,omitempty"`
	// CallerLimits limit the requests that relays accept from callers.
	CallerLimits CallerLimits `json:"callerLimits,omitzero" msgpack:"cl"`
}

// CallerLimits limit the requests and connections of callers. A value of 0 means
// that only the relay's own limit applies.
type CallerLimits struct {
	MaxHeaderBytes int   `json:"maxHeaderBytes,omitempty" msgpack:"h,omitempty"`
	MaxBodyBytes   int64 `json:"maxBodyBytes,omitempty" msgpack:"b,omitempty"`
	// HeaderTimeoutMillis bounds the time from the start of a connection, or from the
	// first bytes of a later request, to the end of the header; IdleTimeoutMillis
	// bounds the wait for a later request.
	HeaderTimeoutMillis int `json:"headerTimeoutMillis,omitempty" msgpack:"ht,omitempty"`
	IdleTimeoutMillis   int `json:"idleTimeoutMillis,omitempty" msgpack:"it,omitempty"`
}

// Organisation is a group of callers that authenticate with its bearer keys and
// share its limits.
type Organisation struct {
	Name string `json:"name" msgpack:"n"`
	// KeyHashes are the SHA-256 hashes of its bearer keys in lower-case hexadecimal.
	KeyHashes []string `json:"keyHashes" msgpack:"k"`
	// RequestsPerSecond is the rate limit of accepted requests per entry VM; 0 is
	// unlimited.
	RequestsPerSecond float64 `json:"requestsPerSecond,omitempty" msgpack:"rps,omitempty"`
	// Burst is the size of the token bucket in requests; default the requests of one
	// second.
	Burst int `json:"burst,omitempty" msgpack:"b,omitempty"`
	// MaxConcurrent is the limit of concurrent requests per entry VM; 0 is
	// unlimited.
	MaxConcurrent int `json:"maxConcurrent,omitempty" msgpack:"mc,omitempty"`
	// Share is the organisation's weight in fair queueing; default 1.
	Share float64 `json:"share,omitempty" msgpack:"sh,omitempty"`
	// Quota limits the organisation's work over all relays of a site together; nil
	// is unlimited.
	Quota *Quota `json:"quota,omitempty" msgpack:"q,omitempty"`
	// Rank overrides the rank of the rule's call policy; nil means no override.
	Rank *int `json:"rank,omitempty" msgpack:"rk,omitempty"`
}

// Quota limits work over all relays of a site together. In any window the work is
// at most the rate times the window's length, plus the burst.
type Quota struct {
	// PerSecond is the sustained rate in tokens, or in requests if ByRequest.
	PerSecond float64 `json:"perSecond" msgpack:"p"`
	// Burst is the amount allowed beyond the sustained rate, in the same unit.
	Burst float64 `json:"burst" msgpack:"b"`
	// PlainTokens is the cost, in tokens, of a request without a token count.
	PlainTokens float64 `json:"plainTokens,omitempty" msgpack:"t,omitempty"`
	// ByRequest counts requests instead of tokens: each request costs 1.
	ByRequest bool `json:"byRequest,omitempty" msgpack:"r,omitempty"`
}

// ServiceKind selects the protocol of a service.
type ServiceKind string

// Service kinds.
const (
	// ModelService is a language model with a chat and completion API.
	ModelService ServiceKind = "model"
	// PlainService is any other HTTP application.
	PlainService ServiceKind = "plain"
)

// OutagePolicy selects the handling of non-repeatable requests while the
// key-value service is unavailable.
type OutagePolicy string

// Outage policies.
const (
	// OutageRefuse refuses them with the error "not-run" and a Retry-After header.
	// It is the default.
	OutageRefuse OutagePolicy = "refuse"
	// OutageOwner lets the owner of the request's partition run them without a
	// claim in the store. The claims are written when the store is available again.
	OutageOwner OutagePolicy = "owner"
)

// Service is a model or an application that callers can send requests to. It runs
// on a set of backend servers.
type Service struct {
	Name string      `json:"name" msgpack:"n"`
	Kind ServiceKind `json:"kind" msgpack:"k"`
	// Models are the model names that callers request; model services only.
	Models []string `json:"models,omitempty" msgpack:"m,omitempty"`
	// NonRepeatable matches the calls of a plain service that must run at most once.
	NonRepeatable []CallMatch `json:"nonRepeatable,omitempty" msgpack:"nr,omitempty"`
	// StoreOutage is the policy for non-repeatable requests while the key-value
	// service is unavailable; default "refuse".
	StoreOutage OutagePolicy `json:"storeOutage,omitempty" msgpack:"so,omitempty"`
	// ChecksFencing is true if the backend servers refuse the planner's orders when
	// their fencing token is outdated.
	ChecksFencing bool          `json:"checksFencing,omitempty" msgpack:"cf,omitempty"`
	Target        LatencyTarget `json:"target,omitzero" msgpack:"t"`
	Weights       RouteWeights  `json:"weights,omitzero" msgpack:"w"`
	// TimeoutSeconds bounds one request, from its first byte received to the last
	// byte of the response sent; default 600.
	TimeoutSeconds float64 `json:"timeoutSeconds,omitempty" msgpack:"to,omitempty"`
	// MaxConcurrentPerServer is the limit of concurrent requests from one entry VM
	// to one backend server; default 64.
	MaxConcurrentPerServer int `json:"maxConcurrentPerServer,omitempty" msgpack:"mcs,omitempty"`
	// RetryBudget is the ratio of retries to first attempts; default 0.2.
	RetryBudget float64 `json:"retryBudget,omitempty" msgpack:"rb,omitempty"`
	// MaxConnectionsPerServer is the limit of connections of all relays together to
	// one backend server; 0 is unlimited.
	MaxConnectionsPerServer int `json:"maxConnectionsPerServer,omitempty" msgpack:"mx,omitempty"`
	// HealthPath is the path under which a backend server answers at once and states its
	// load; empty if relays must not ask it.
	HealthPath string `json:"healthPath,omitempty" msgpack:"hp,omitempty"`
	// Slots is the number of requests that one backend server runs concurrently; 0
	// means unknown.
	Slots int `json:"slots,omitempty" msgpack:"sl,omitempty"`
	// CacheTokens is the size of one model engine's KV cache in tokens; 0 means
	// unknown.
	CacheTokens int `json:"cacheTokens,omitempty" msgpack:"ct,omitempty"`
	// Scaling configures autoscaling by relays; nil disables it.
	Scaling *Scaling `json:"scaling,omitempty" msgpack:"sc,omitempty"`
}

// Scaling configures the number of backend servers of a service in each zone.
type Scaling struct {
	// Min and Max bound the number of backend servers in each zone.
	Min int `json:"min" msgpack:"mn"`
	Max int `json:"max" msgpack:"mx"`
	// BootSeconds is the time from ordering a backend server until it serves.
	BootSeconds float64 `json:"bootSeconds,omitempty" msgpack:"b,omitempty"`
	// ReclaimablePrice is the price of a reclaimable backend server relative to a
	// non-reclaimable one; 0 if there are no reclaimable ones.
	ReclaimablePrice float64 `json:"reclaimablePrice,omitempty" msgpack:"r,omitempty"`
	// ZonePrices are the relative prices of one backend server by zone.
	ZonePrices map[string]float64 `json:"zonePrices,omitempty" msgpack:"z,omitempty"`
}

// CallMatch matches calls of a plain service.
type CallMatch struct {
	// Method is an HTTP method; empty matches all.
	Method string `json:"method,omitempty" msgpack:"m,omitempty"`
	// PathPrefix is a prefix of the path after /services/{service}.
	PathPrefix string `json:"pathPrefix,omitempty" msgpack:"p,omitempty"`
}

// LatencyTarget is the latency target of a service at the 95th percentile.
type LatencyTarget struct {
	FirstTokenMillis    float64 `json:"firstTokenMillis,omitempty" msgpack:"ft,omitempty"`
	BetweenTokensMillis float64 `json:"betweenTokensMillis,omitempty" msgpack:"bt,omitempty"`
	// AnswerMillis is the target for the full response of a plain service.
	AnswerMillis float64 `json:"answerMillis,omitempty" msgpack:"an,omitempty"`
}

// RouteWeights are the weights of the terms of a routing decision. They convert
// each term to milliseconds of predicted latency.
type RouteWeights struct {
	// RecomputedTokenMillis is the cost of one recomputed prompt token;
	// default 0.2.
	RecomputedTokenMillis float64 `json:"recomputedTokenMillis,omitempty" msgpack:"rt,omitempty"`
	// PriceMillis is the cost of one currency unit per accelerator hour;
	// default 10.
	PriceMillis float64 `json:"priceMillis,omitempty" msgpack:"p,omitempty"`
}

// Rule is one rule of the ordered list. The first rule whose When matches a
// request is applied.
type Rule struct {
	Name string `json:"name" msgpack:"n"`
	When When   `json:"when" msgpack:"w"`
	Then Then   `json:"then" msgpack:"t"`
}

// When is the condition of a rule. All fields that are set must match; a field that
// is not set matches every request.
type When struct {
	Organisations []string `json:"organisations,omitempty" msgpack:"o,omitempty"`
	Services      []string `json:"services,omitempty" msgpack:"s,omitempty"`
	Models        []string `json:"models,omitempty" msgpack:"m,omitempty"`
	// Kinds are kinds of calls: "chat", "completion" or "plain".
	Kinds           []string `json:"kinds,omitempty" msgpack:"k,omitempty"`
	MinPromptTokens int      `json:"minPromptTokens,omitempty" msgpack:"mn,omitempty"`
	// MaxPromptTokens is inclusive; 0 is unlimited.
	MaxPromptTokens int      `json:"maxPromptTokens,omitempty" msgpack:"mx,omitempty"`
	Repeatable      *bool    `json:"repeatable,omitempty" msgpack:"r,omitempty"`
	Priorities      []string `json:"priorities,omitempty" msgpack:"p,omitempty"`
	// HasContext matches requests with (true) or without (false) a context
	// identifier.
	HasContext *bool    `json:"hasContext,omitempty" msgpack:"c,omitempty"`
	Zones      []string `json:"zones,omitempty" msgpack:"z,omitempty"`
	// Hours is a range of UTC hours; it spans midnight if From is later than To.
	Hours *HourRange `json:"hours,omitempty" msgpack:"h,omitempty"`
	// LoadAbove matches if the service's load (0 to 1 and above) exceeds it.
	LoadAbove *float64 `json:"loadAbove,omitempty" msgpack:"l,omitempty"`
	// PriceAbove matches if the price per hour of the cheapest live backend server
	// exceeds it.
	PriceAbove *float64 `json:"priceAbove,omitempty" msgpack:"pa,omitempty"`
	// Hosts are the host names in the callers' requests, in lower case.
	Hosts []string `json:"hosts,omitempty" msgpack:"ho,omitempty"`
	// PathPrefixes begin and end with "/".
	PathPrefixes []string `json:"pathPrefixes,omitempty" msgpack:"pp,omitempty"`
}

// HourRange is the half-open range [From, To) of hours of the day in UTC.
type HourRange struct {
	From int `json:"from" msgpack:"f"`
	To   int `json:"to" msgpack:"t"`
}

// Then is the action of a rule. Exactly one of Service and Refuse is set.
type Then struct {
	Service string `json:"service,omitempty" msgpack:"s,omitempty"`
	Model   string `json:"model,omitempty" msgpack:"m,omitempty"`
	Version string `json:"version,omitempty" msgpack:"v,omitempty"`
	// OlderSystemShare is the fraction (0 to 1) of contexts that are sent to the
	// older system.
	OlderSystemShare float64 `json:"olderSystemShare,omitempty" msgpack:"os,omitempty"`
	// Priority is "high", "normal" (default) or "low".
	Priority string `json:"priority,omitempty" msgpack:"p,omitempty"`
	// DeadlineMillis bounds the wait for the first byte; a request that cannot meet
	// it is refused early or sent to a fallback.
	DeadlineMillis float64 `json:"deadlineMillis,omitempty" msgpack:"d,omitempty"`
	VMClass        string  `json:"vmClass,omitempty" msgpack:"vc,omitempty"`
	// Fallback lists the services that are tried in order when Service cannot take
	// the request.
	Fallback []string `json:"fallback,omitempty" msgpack:"f,omitempty"`
	Refuse   *Refuse  `json:"refuse,omitempty" msgpack:"r,omitempty"`
	// Call is the policy by which relays execute the call.
	Call *CallPolicy `json:"call,omitempty" msgpack:"ca,omitempty"`
}

// Repetition states whether a call may be sent to a backend server again.
type Repetition string

// Repetitions of a call.
const (
	// RunOnce calls run at most once for each attempt of a caller.
	RunOnce Repetition = "once"
	// Repeatable calls may run more than once.
	Repeatable Repetition = "repeatable"
	// Resumable streams may run more than once, and may be resumed at another backend
	// server after the last event received.
	Resumable Repetition = "resumable"
)

// CallPolicy configures how relays execute the calls of a rule.
type CallPolicy struct {
	Repetition Repetition `json:"repetition" msgpack:"r"`
	// Stream is true if the response is a stream of events.
	Stream bool `json:"stream,omitempty" msgpack:"s,omitempty"`
	// TimeoutMillis bounds the call from its arrival to the end of its response.
	TimeoutMillis float64 `json:"timeoutMillis,omitempty" msgpack:"t,omitempty"`
	// TargetMillis is the latency target of the response, or of the first event of a
	// stream.
	TargetMillis float64 `json:"targetMillis,omitempty" msgpack:"g,omitempty"`
	// TargetGapMillis is the target for the time between events.
	TargetGapMillis float64 `json:"targetGapMillis,omitempty" msgpack:"p,omitempty"`
	// Attempts is the maximum number of times that one call is sent to a backend
	// server; default 1.
	Attempts int `json:"attempts,omitempty" msgpack:"a,omitempty"`
	// Rank is the priority of the calls: 0 is the highest, 9 the lowest.
	Rank int `json:"rank,omitempty" msgpack:"k,omitempty"`
	// Public is true if calls need no bearer key.
	Public bool `json:"public,omitempty" msgpack:"u,omitempty"`
	// Split distributes the calls over services by weight; if empty, all go to
	// Then.Service.
	Split []ServiceWeight `json:"split,omitempty" msgpack:"w,omitempty"`
}

// ServiceWeight is the weight of one service in a split.
type ServiceWeight struct {
	Service string  `json:"service" msgpack:"s"`
	Weight  float64 `json:"weight" msgpack:"w"`
}

// Refuse configures the response to a request that is refused.
type Refuse struct {
	Reason            string  `json:"reason" msgpack:"r"`
	RetryAfterSeconds float64 `json:"retryAfterSeconds,omitempty" msgpack:"ra,omitempty"`
}

// OlderSystem is the serving system that is being replaced.
type OlderSystem struct {
	// Address is the "host:port" of its HTTP API.
	Address string `json:"address" msgpack:"a"`
	// PricePerHour is its price while it runs.
	PricePerHour float64 `json:"pricePerHour,omitempty" msgpack:"p,omitempty"`
}
