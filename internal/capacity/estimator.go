package capacity

import (
	"math"
	"slices"
	"time"
)

const (
	// minAnswers is the count of answers from which on a server's mean is used, and
	// timeSpread the assumed standard deviation of the logarithm of one time.
	minAnswers = 3
	timeSpread = 0.6
	// sureDeviations is the number of standard errors by which a server's speed must differ,
	// and kneeDeviations that by which its times must exceed the best ones.
	sureDeviations = 2
	kneeDeviations = 2
	// minSpeedRatio is the smallest difference of speed that counts, and maxSpeedRatio the
	// largest, either way.
	minSpeedRatio = 1.3
	maxSpeedRatio = 8
	// speedGain is the time constant with which the speed follows the answers, and
	// speedMemory that with which it returns to 1 without any, so that the server is tried.
	speedGain   = 400 * time.Millisecond
	speedMemory = 10 * time.Second
	// minKneeRatio is by how much work must take longer than at the server's best times for
	// its load to be the cause.
	minKneeRatio = 1.5
	// bestMemory is the time constant with which the best times are forgotten under a light
	// load, which is lightShare of the slots or less, busyMemory that under a heavier one,
	// whose times may be those of the load, and bestGain that with which better times are
	// learned.
	bestMemory = 10 * time.Second
	busyMemory = 10 * time.Minute
	bestGain   = time.Second
	lightShare = 0.25
	// minHeavyLoad is the least load in requests that may be the cause of longer times.
	minHeavyLoad = 2
	// minLoadRatio is by how much the load must exceed that at the server's best times.
	minLoadRatio = 1.5
	// limitGain is the time constant with which a limit falls, and limitGrowth the share of
	// the slots by which it rises in a second while work takes as long as at best.
	limitGain   = 250 * time.Millisecond
	limitGrowth = 0.07
	// limitMargin leaves room above the load at which work would take as long as at best, so
	// that a knee that has moved up is seen.
	limitMargin = 1.15
)

// Estimate is what answers of all entries together say of a server.
type Estimate struct {
	// Speed is how long work takes there, as a multiple of the median of the service's
	// servers; 1 if they do not differ for sure.
	Speed float64
	// Limit is the number of requests at once from which on more work only makes all slower;
	// 0 if none is known below the server's slots.
	Limit int
}

// IsUnusual reports whether the server is known to differ in speed from its like.
func (e Estimate) IsUnusual() bool { return e.Speed != 1 && e.Speed > 0 }

// Member is one incarnation of a server of a service. Slots is how many requests it runs at
// once; 0 is unknown.
type Member struct {
	ID          string
	Incarnation int64
	Slots       int
}

// Estimator estimates the speeds and limits of the servers of one service. All entries that
// have the same sums come to about the same results, whenever they began.
type Estimator struct {
	servers   map[string]*serverEstimate
	updatedAt time.Duration
}

type serverEstimate struct {
	incarnation int64
	logSpeed    float64
	// best is the mean logarithm of the time at best, and bestRunning the load at which it
	// was seen, if hasBest.
	best, bestRunning float64
	hasBest           bool
	// limit is 0 before the first answers.
	limit float64
	slots int
}

// NewEstimator returns an estimator that knows nothing.
func NewEstimator() *Estimator { return &Estimator{servers: map[string]*serverEstimate{}} }

// Update updates the estimates from the sums of all entries, by server.
func (e *Estimator) Update(now time.Duration, members []Member, reports map[string]Report) {
	elapsed := now - e.updatedAt
	e.updatedAt = now
	next := make(map[string]*serverEstimate, len(members))
	sums := make([]Sums, len(members))
	var means []float64
	for i, m := range members {
		s := e.servers[m.ID]
		if s == nil || s.incarnation != m.Incarnation {
			s = &serverEstimate{incarnation: m.Incarnation}
		}
		s.slots = m.Slots
		next[m.ID] = s
		if r := reports[m.ID].sums(); r.Incarnation == shortIncarnation(m.Incarnation) && r.Count >= minAnswers {
			sums[i] = r
			means = append(means, r.LogTime/r.Count)
		}
	}
	e.servers = next
	slices.Sort(means)
	for i, m := range members {
		s := next[m.ID]
		if sums[i].Count == 0 {
			s.logSpeed *= decay(elapsed, speedMemory)
			continue
		}
		s.updateSpeed(elapsed, &sums[i], means[(len(means)-1)/2])
		s.updateLimit(elapsed, &sums[i])
	}
}

// updateSpeed moves the speed towards that of the answers, against the reference.
func (s *serverEstimate) updateSpeed(elapsed time.Duration, sums *Sums, reference float64) {
	difference := sums.LogTime/sums.Count - reference
	if math.Abs(difference) < max(math.Log(minSpeedRatio), sureDeviations*timeSpread/math.Sqrt(sums.Count)) {
		difference = 0
	}
	s.logSpeed += (1 - decay(elapsed, speedGain)) * (difference - s.logSpeed)
}

// updateLimit lowers the limit to the load at which work would take as long as at best, if
// it takes longer for sure under a heavier load, and raises it otherwise. Beyond the knee, a
// server ends as many requests in a time as at the knee, so that times grow in proportion to
// the load.
func (s *serverEstimate) updateLimit(elapsed time.Duration, sums *Sums) {
	if s.slots == 0 {
		return
	}
	if s.limit == 0 {
		s.limit = float64(s.slots)
	}
	mean, running := sums.LogTime/sums.Count, sums.Running/sums.Count
	heavy := max(minHeavyLoad, lightShare*float64(s.slots))
	s.updateBest(elapsed, mean, running, running <= heavy)
	excess := mean - s.best
	isHeavier := running > max(minLoadRatio*s.bestRunning, heavy)
	if !isHeavier || excess < math.Log(minKneeRatio)+kneeDeviations*timeSpread/math.Sqrt(sums.Count) {
		s.limit = min(s.limit+limitGrowth*float64(s.slots)*elapsed.Seconds(), float64(s.slots))
		return
	}
	if target := max(heavy, s.bestRunning, limitMargin*running*math.Exp(-excess)); target < s.limit {
		s.limit += (1 - decay(elapsed, limitGain)) * (target - s.limit)
	}
}

// updateBest moves the best times towards the present ones.
func (s *serverEstimate) updateBest(elapsed time.Duration, mean, running float64, isLight bool) {
	if !s.hasBest {
		s.best, s.bestRunning, s.hasBest = mean, running, true
	}
	memory := busyMemory
	switch {
	case mean < s.best:
		memory = bestGain
	case isLight:
		memory = bestMemory
	}
	share := 1 - decay(elapsed, memory)
	s.best += share * (mean - s.best)
	s.bestRunning += share * (running - s.bestRunning)
}

// Estimate returns the estimate of a server.
func (e *Estimator) Estimate(id string) Estimate {
	s := e.servers[id]
	if s == nil {
		return Estimate{Speed: 1}
	}
	result := Estimate{Speed: 1}
	if math.Abs(s.logSpeed) >= math.Log(minSpeedRatio)/2 {
		result.Speed = min(max(math.Exp(s.logSpeed), 1.0/maxSpeedRatio), maxSpeedRatio)
	}
	if limit := int(math.Ceil(s.limit)); limit > 0 && limit < s.slots {
		result.Limit = limit
	}
	return result
}
