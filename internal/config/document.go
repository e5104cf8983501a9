package config

// Document is the operators' configuration: services, organisations and the
// ordered rules. It is one value in the key-value service and changes only by
// compare-and-swap on Revision.
type Document struct {
	// Revision rises by one with every accepted change; the first is 1.
	Revision int64 `json:"revision" msgpack:"rev"`
	// OperationID names the change that produced this revision, so that a
	// lost answer of the store can be resolved by reading back.
	OperationID string `json:"operationId,omitempty" msgpack:"op,omitempty"`

	Organisations []Organisation `json:"organisations" msgpack:"orgs"`
	Services      []Service      `json:"services" msgpack:"svcs"`
	Rules         []Rule         `json:"rules" msgpack:"rules"`
	OlderSystem   *OlderSystem   `json:"olderSystem,omitempty" msgpack:"old,omitempty"`
	// CallerLimits bound what a caller of a relay may send.
	CallerLimits CallerLimits `json:"callerLimits,omitzero" msgpack:"cl"`
}

// CallerLimits bound a caller's request. 0 is the entry's own bound.
type CallerLimits struct {
	MaxHeaderBytes int   `json:"maxHeaderBytes,omitempty" msgpack:"h,omitempty"`
	MaxBodyBytes   int64 `json:"maxBodyBytes,omitempty" msgpack:"b,omitempty"`
	// HeaderTimeoutMillis bounds the time to the first request of a connection,
	// IdleTimeoutMillis that between two; 0 is the relay's own bound.
	HeaderTimeoutMillis int `json:"headerTimeoutMillis,omitempty" msgpack:"ht,omitempty"`
	IdleTimeoutMillis   int `json:"idleTimeoutMillis,omitempty" msgpack:"it,omitempty"`
}

// Organisation is a customer whose callers hold bearer keys.
type Organisation struct {
	Name string `json:"name" msgpack:"n"`
	// KeyHashes are the hex SHA-256 sums of the organisation's bearer keys.
	KeyHashes []string `json:"keyHashes" msgpack:"k"`
	// RequestsPerSecond bounds accepted requests per entry VM; 0 is unlimited.
	RequestsPerSecond float64 `json:"requestsPerSecond,omitempty" msgpack:"rps,omitempty"`
	// Burst is the size of the rate bucket in requests; default one second's worth.
	Burst int `json:"burst,omitempty" msgpack:"b,omitempty"`
	// MaxConcurrent bounds running requests per entry VM; 0 is unlimited.
	MaxConcurrent int `json:"maxConcurrent,omitempty" msgpack:"mc,omitempty"`
	// Share is the weight in fair sharing; default 1.
	Share float64 `json:"share,omitempty" msgpack:"sh,omitempty"`
	// Quota bounds the organisation's work over all entries of a site of
	// relays; nil is unlimited.
	Quota *Quota `json:"quota,omitempty" msgpack:"q,omitempty"`
	// Rank goes before the rank of the rule's call policy; nil is none.
	Rank *int `json:"rank,omitempty" msgpack:"rk,omitempty"`
}

// Quota bounds work over all entries together, over any window.
type Quota struct {
	// PerSecond is the sustained rate in tokens, or in requests if ByRequest.
	PerSecond float64 `json:"perSecond" msgpack:"p"`
	// Burst may be spent beyond the rate.
	Burst float64 `json:"burst" msgpack:"b"`
	// PlainTokens is the cost of a request that states no tokens.
	PlainTokens float64 `json:"plainTokens,omitempty" msgpack:"t,omitempty"`
	// ByRequest counts each request as 1.
	ByRequest bool `json:"byRequest,omitempty" msgpack:"r,omitempty"`
}

// ServiceKind tells how a service is called.
type ServiceKind string

// Service kinds.
const (
	ModelService ServiceKind = "model"
	PlainService ServiceKind = "plain"
)

// OutagePolicy says what happens to non-repeatable requests while the
// key-value service is down.
type OutagePolicy string

// Outage policies.
const (
	// OutageRefuse answers "not-run" with Retry-After. It is the default.
	OutageRefuse OutagePolicy = "refuse"
	// OutageOwner lets the partition's owner go on without the store.
	OutageOwner OutagePolicy = "owner"
)

