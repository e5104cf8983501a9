package experiment

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// blockTokens is the number of tokens in a prompt block.
const blockTokens = 64

// Names of the services of both sites.
const (
	modelService = "model"
	plainService = "plain"
)

// job is one request of a workload.
type job struct {
	at           time.Duration
	organisation int
	kind         string
	service      string
	priority     string
	repeatable   bool
	context      uint64
	prompt       int
	output       int
	// blocks are the prompt's blocks; cachedAfter are the blocks that the engine
	// has cached once the answer is complete.
	blocks, cachedAfter []uint64
}

// organisationWeights are the shares of five organisations in the load. Those
// from firstSmallOrganisation on count as small.
var organisationWeights = []float64{0.40, 0.30, 0.15, 0.10, 0.05}

const firstSmallOrganisation = 3

// generator generates the jobs of one workload.
type generator struct {
	rng         *rand.Rand
	end         time.Duration
	jobs        []*job
	lastBlockID uint64
	// bursts holds, for each organisation, the times at which its rate is
	// multiplied by burstFactor.
	bursts [][]timeRange
}

type timeRange struct{ from, to time.Duration }

const (
	meanBurstInterval = 150 * time.Second
	burstLength       = 25 * time.Second
	burstFactor       = 3
	// rateAmplitude is the relative amplitude of the rate's slow sine wave.
	rateAmplitude = 0.3
	ratePeriod    = 10 * time.Minute
)

// Site describes one user's workload.
type Site struct {
	Name  string
	kinds []sessionKind
	// initialUtilisation is the target utilisation with which the planner's
	// demand estimator starts.
	initialUtilisation float64
}

// sessionKind is one kind of session. rate is the mean number of sessions per second
// of all organisations, at load 1 and without bursts; generate adds the jobs of one
// session.
type sessionKind struct {
	rate     float64
	generate func(g *generator, at time.Duration, organisation int)
}

// Nilevale is the site of a user that audits online shops.
var Nilevale = Site{Name: "nilevale", initialUtilisation: 0.7, kinds: []sessionKind{
	{rate: 0.9, generate: crawlReview}, {rate: 1.2, generate: pageRewrites},
	{rate: 11, generate: titleSuggestion}, {rate: 4, generate: reportFetch},
}}

// Kierowca is the site of a user that guides drivers through long intake
// conversations.
var Kierowca = Site{Name: "kierowca", initialUtilisation: 0.15, kinds: []sessionKind{
	{rate: 2, generate: intake}, {rate: 6, generate: statusUpdate},
}}

// generate returns the jobs of a site in order of arrival. load multiplies the
// rate of sessions.
func (s Site) generate(seed uint64, end time.Duration, load float64) []*job {
	g := &generator{rng: rand.New(rand.NewPCG(seed, 0x5eed)), end: end}
	g.planBursts()
	for _, kind := range s.kinds {
		for organisation, weight := range organisationWeights {
			g.generateSessions(kind, organisation, kind.rate*weight*load)
		}
	}
	slices.SortStableFunc(g.jobs, func(a, b *job) int { return cmp.Compare(a.at, b.at) })
	return g.jobs
}

func (g *generator) planBursts() {
	g.bursts = make([][]timeRange, len(organisationWeights))
	for organisation := range 2 {
		at := time.Duration(0)
		for at < g.end {
			at += g.exponential(meanBurstInterval)
			g.bursts[organisation] = append(g.bursts[organisation], timeRange{at, at + burstLength})
			at += burstLength
		}
	}
}

// generateSessions generates Poisson arrivals with a varying rate by thinning:
// it draws arrivals at the peak rate and accepts a share of them.
func (g *generator) generateSessions(kind sessionKind, organisation int, rate float64) {
	const peak = burstFactor * (1 + rateAmplitude)
	at := time.Duration(0)
	for {
		at += g.exponential(time.Duration(float64(time.Second) / (rate * peak)))
		if at >= g.end {
			return
		}
		if g.rng.Float64()*peak < g.rateFactor(organisation, at) {
			kind.generate(g, at, organisation)
		}
	}
}

// rateFactor returns the relative rate of an organisation at a time.
func (g *generator) rateFactor(organisation int, at time.Duration) float64 {
	f := 1 + rateAmplitude*math.Sin(2*math.Pi*float64(at)/float64(ratePeriod))
	for _, b := range g.bursts[organisation] {
		if at >= b.from && at < b.to {
			return f * burstFactor
		}
	}
	return f
}

func (g *generator) exponential(mean time.Duration) time.Duration {
	return time.Duration(g.rng.ExpFloat64() * float64(mean))
}

