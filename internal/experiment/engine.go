package experiment

import (
	"slices"
	"time"

	"buckthornpick/internal/backend"
	"buckthornpick/internal/route"
)

// engineSpec describes the speed and size of a backend server with one
// accelerator. A batch step takes baseStep, plus perRequest for each decoding
// request, plus perToken for each prompt token computed.
type engineSpec struct {
	baseStep, perRequest, perToken time.Duration
	// maxBatch limits the running requests, maxStepTokens the prompt tokens
	// computed in one step.
	maxBatch, maxStepTokens int
	// cacheBlocks is the capacity of the prefix cache in blocks.
	cacheBlocks int
}

// scaled returns the spec of a server with n accelerators, assuming linear
// scaling.
func (s engineSpec) scaled(n int) engineSpec {
	s.perRequest /= time.Duration(n)
	s.perToken /= time.Duration(n)
	s.maxBatch *= n
	s.maxStepTokens *= n
	s.cacheBlocks *= n
	return s
}

// attempt is one execution of a request on one engine.
type attempt struct {
	job    *job
	prompt int
	// uncomputed is the number of prompt tokens still to compute.
	uncomputed int
	cached     int
	computed   int
	generated  int
	firstAt    time.Duration
	// onFirstToken, onDone and onLost are called when the event happens on the
	// engine, without network delay.
	onFirstToken, onDone, onLost func()
}

// engine models a backend server.
type engine struct {
	loop   *loop
	server route.Server
	spec   engineSpec
	cache  *blockCache

	waiting  []*attempt
	running  []*attempt
	stepping bool
	dead     bool
	// reportTokens counts the tokens generated since the last report.
	reportTokens  int
	reportedAt    time.Duration
	report        backend.Load
	eventSequence int64
}

func newEngine(l *loop, server route.Server, spec engineSpec) *engine {
	spec = spec.scaled(max(1, server.Accelerators))
	return &engine{loop: l, server: server, spec: spec, cache: newBlockCache(spec.cacheBlocks)}
}

// priorityRank orders priorities; the lowest rank runs first.
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

// enqueue adds an attempt to the queue, behind all others of the same or a
// higher priority. On a dead engine the attempt is lost.
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

// admit moves waiting attempts into the batch and looks up their cached prefix.
func (e *engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.spec.maxBatch {
		a := e.waiting[0]
		e.waiting = slices.Delete(e.waiting, 0, 1)
		a.cached = min(a.prompt, e.cache.match(a.job.blocks)*blockTokens)
		a.uncomputed = max(1, a.prompt-a.cached)
		e.running = append(e.running, a)
	}
}

// step computes the next chunk of prompt tokens and schedules the end of the
// batch step.
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

// endStep generates one token for every attempt whose prompt is computed.
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

// updateReport replaces the engine's load report.
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

// kill stops the engine; all its attempts are lost.
func (e *engine) kill() {
	e.dead = true
	lost := append(e.running, e.waiting...)
	e.running, e.waiting = nil, nil
	for _, a := range lost {
		a.onLost()
	}
}

func (e *engine) idle() bool { return len(e.running)+len(e.waiting) == 0 }