// Service is something that callers can ask for.
type Service struct {
	Name string      `json:"name" msgpack:"n"`
	Kind ServiceKind `json:"kind" msgpack:"k"`
	// Models are the model names that callers use; model services only.
	Models []string `json:"models,omitempty" msgpack:"m,omitempty"`
	// NonRepeatable lists calls of a plain service that must run at most once.
	NonRepeatable []CallMatch `json:"nonRepeatable,omitempty" msgpack:"nr,omitempty"`
	// StoreOutage is the policy for non-repeatable requests; default "refuse".
	StoreOutage OutagePolicy `json:"storeOutage,omitempty" msgpack:"so,omitempty"`
	// ChecksFencing is true if the backend servers refuse orders with an old
	// fencing number.
	ChecksFencing bool          `json:"checksFencing,omitempty" msgpack:"cf,omitempty"`
	Target        LatencyTarget `json:"target,omitzero" msgpack:"t"`
	Weights       RouteWeights  `json:"weights,omitzero" msgpack:"w"`
	// TimeoutSeconds bounds one request, first byte in to last byte out;
	// default 600.
	TimeoutSeconds float64 `json:"timeoutSeconds,omitempty" msgpack:"to,omitempty"`
	// MaxConcurrentPerServer bounds running requests per backend server as
	// seen by one entry VM; default 64.
	MaxConcurrentPerServer int `json:"maxConcurrentPerServer,omitempty" msgpack:"mcs,omitempty"`
	// RetryBudget is the share of retries per first attempt; default 0.2.
	RetryBudget float64 `json:"retryBudget,omitempty" msgpack:"rb,omitempty"`
	// MaxConnectionsPerServer bounds the connections of all entries to one
	// backend server; 0 is unbounded.
	MaxConnectionsPerServer int `json:"maxConnectionsPerServer,omitempty" msgpack:"mx,omitempty"`
	// Slots is the number of requests that one backend server runs at once; 0
	// is unknown.
	Slots int `json:"slots,omitempty" msgpack:"sl,omitempty"`
	// CacheTokens is the memory of one model engine in tokens; 0 is unknown.
	CacheTokens int `json:"cacheTokens,omitempty" msgpack:"ct,omitempty"`
	// Scaling bounds the backend servers that relays order; nil orders none.
	Scaling *Scaling `json:"scaling,omitempty" msgpack:"sc,omitempty"`
}

// Scaling bounds the number of a service's backend servers in each zone.
type Scaling struct {
	Min int `json:"min" msgpack:"mn"`
	Max int `json:"max" msgpack:"mx"`
	// BootSeconds is the time from an order to a serving backend server.
	BootSeconds float64 `json:"bootSeconds,omitempty" msgpack:"b,omitempty"`
	// ReclaimablePrice is the price of a reclaimable backend server as a part of
	// that of another one; 0 if there are none.
	ReclaimablePrice float64 `json:"reclaimablePrice,omitempty" msgpack:"r,omitempty"`
	// ZonePrices are relative prices of one backend server by zone.
	ZonePrices map[string]float64 `json:"zonePrices,omitempty" msgpack:"z,omitempty"`
}

// CallMatch matches calls of a plain service.
type CallMatch struct {
	// Method is an HTTP method; empty matches all.
	Method string `json:"method,omitempty" msgpack:"m,omitempty"`
	// PathPrefix is matched against the path after /services/{service}.
	PathPrefix string `json:"pathPrefix,omitempty" msgpack:"p,omitempty"`
}

// LatencyTarget is the service's target at the 95th percentile.
type LatencyTarget struct {
	FirstTokenMillis    float64 `json:"firstTokenMillis,omitempty" msgpack:"ft,omitempty"`
	BetweenTokensMillis float64 `json:"betweenTokensMillis,omitempty" msgpack:"bt,omitempty"`
	// AnswerMillis is the target for whole answers of plain services.
	AnswerMillis float64 `json:"answerMillis,omitempty" msgpack:"an,omitempty"`
}

// RouteWeights weigh the terms of a routing decision. The common unit is
// milliseconds of predicted latency.
type RouteWeights struct {
	// RecomputedTokenMillis is the cost of one recomputed prompt token;
	// default 0.2.
	RecomputedTokenMillis float64 `json:"recomputedTokenMillis,omitempty" msgpack:"rt,omitempty"`
	// PriceMillis is the cost of one currency unit per accelerator hour;
	// default 10.
	PriceMillis float64 `json:"priceMillis,omitempty" msgpack:"p,omitempty"`
}

// Rule is one entry of the ordered list. The first rule whose When matches
// decides.
type Rule struct {
	Name string `json:"name" msgpack:"n"`
	When When   `json:"when" msgpack:"w"`
	Then Then   `json:"then" msgpack:"t"`
}

// When is a conjunction; an absent field matches every request.
type When struct {
	Organisations []string `json:"organisations,omitempty" msgpack:"o,omitempty"`
	Services      []string `json:"services,omitempty" msgpack:"s,omitempty"`
	Models        []string `json:"models,omitempty" msgpack:"m,omitempty"`
	// Kinds are kinds of call: "chat", "completion", "plain".
	Kinds           []string `json:"kinds,omitempty" msgpack:"k,omitempty"`
	MinPromptTokens int      `json:"minPromptTokens,omitempty" msgpack:"mn,omitempty"`
	// MaxPromptTokens is inclusive; 0 is no bound.
	MaxPromptTokens int      `json:"maxPromptTokens,omitempty" msgpack:"mx,omitempty"`
	Repeatable      *bool    `json:"repeatable,omitempty" msgpack:"r,omitempty"`
	Priorities      []string `json:"priorities,omitempty" msgpack:"p,omitempty"`
	// HasContext matches requests with (true) or without (false) a context.
	HasContext *bool    `json:"hasContext,omitempty" msgpack:"c,omitempty"`
	Zones      []string `json:"zones,omitempty" msgpack:"z,omitempty"`
	// Hours is a UTC range; From may be later than To to span midnight.
	Hours *HourRange `json:"hours,omitempty" msgpack:"h,omitempty"`
	// LoadAbove matches if the service's load (0 to 1 and above) exceeds it.
	LoadAbove *float64 `json:"loadAbove,omitempty" msgpack:"l,omitempty"`
	// PriceAbove matches if the cheapest live server's price per hour exceeds it.
	PriceAbove *float64 `json:"priceAbove,omitempty" msgpack:"pa,omitempty"`
	// Hosts are the hosts that callers name, in lower case.
	Hosts []string `json:"hosts,omitempty" msgpack:"ho,omitempty"`
	// PathPrefixes begin and end with "/".
	PathPrefixes []string `json:"pathPrefixes,omitempty" msgpack:"pp,omitempty"`
}