func (g *generator) intBetween(low, high int) int { return low + g.rng.IntN(high-low+1) }

// uniqueBlocks returns blocks that no other prompt contains.
func (g *generator) uniqueBlocks(tokens int) []uint64 {
	blocks := make([]uint64, (tokens+blockTokens-1)/blockTokens)
	for i := range blocks {
		g.lastBlockID++
		blocks[i] = mixHash(g.lastBlockID)
	}
	return blocks
}

// sharedBlocks returns the blocks of a text that all prompts with this textID
// have in common.
func sharedBlocks(textID, tokens int) []uint64 {
	blocks := make([]uint64, tokens/blockTokens)
	for i := range blocks {
		blocks[i] = mixHash(uint64(textID)<<40 + uint64(i) + 1)
	}
	return blocks
}

// mixHash spreads the bits of x.
func mixHash(x uint64) uint64 {
	x *= 0x9e3779b97f4a7c15
	return x ^ x>>29
}

func (g *generator) add(j job) {
	if j.at < g.end {
		g.jobs = append(g.jobs, &j)
	}
}

// modelJob returns a job of the model service whose prompt is the concatenation
// of parts.
func modelJob(kind, priority string, at time.Duration, organisation int, output int, parts ...[]uint64) job {
	blocks := slices.Concat(parts...)
	return job{
		at: at, organisation: organisation, kind: kind, service: modelService, priority: priority,
		repeatable: true, prompt: len(blocks) * blockTokens, output: output, blocks: blocks, cachedAfter: blocks,
	}
}

// crawlReview generates a session of calls over one shop's pages, which share the
// shop's profile as a prefix.
func crawlReview(g *generator, at time.Duration, organisation int) {
	profile := g.uniqueBlocks(g.intBetween(1500, 3500))
	context := profile[0]
	for range g.intBetween(6, 16) {
		j := modelJob("crawl-review", "normal", at, organisation, g.intBetween(120, 260),
			sharedBlocks(1, 512), profile, g.uniqueBlocks(g.intBetween(400, 1000)))
		j.context = context
		g.add(j)
		at += g.exponential(4 * time.Second)
	}
}

// pageRewrites generates a session of non-repeatable rewrites, which share the
// shop's style as a prefix.
func pageRewrites(g *generator, at time.Duration, organisation int) {
	style := g.uniqueBlocks(g.intBetween(600, 1400))
	for range g.intBetween(3, 7) {
		j := modelJob("rewrite", "high", at, organisation, g.intBetween(120, 220),
			sharedBlocks(2, 512), style, g.uniqueBlocks(g.intBetween(300, 700)))
		j.context, j.repeatable = style[0], false
		g.add(j)
		at += g.exponential(5 * time.Second)
	}
}

func titleSuggestion(g *generator, at time.Duration, organisation int) {
	g.add(modelJob("suggestion", "high", at, organisation, g.intBetween(15, 30),
		sharedBlocks(3, 256), g.uniqueBlocks(g.intBetween(60, 200))))
}

func reportFetch(g *generator, at time.Duration, organisation int) {
	g.add(job{at: at, organisation: organisation, kind: "report", service: plainService,
		priority: "normal", repeatable: true, output: g.intBetween(5, 20)})
}

// intake generates one applicant's conversation: each turn's prompt contains all
// earlier turns, and all turns have the same priority.
func intake(g *generator, at time.Duration, organisation int) {
	history := slices.Concat(sharedBlocks(4, 768), g.uniqueBlocks(300))
	context := history[len(history)-1]
	turns := g.intBetween(8, 18)
	for turn := range turns {
		kind, output := "chat", g.intBetween(40, 90)
		added := g.uniqueBlocks(g.intBetween(60, 200))
		if turn%4 == 1 {
			kind, added = "licence-scan", g.uniqueBlocks(g.intBetween(800, 1600))
		}
		if turn == turns-1 {
			kind, output = "contract-summary", g.intBetween(200, 320)
		}
		j := modelJob(kind, "normal", at, organisation, output, history, added)
		j.context, j.repeatable = context, kind != "contract-summary"
		j.cachedAfter = slices.Concat(j.blocks, g.uniqueBlocks(output))
		history = j.cachedAfter
		g.add(j)
		at += 3*time.Second + g.exponential(8*time.Second)
	}
}

func statusUpdate(g *generator, at time.Duration, organisation int) {
	g.add(job{at: at, organisation: organisation, kind: "status-update", service: plainService,
		priority: "high", repeatable: false, output: g.intBetween(5, 15)})
}
