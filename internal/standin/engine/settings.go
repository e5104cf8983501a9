package engine

import "time"

// Settings of an engine. Zero fields take their defaults.
type Settings struct {
	// ID is the engine's name; default "engine".
	ID string
	// Models are served from the start; default "m".
	Models []string
	// PrefillTokensPerSecond is shared by the batch; default 8000.
	PrefillTokensPerSecond float64
	// DecodeTokensPerSecond is the rate of one sequence in a batch of the
	// given size; default 100/(1+batch/64).
	DecodeTokensPerSecond func(batch int) float64
	// MaxBatch is the number of sequences that run together; default 32.
	MaxBatch int
	// MaxWaiting bounds the queue; default 256.
	MaxWaiting int
	// KVTokens is the size of the KV cache in tokens; default 65536.
	KVTokens int
	// KVBytesPerToken is the size of exported KV cache; default 64.
	KVBytesPerToken int
	// MaxBlobBytes bounds exports and imports of KV cache; default 16 MB.
	MaxBlobBytes int
	// KeepFinished is how long a finished attempt can be resumed; default 60 s.
	KeepFinished time.Duration
	// MaxKept bounds the finished attempts kept; default 1024.
	MaxKept int
	// LoadLag is the age at which a load report is refreshed; default 100 ms.
	LoadLag time.Duration
	// CacheEventLag is the delay of published cache events; default 200 ms.
	CacheEventLag time.Duration
	// CacheEventGapEvery loses every n-th cache event; 0 loses none.
	CacheEventGapEvery int
	// ChecksFencing refuses orders with an old fencing number.
	ChecksFencing bool
	// PlainStreams leaves out the ids of events and does not refuse a known
	// attempt, as a server without the extensions does.
	PlainStreams bool
	// Seed feeds the salts of requests with a temperature.
	Seed uint64
	// MaxRecorded bounds the executions recorded for oracles; default 100000.
	MaxRecorded int
	// OnCrash is called, without locks, when a marker crashes the engine.
	OnCrash func()
}

const (
	prefillChunkTokens = 512
	maxBodyBytes       = 8 << 20
	defaultModel       = "m"
)

func (s Settings) withDefaults() Settings {
	setDefault(&s.ID, "engine")
	if len(s.Models) == 0 {
		s.Models = []string{defaultModel}
	}
	setDefault(&s.PrefillTokensPerSecond, 8000)
	if s.DecodeTokensPerSecond == nil {
		s.DecodeTokensPerSecond = func(batch int) float64 { return 100 / (1 + float64(batch)/64) }
	}
	setDefault(&s.MaxBatch, 32)
	setDefault(&s.MaxWaiting, 256)
	setDefault(&s.KVTokens, 65536)
	setDefault(&s.KVBytesPerToken, 64)
	setDefault(&s.MaxBlobBytes, 16<<20)
	setDefault(&s.KeepFinished, time.Minute)
	setDefault(&s.MaxKept, 1024)
	setDefault(&s.LoadLag, 100*time.Millisecond)
	setDefault(&s.CacheEventLag, 200*time.Millisecond)
	setDefault(&s.MaxRecorded, 100000)
	return s
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Faults are switched on and off at any time with Server.SetFaults.
type Faults struct {
	// CrashMarker crashes the engine when it starts a prompt that contains it.
	CrashMarker string
	// Refuse answers 503 with Retry-After before running.
	Refuse bool
	// TruncateAfter ends each stream after so many events without a finish
	// marker; 0 is off.
	TruncateAfter int
	// Slowdown multiplies the time of each step; 0 is 1.
	Slowdown float64
	// Stall stops all progress.
	Stall bool
	// LoseAnswer runs requests and drops their connections unanswered.
	LoseAnswer bool
}

// Execution is one started run of a prompt, for oracles.
type Execution struct {
	Attempt    string
	Request    string
	PromptHash uint64
	StartedAt  time.Time
	// Prompt and Recomputed count tokens to prefill and those not cached.
	Prompt     int
	Recomputed int
	// Crashed is true if the execution crashed the engine.
	Crashed bool
}