// HourRange is [From, To) in hours of the day, UTC.
type HourRange struct {
	From int `json:"from" msgpack:"f"`
	To   int `json:"to" msgpack:"t"`
}

// Then is the outcome of a rule. Exactly one of Service and Refuse is set.
type Then struct {
	Service string `json:"service,omitempty" msgpack:"s,omitempty"`
	Model   string `json:"model,omitempty" msgpack:"m,omitempty"`
	Version string `json:"version,omitempty" msgpack:"v,omitempty"`
	// OlderSystemShare (0 to 1) of the contexts goes to the older system.
	OlderSystemShare float64 `json:"olderSystemShare,omitempty" msgpack:"os,omitempty"`
	// Priority is "high", "normal" (default) or "low".
	Priority string `json:"priority,omitempty" msgpack:"p,omitempty"`
	// DeadlineMillis is the longest wait before the first byte; a request that
	// cannot meet it is refused early or takes a fallback.
	DeadlineMillis float64 `json:"deadlineMillis,omitempty" msgpack:"d,omitempty"`
	VMClass        string  `json:"vmClass,omitempty" msgpack:"vc,omitempty"`
	// Fallback names services tried in order when Service cannot take the
	// request.
	Fallback []string `json:"fallback,omitempty" msgpack:"f,omitempty"`
	Refuse   *Refuse  `json:"refuse,omitempty" msgpack:"r,omitempty"`
	// Call tells a relay how to carry out the call.
	Call *CallPolicy `json:"call,omitempty" msgpack:"ca,omitempty"`
}

// Repetition tells what may be repeated of a call.
type Repetition string

// Repetitions of a call.
const (
	// RunOnce calls run at most once for each attempt of a caller.
	RunOnce Repetition = "once"
	// Repeatable calls may run more than once.
	Repeatable Repetition = "repeatable"
	// Resumable streams may run more than once, and may go on at another
	// backend server after the last event that arrived.
	Resumable Repetition = "resumable"
)

// CallPolicy is how a relay carries out the calls of a rule.
type CallPolicy struct {
	Repetition Repetition `json:"repetition" msgpack:"r"`
	// Stream calls are answered by a series of events.
	Stream bool `json:"stream,omitempty" msgpack:"s,omitempty"`
	// TimeoutMillis bounds the call from its arrival to the end of its answer.
	TimeoutMillis float64 `json:"timeoutMillis,omitempty" msgpack:"t,omitempty"`
	// TargetMillis is the latency target: the answer, or the first event.
	TargetMillis float64 `json:"targetMillis,omitempty" msgpack:"g,omitempty"`
	// TargetGapMillis is the longest pause between events within the target.
	TargetGapMillis float64 `json:"targetGapMillis,omitempty" msgpack:"p,omitempty"`
	// Attempts bounds the backend servers that one call is sent to; default 1.
	Attempts int `json:"attempts,omitempty" msgpack:"a,omitempty"`
	// Rank orders calls; 0 goes first, 9 last.
	Rank int `json:"rank,omitempty" msgpack:"k,omitempty"`
	// Public calls need no key.
	Public bool `json:"public,omitempty" msgpack:"u,omitempty"`
	// Split spreads the calls over services by weight; empty is Then.Service
	// alone.
	Split []ServiceWeight `json:"split,omitempty" msgpack:"w,omitempty"`
}

// ServiceWeight is a service's part of a split.
type ServiceWeight struct {
	Service string  `json:"service" msgpack:"s"`
	Weight  float64 `json:"weight" msgpack:"w"`
}

// Refuse answers a request without running it.
type Refuse struct {
	Reason            string  `json:"reason" msgpack:"r"`
	RetryAfterSeconds float64 `json:"retryAfterSeconds,omitempty" msgpack:"ra,omitempty"`
}

// OlderSystem is the serving system being replaced.
type OlderSystem struct {
	// Address is "host:port" of its HTTP interface.
	Address string `json:"address" msgpack:"a"`
	// PricePerHour is charged while it is on.
	PricePerHour float64 `json:"pricePerHour,omitempty" msgpack:"p,omitempty"`
}
