package fleet

import "time"

// DemandConfig parametrises a DemandEstimator.
type DemandConfig struct {
	// RequestsPerAccelerator is the number of running requests at which one
	// accelerator just holds the latency target; default 20.
	RequestsPerAccelerator float64
	// InitialUtilisation is the first target utilisation; default 0.6.
	InitialUtilisation float64
	// ShrinkAfter is how long a lower demand must last before it counts;
	// default 60 s.
	ShrinkAfter time.Duration
}

const (
	defaultRequestsPerAccelerator = 20
	defaultUtilisation            = 0.6
	defaultShrinkAfter            = time.Minute
	minUtilisation                = 0.2
	maxUtilisation                = 1.2
	// highMiss and lowMiss bound the share of missed requests between which
	// the target utilisation stays.
	highMiss = 0.04
	lowMiss  = 0.02
	// utilisationDecrease and utilisationIncrease are the steps per sample.
	utilisationDecrease = 0.95
	utilisationIncrease = 0.005
	// minFinished is the least number of requests that a step needs.
	minFinished = 50
)

// Sample is what a planner sees of a service in one interval.
type Sample struct {
	// Requests counts requests running or waiting at the servers.
	Requests float64
	// Finished counts requests that ended or were refused in the interval, and
	// Missed those of them outside of the target.
	Finished, Missed int
	// ProtectedShare is the share of the demand that must survive a zone.
	ProtectedShare float64
	// Changing is true while a zone is being lost or VMs are starting; then
	// misses say nothing about the utilisation.
	Changing bool
}

// DemandEstimator turns load and missed targets into a demand. The target
// utilisation follows the misses, so that a service whose requests cost less
// than expected gets fewer VMs. A rise counts at once, a fall after
// ShrinkAfter.
type DemandEstimator struct {
	cfg         DemandConfig
	utilisation float64
	finished    int
	missed      int
	recent      []timedDemand
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
		cfg.InitialUtilisation = defaultUtilisation
	}
	if cfg.ShrinkAfter <= 0 {
		cfg.ShrinkAfter = defaultShrinkAfter
	}
	return &DemandEstimator{cfg: cfg, utilisation: cfg.InitialUtilisation}
}

// Utilisation returns the current target utilisation.
func (e *DemandEstimator) Utilisation() float64 { return e.utilisation }

// Observe takes one sample and returns the demand.
func (e *DemandEstimator) Observe(now time.Time, s Sample) Demand {
	e.adapt(s)
	total := s.Requests / e.cfg.RequestsPerAccelerator / e.utilisation
	e.recent = append(e.recent, timedDemand{now, Demand{total, total * s.ProtectedShare}})
	for now.Sub(e.recent[0].at) > e.cfg.ShrinkAfter {
		e.recent = e.recent[1:]
	}
	var highest Demand
	for _, r := range e.recent {
		highest.Total = max(highest.Total, r.demand.Total)
		highest.Protected = max(highest.Protected, r.demand.Protected)
	}
	return highest
}

func (e *DemandEstimator) adapt(s Sample) {
	if s.Changing {
		e.finished, e.missed = 0, 0
		return
	}
	e.finished += s.Finished
	e.missed += s.Missed
	if e.finished < minFinished {
		return
	}
	share := float64(e.missed) / float64(e.finished)
	e.finished, e.missed = 0, 0
	switch {
	case share > highMiss:
		e.utilisation = max(minUtilisation, e.utilisation*utilisationDecrease)
	case share < lowMiss:
		e.utilisation = min(maxUtilisation, e.utilisation+utilisationIncrease)
	}
}
