package fleet

import (
	"math"
	"time"
)

// DemandConfig holds the parameters of a DemandEstimator.
type DemandConfig struct {
	// RequestsPerAccelerator is the number of running requests up to which one
	// accelerator meets the latency target; default 20.
	RequestsPerAccelerator float64
	// InitialUtilisation is the initial target utilisation; default 0.6.
	InitialUtilisation float64
	// SmoothingTime is the time constant of the exponentially weighted mean
	// load; default 60 s. Starting VMs does not help against bursts that are
	// shorter than the start of a VM.
	SmoothingTime time.Duration
	// ScaleDownDelay is the time for which the demand must be lower before the
	// estimate decreases; default 120 s.
	ScaleDownDelay time.Duration
}

const (
	defaultRequestsPerAccelerator = 20
	defaultInitialUtilisation     = 0.6
	defaultScaleDownDelay         = 2 * time.Minute
	defaultSmoothingTime          = time.Minute
	minUtilisation                = 0.1
	maxUtilisation                = 1.2
	// targetMissShare is the share of requests missing the target to which the
	// utilisation is controlled; it leaves a margin below the 5% of a p95 target.
	targetMissShare = 0.035
	// missDecay is the factor by which the sums of finished and missed requests
	// decay per sample.
	missDecay = 0.98
	// maxUtilisationIncrease and maxUtilisationDecrease bound the relative change
	// of the target utilisation per sample.
	maxUtilisationIncrease = 0.006
	maxUtilisationDecrease = 0.03
	// minFinishedWeight is the decayed number of finished requests below which
	// the target utilisation is not changed.
	minFinishedWeight = 50
)

// LoadSample is the load of a service that a planner measured in one interval.
type LoadSample struct {
	// Requests counts requests that run or wait on the servers.
	Requests float64
	// Finished counts requests that ended or were refused in the interval, and
	// Missed those of them that missed the latency target.
	Finished, Missed int
	// Refused counts the requests of Missed that were refused; the estimator adds
	// the load that they would have caused.
	Refused int
	// ProtectedShare is the share of the demand that must still be met after the
	// loss of a zone.
	ProtectedShare float64
	// CapacityChanging is true while a zone is being lost or VMs are starting;
	// the target utilisation is not changed meanwhile.
	CapacityChanging bool
}

// DemandEstimator estimates the demand of a service from its load and the share
// of requests that missed the latency target. It adjusts the target utilisation
// to the misses, so that a service whose requests cost less than expected gets
// fewer VMs. The estimate increases at once and decreases after
// DemandConfig.ScaleDownDelay.
type DemandEstimator struct {
	cfg         DemandConfig
	utilisation float64
	// finished and missed are sums over all samples with exponential decay.
	finished, missed float64
	// recent holds the demands of the last ScaleDownDelay.
	recent []timedDemand
	// meanRequests is the exponentially weighted mean load at lastObserved.
	meanRequests float64
	lastObserved time.Time
}

// timedDemand is a demand with the time of its sample.
type timedDemand struct {
	at     time.Time
	demand Demand
}

// NewDemandEstimator returns an estimator without samples.
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

// Observe adds a sample and returns the highest demand of the last
// ScaleDownDelay.
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

// offeredLoad returns the load including the refused requests, at most
// maxOfferedFactor times Requests.
func (s LoadSample) offeredLoad() float64 {
	const maxOfferedFactor = 4
	if s.Finished <= s.Refused {
		return s.Requests
	}
	return s.Requests * min(maxOfferedFactor, float64(s.Finished)/float64(s.Finished-s.Refused))
}

// updateMeanRequests updates the exponentially weighted mean load.
func (e *DemandEstimator) updateMeanRequests(now time.Time, requests float64) {
	if e.lastObserved.IsZero() {
		e.meanRequests = requests
	}
	elapsed := now.Sub(e.lastObserved)
	e.meanRequests += (requests - e.meanRequests) * -math.Expm1(-elapsed.Seconds()/e.cfg.SmoothingTime.Seconds())
	e.lastObserved = now
}

// adjustUtilisation changes the target utilisation in proportion to the
// difference between targetMissShare and the mean share of misses.
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
