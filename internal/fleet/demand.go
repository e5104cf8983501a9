package fleet

import (
	"math"
	"time"
)

// DemandConfig parametrises a DemandEstimator.
type DemandConfig struct {
	// RequestsPerAccelerator is the number of running requests at which one
	// accelerator just holds the latency target; default 20.
	RequestsPerAccelerator float64
	// InitialUtilisation is the first target utilisation; default 0.6.
	InitialUtilisation float64
	// SmoothOver is the time constant of the mean load; default 60 s. Bursts
	// shorter than the start of a VM cannot be met by starting VMs.
	SmoothingTime time.Duration
	// ShrinkAfter is how long a lower demand must last before it counts;
	// default 120 s.
	ScaleDownDelay time.Duration
}

const (
	defaultRequestsPerAccelerator = 20
	defaultInitialUtilisation     = 0.6
	defaultScaleDownDelay         = 2 * time.Minute
	defaultSmoothingTime          = time.Minute
	minUtilisation                = 0.1
	maxUtilisation                = 1.2
	// missGoal is the share of missed requests that the utilisation is
	// steered to; it leaves a margin to the 5% of a p95 target.
	targetMissShare = 0.035
	// missMemory is the weight of older samples in the mean share of misses.
	missDecay = 0.98
	// maxIncrease and maxDecrease bound the relative step per sample.
	maxUtilisationIncrease = 0.006
	maxUtilisationDecrease = 0.03
	// minFinished is the least weight of requests that a step needs.
	minFinishedWeight = 50
)

// Sample is what a planner sees of a service in one interval.
type LoadSample struct {
	// Requests counts requests running or waiting at the servers.
	Requests float64
	// Finished counts requests that ended or were refused in the interval, and
	// Missed those of them outside of the target.
	Finished, Missed int
	// Refused counts those of Missed that were refused; the load that they
	// would have caused is added to Requests.
	Refused int
	// ProtectedShare is the share of the demand that must survive a zone.
	ProtectedShare float64
	// Changing is true while a zone is being lost or VMs are starting; the
	// utilisation is not steered meanwhile.
	CapacityChanging bool
}

// DemandEstimator turns load and missed targets into a demand. The target
// utilisation follows the misses, so that a service whose requests cost less
// than expected gets fewer VMs. A rise counts at once, a fall after
// ShrinkAfter.
type DemandEstimator struct {
	cfg         DemandConfig
	utilisation float64
	// finished and missed are decayed sums.
	finished, missed float64
	recent           []timedDemand
	// requests is the smoothed load at observed.
	meanRequests float64
	lastObserved time.Time
}

type timedDemand struct {
	at     time.Time
	demand Demand
}

// NewDemandEstimator returns an estimator that has seen nothing.
func NewDemandEstimator(cfg DemandConfig) *DemandEstimator {
	if cfg.RequestsPerAccelerator <= 0 {
		cfg.RequestsPerAccelerator = defaultRequestsPerAccelerator
	}
	if cfg.InitialUtilisation <= 0 {
		cfg.InitialUtilisation = defaultInitialUtilisation
	}
	if cfg.SmoothingTime <= 0 {
		cfg.SmoothingTime = defaultSmoothingTime
	}
	if cfg.ScaleDownDelay <= 0 {
		cfg.ScaleDownDelay = defaultScaleDownDelay
	}
	return &DemandEstimator{cfg: cfg, utilisation: cfg.InitialUtilisation}
}

// Utilisation returns the current target utilisation.
func (e *DemandEstimator) Utilisation() float64 { return e.utilisation }

// Observe takes one sample and returns the demand.
func (e *DemandEstimator) Observe(now time.Time, s LoadSample) Demand {
	e.adjustUtilisation(s)
	e.updateMeanRequests(now, s.offeredLoad())
	total := e.meanRequests / e.cfg.RequestsPerAccelerator / e.utilisation
	e.recent = append(e.recent, timedDemand{now, Demand{total, total * s.ProtectedShare}})
	for now.Sub(e.recent[0].at) > e.cfg.ScaleDownDelay {
		e.recent = e.recent[1:]
	}
	var highest Demand
	for _, r := range e.recent {
		highest.Total = max(highest.Total, r.demand.Total)
		highest.Protected = max(highest.Protected, r.demand.Protected)
	}
	return highest
}

// offered is the load with the refused requests, at most maxOffered times the
// load that ran.
func (s LoadSample) offeredLoad() float64 {
	const maxOfferedFactor = 4
	if s.Finished <= s.Refused {
		return s.Requests
	}
	return s.Requests * min(maxOfferedFactor, float64(s.Finished)/float64(s.Finished-s.Refused))
}

// smooth updates the exponentially weighted mean of the load.
func (e *DemandEstimator) updateMeanRequests(now time.Time, requests float64) {
	if e.lastObserved.IsZero() {
		e.meanRequests = requests
	}
	elapsed := now.Sub(e.lastObserved)
	e.meanRequests += (requests - e.meanRequests) * -math.Expm1(-elapsed.Seconds()/e.cfg.SmoothingTime.Seconds())
	e.lastObserved = now
}

// adapt steers the target utilisation by the mean share of misses.
func (e *DemandEstimator) adjustUtilisation(s LoadSample) {
	e.finished = e.finished*missDecay + float64(s.Finished)
	e.missed = e.missed*missDecay + float64(s.Missed)
	if s.CapacityChanging || e.finished < minFinishedWeight {
		return
	}
	step := maxUtilisationIncrease * (targetMissShare - e.missed/e.finished) / targetMissShare
	e.utilisation *= 1 + max(-maxUtilisationDecrease, step)
	e.utilisation = min(max(e.utilisation, minUtilisation), maxUtilisation)
}
