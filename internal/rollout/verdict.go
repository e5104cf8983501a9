package rollout

import (
	"fmt"
	"math"
)

const (
	// badDeviations and minExcess: a version is bad if it gave so many more bad answers than
	// the old version would have given, in standard deviations and in number.
	badDeviations = 4.2
	minExcess     = 6
	// suspectDeviations is the same at the deadline, when there is no time to see more.
	suspectDeviations = 3
	// manyBad is the excess of bad answers from which suspectDeviations are enough: a
	// version may give so many only for a bounded time.
	manyBad = 30
	// otherDeviations: if several servers of the version have answered, it must look worse by
	// so many standard deviations, and as many answers, without the one that looks worst,
	// which may be broken by itself. Less is enough to make it suspect.
	otherDeviations        = 3
	suspectOtherDeviations = 1.5
	// An answer is slow if it takes slowBuckets more than slowQuantile of those of the old
	// version. minSlowShare is the least difference of the shares of slow answers: servers
	// that are cold, or loaded otherwise, differ by less.
	slowQuantile = 0.9
	slowBuckets  = 1
	minSlowShare = 0.1
	// minOldAnswers is the number of answers of the old version from which it is a measure.
	minOldAnswers = 30
	// minFailureRate and minSlowRate are the least rates that are expected of a good version.
	minFailureRate = 0.01
	minSlowRate    = 0.05
	// minNewAnswers is the number of answers of the new version without which it is not
	// completed, and minRuleAnswers that under each rule with a share of mainRuleShare of
	// the service's answers or more.
	minNewAnswers  = 60
	minRuleAnswers = 15
	mainRuleShare  = 0.1
)

// Verdict is what the answers say about a new version.
type Verdict struct {
	// IsBad is true if it is worse than the old one beyond chance, IsSuspect if it may be.
	IsBad, IsSuspect bool
	// IsTested is true if there were enough answers to find most bad versions.
	IsTested bool
	// Reason is the gravest sign, for log lines.
	Reason string
	// Deviations is how far it deviates, in standard deviations.
	Deviations float64
	// OldAnswers and NewAnswers are the numbers of answers.
	OldAnswers, NewAnswers int64
}

// sample is the number of bad answers beyond those expected, and its variance.
type sample struct{ excess, variance float64 }

func (s sample) deviations() float64 {
	if s.variance <= 0 {
		return 0
	}
	return s.excess / math.Sqrt(s.variance)
}

func (s sample) plus(other sample) sample {
	return sample{s.excess + other.excess, s.variance + other.variance}
}

// comparison holds the sample of all servers of the new version, and those of each.
type comparison struct {
	total    sample
	byServer map[string]sample
}

func (c *comparison) merge(other *comparison) {
	c.total = c.total.plus(other.total)
	for server, s := range other.byServer {
		c.byServer[server] = c.byServer[server].plus(s)
	}
}

// isShared reports whether the servers other than the worst one also look worse than the
// old version, by a number of standard deviations and of answers. One server alone is the version.
func (c *comparison) isShared(deviations float64) bool {
	if len(c.byServer) < 2 {
		return true
	}
	var worst sample
	for _, s := range c.byServer {
		if s.excess > worst.excess {
			worst = s
		}
	}
	rest := sample{c.total.excess - worst.excess, c.total.variance - worst.variance}
	return rest.excess >= deviations && rest.deviations() >= deviations
}

// Judge compares the answers of a new version with those of the old one under the same
// rules at the same time. Its load: a service under its ordinary noise (failures of its
// own, requests of all sizes, a broken server, servers that are slow at times) whose new
// version fails or is several times slower in a part of its answers, from the start or
// later, under all rules or one.
func Judge(e *OrderEvidence) Verdict {
	if e == nil {
		return Verdict{}
	}
	v := Verdict{NewAnswers: e.newAnswers()}
	v.OldAnswers = e.answers() - v.NewAnswers
	allFailures := comparison{byServer: map[string]sample{}}
	for rule, byServer := range e.New {
		old := e.Old[rule]
		if old == nil {
			continue
		}
		if c, ok := failures.compare(old, byServer); ok {
			v.consider("failures under "+rule, &c)
			allFailures.merge(&c)
		}
		if c, ok := slowness.compare(old, byServer); ok {
			v.consider("slow answers under "+rule, &c)
		}
		if c, ok := dragging.compare(old, byServer); ok {
			v.consider("slow streams under "+rule, &c)
		}
	}
	v.consider("failures under all rules", &allFailures)
	v.IsTested = v.isTested(e)
	return v
}

