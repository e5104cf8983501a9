package experiment

import (
	"slices"
	"time"

	"buckthornpick/internal/backend"
	"buckthornpick/internal/route"
)

// engineSpec is the speed of a backend server with one accelerator. A step
// takes base, plus perRequest for each request that decodes, plus perToken for
// each prompt token processed.
type engineSpec struct {
	baseStep, perRequest, perToken time.Duration
	// maxBatch bounds running requests, chunk the prompt tokens of one step.
	maxBatch, maxStepTokens int
	// cacheBlocks is the size of the prefix cache.
	cacheBlocks int
}

// scaled returns the spec of a server with n accelerators.
func (s engineSpec) scaled(n int) engineSpec {
	s.perRequest /= time.Duration(n)
	s.perToken /= time.Duration(n)
	s.maxBatch *= n
	s.maxStepTokens *= n
	s.cacheBlocks *= n
	return s
}

// attempt is one run of a request at one engine.
type attempt struct {
	job    *job
	prompt int
	// left is the number of prompt tokens still to process.
	uncomputed int
	cached     int
	computed   int
	generated  int
	firstAt    time.Duration
	// onFirst, onDone and onLost are called at the engine's time.
	onFirstToken, onDone, onLost func()
}

// engine is a model of a backend server.
type engine struct {
	loop   *loop
	server route.Server
	spec   engineSpec
	cache  *blockCache

	waiting  []*attempt
	running  []*attempt
	stepping bool
	dead     bool
	// lastTokens counts tokens since the last report.
	reportTokens  int
	reportedAt    time.Duration
	report        backend.Load
	eventSequence int64
}

func newEngine(l *loop, server route.Server, spec engineSpec) *engine {
	spec = spec.scaled(max(1, server.Accelerators))
	return &engine{loop: l, server: server, spec: spec, cache: newBlockCache(spec.cacheBlocks)}
}

// rank orders priorities; lower runs first.
func priorityRank(priority string) int {
	switch priority {
	case "high":
		return 0
	case "low":
		return 2
	default:
		return 1
	}
}

// enqueue takes an attempt; engines honour priorities.
func (e *engine) enqueue(a *attempt) {
	if e.dead {
		a.onLost()
		return
	}
	i := len(e.waiting)
	for i > 0 && priorityRank(e.waiting[i-1].job.priority) > priorityRank(a.job.priority) {
		i--
	}
	e.waiting = slices.Insert(e.waiting, i, a)
	e.startStep()
}

func (e *engine) startStep() {
	if e.stepping || e.dead {
		return
	}
	e.admit()
	if len(e.running) == 0 {
		return
	}
	e.stepping = true
	e.step()
}

// admit moves waiting attempts into the batch and looks up their prefix.
func (e *engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.spec.maxBatch {
		a := e.waiting[0]
		e.waiting = slices.Delete(e.waiting, 0, 1)
		a.cached = min(a.prompt, e.cache.match(a.job.blocks)*blockTokens)
		a.uncomputed = max(1, a.prompt-a.cached)
		e.running = append(e.running, a)
	}
}

// step plans one batch step and schedules its end.
func (e *engine) step() {
	budget := e.spec.maxStepTokens
	decoding := 0
	for _, a := range e.running {
		if a.uncomputed == 0 {
			decoding++
			continue
		}
		n := min(budget, a.uncomputed)
		a.uncomputed -= n
		a.computed += n
		budget -= n
	}
	took := e.spec.baseStep + time.Duration(decoding)*e.spec.perRequest +
		time.Duration(e.spec.maxStepTokens-budget)*e.spec.perToken
	e.loop.after(took, e.endStep)
}

// endStep hands out one token to every attempt whose prompt is processed.
func (e *engine) endStep() {
	if e.dead {
		return
	}
	kept := e.running[:0]
	for _, a := range e.running {
		if a.uncomputed == 0 {
			e.generateToken(a)
		}
		if a.generated < a.job.output {
			kept = append(kept, a)
		}
	}
	clear(e.running[len(kept):])
	e.running = kept
	e.stepping = false
	e.startStep()
}

func (e *engine) generateToken(a *attempt) {
	a.generated++
	e.reportTokens++
	if a.generated == 1 {
		a.firstAt = e.loop.now
		e.cache.insert(a.job.blocks)
		a.onFirstToken()
	}
	if a.generated == a.job.output {
		e.cache.insert(a.job.cachedAfter)
		a.onDone()
	}
}

// measure renews the load report.
func (e *engine) updateReport() {
	rate := 0.0
	if d := (e.loop.now - e.reportedAt).Seconds(); d > 0 {
		rate = float64(e.reportTokens) / d
	}
	e.reportTokens, e.reportedAt = 0, e.loop.now
	e.report = backend.Load{
		Running: len(e.running), Waiting: len(e.waiting),
		CacheUsed:       float64(e.cache.lru.Len()) / float64(e.spec.cacheBlocks),
		TokensPerSecond: rate, MeasuredAt: e.loop.clock(),
	}
}

// kill ends the engine and everything on it.
func (e *engine) kill() {
	e.dead = true
	lost := append(e.running, e.waiting...)
	e.running, e.waiting = nil, nil
	for _, a := range lost {
		a.onLost()
	}
}

func (e *engine) idle() bool { return len(e.running)+len(e.waiting) == 0 }