// consider takes a comparison into the verdict.
func (v *Verdict) consider(name string, c *comparison) {
	excess, deviations := c.total.excess, c.total.deviations()
	isMany := excess >= manyBad && deviations >= suspectDeviations
	isBad := c.isShared(otherDeviations) && (isMany || excess >= minExcess && deviations >= badDeviations)
	isSuspect := c.isShared(suspectOtherDeviations) && excess >= minExcess/2 && deviations >= suspectDeviations
	isGraver := isBad && !v.IsBad || isSuspect && !v.IsSuspect
	if isGraver || deviations > v.Deviations && (isBad || !v.IsBad && (isSuspect || !v.IsSuspect)) {
		v.Deviations, v.Reason = deviations, fmt.Sprintf("%s: %.0f more than expected", name, excess)
	}
	v.IsBad, v.IsSuspect = v.IsBad || isBad, v.IsSuspect || isSuspect
}

// isTested reports whether the new version has answered enough, also under each rule that
// many requests come under.
func (v *Verdict) isTested(e *OrderEvidence) bool {
	if v.NewAnswers < minNewAnswers {
		return false
	}
	for rule, old := range e.Old {
		if float64(old.Answers) < mainRuleShare*float64(v.OldAnswers) {
			continue
		}
		answers := int64(0)
		for _, counts := range e.New[rule] {
			answers += counts.Answers
		}
		if answers < minRuleAnswers {
			return false
		}
	}
	return true
}

// badKind is a way in which answers are bad.
type badKind struct {
	// minRate is the least share of bad answers that is expected, minShare the least
	// difference of the shares that counts.
	minRate, minShare float64
	// bad returns the number of bad answers and of all; old is the measure.
	bad func(c, old *Counts) (bad, answers float64)
}

var (
	failures = badKind{minFailureRate, 0, func(c, _ *Counts) (float64, float64) {
		return float64(c.Failures), float64(c.Answers)
	}}
	slowness = badKind{minSlowRate, minSlowShare, func(c, old *Counts) (float64, float64) { return slower(c.Times, old.Times) }}
	dragging = badKind{minSlowRate, minSlowShare, func(c, old *Counts) (float64, float64) { return slower(c.Paces, old.Paces) }}
)

// slower returns how many of the times in a histogram are slow by the measure of another
// one, and how many there are.
func slower(times, measure map[int]int64) (slow, all float64) {
	limit := quantileBucket(measure, slowQuantile) + slowBuckets
	for bucket, n := range times {
		all += float64(n)
		if bucket > limit {
			slow += float64(n)
		}
	}
	return slow, all
}

// quantileBucket returns the bucket that holds the quantile of the times.
func quantileBucket(times map[int]int64, q float64) int {
	total, last := int64(0), 0
	for bucket, n := range times {
		total += n
		last = max(last, bucket)
	}
	rest := int64(float64(total) * (1 - q))
	for bucket := last; bucket >= 0; bucket-- {
		if rest -= times[bucket]; rest < 0 {
			return bucket
		}
	}
	return last
}

// compare compares the servers of the new version with the old one; ok is false if the old
// version has answered too little to be a measure, or the difference is too small to count.
func (k badKind) compare(old *Counts, byServer map[string]*Counts) (c comparison, ok bool) {
	oldBad, oldAnswers := k.bad(old, old)
	if oldAnswers < minOldAnswers {
		return comparison{}, false
	}
	rate := max(k.minRate, (oldBad+0.5)/(oldAnswers+1))
	total := 0.0
	c.byServer = map[string]sample{}
	for _, counts := range byServer {
		_, answers := k.bad(counts, old)
		total += answers
	}
	for server, counts := range byServer {
		bad, answers := k.bad(counts, old)
		s := sample{bad - answers*rate, answers * rate * (1 - rate) * (1 + total/oldAnswers)}
		c.byServer[server] = s
		c.total = c.total.plus(s)
	}
	return c, total > 0 && c.total.excess >= k.minShare*total
}
