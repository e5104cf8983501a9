package planner

import (
	"cmp"
	"time"

	"buckthornpick/internal/fleet"
)

// Config parametrises a planner. Zero fields take their defaults.
type Config struct {
	// ID names the planner; Zone is the zone that it may act for.
	ID, Zone string
	// LeaseTTL is the time after the last renewal at which the store frees the
	// zone; default 10 s, whole seconds.
	LeaseTTL time.Duration
	// DriftMargin is taken off the lease for clock drift; default LeaseTTL/10.
	DriftMargin time.Duration
	// StandbyInterval is the mean time between looks at a lease that another
	// planner holds; default 5 s.
	StandbyInterval time.Duration
	// Interval is the time between rounds of planning; default 2 s. A reclaim
	// notice starts one at once.
	Interval time.Duration
	// ActTimeout bounds one start, stop or order; default 5 s.
	ActionTimeout time.Duration
	// SettleTime is how long a new holder leaves engines alone that do not
	// check tokens; default ActTimeout and 2 s for what is on the network.
	UnfencedGracePeriod time.Duration

	// Demand parametrises the estimators.
	Demand fleet.DemandConfig
	// ProtectedShare of the demand must survive the loss of a zone; default 0.6.
	ProtectedShare float64
	// MinCapacity is kept for each service, in accelerators (VMs for plain
	// services); default 2. One of them survives the loss of a zone.
	MinCapacity float64
	// WavesPerHour and RestartHours price the risk of reclaimable VMs; default
	// one wave an hour and 0.02 h.
	WavesPerHour float64
	RestartHours float64

	// MaxStarts bounds the starts of a zone that are not listed yet; default 32.
	MaxPendingStarts int
	// RefusalBackoff is the first wait after a refused start; it doubles up to
	// MaxRefusalBackoff. Defaults 10 s and 5 min.
	RefusalBackoff    time.Duration
	MaxRefusalBackoff time.Duration
	// ReclaimBackoff is how long after a reclaim's deadline the zone's offer of
	// that class is not asked for; default 1 min.
	ReclaimBackoff time.Duration
	// HoldTime is how long a VM must be unneeded before it drains, and another
	// offer cheaper before VMs move to it; default 1 min.
	StabilisationTime time.Duration
	// DrainSettle is the time for all entries to learn of a drain; default 5 s.
	DrainPropagationTime time.Duration
	// MaxDrain is the time after which a VM that is still busy is stopped;
	// default 15 min, above the longest request.
	DrainTimeout time.Duration

	// MaxLoads bounds the loads of a zone in progress, LoadsPerSecond their
	// rate; defaults 4 and 2. They keep the weight store within its limit.
	MaxConcurrentLoads int
	LoadsPerSecond     float64
	// RecheckInterval is the time between reads of an engine's models when
	// nothing is missing; default 1 min.
	RecheckInterval time.Duration
}

const (
	// operationTimeout ends the wait for a started VM to be listed.
	operationTimeout = 5 * time.Minute
	// demandAge is the age at which a zone's demand no longer counts.
	maxDemandAge = 30 * time.Second
	// networkMargin is the default time for an order to get off the network.
	networkMargin = 2 * time.Second
	// parallelCalls bounds calls to the platform or to engines at one time.
	maxParallelCalls = 8
)

func (c Config) withDefaults() Config {
	c.LeaseTTL = cmp.Or(c.LeaseTTL, 10*time.Second)
	c.DriftMargin = cmp.Or(c.DriftMargin, c.LeaseTTL/10)
	c.StandbyInterval = cmp.Or(c.StandbyInterval, 5*time.Second)
	c.Interval = cmp.Or(c.Interval, 2*time.Second)
	c.ActionTimeout = cmp.Or(c.ActionTimeout, 5*time.Second)
	c.UnfencedGracePeriod = cmp.Or(c.UnfencedGracePeriod, c.ActionTimeout+networkMargin)
	c.ProtectedShare = cmp.Or(c.ProtectedShare, 0.6)
	c.MinCapacity = cmp.Or(c.MinCapacity, 2)
	c.WavesPerHour = cmp.Or(c.WavesPerHour, 1)
	c.RestartHours = cmp.Or(c.RestartHours, 0.02)
	c.MaxPendingStarts = cmp.Or(c.MaxPendingStarts, 32)
	c.RefusalBackoff = cmp.Or(c.RefusalBackoff, 10*time.Second)
	c.MaxRefusalBackoff = cmp.Or(c.MaxRefusalBackoff, 5*time.Minute)
	c.ReclaimBackoff = cmp.Or(c.ReclaimBackoff, time.Minute)
	c.StabilisationTime = cmp.Or(c.StabilisationTime, time.Minute)
	c.DrainPropagationTime = cmp.Or(c.DrainPropagationTime, 5*time.Second)
	c.DrainTimeout = cmp.Or(c.DrainTimeout, 15*time.Minute)
	c.MaxConcurrentLoads = cmp.Or(c.MaxConcurrentLoads, 4)
	c.LoadsPerSecond = cmp.Or(c.LoadsPerSecond, 2)
	c.RecheckInterval = cmp.Or(c.RecheckInterval, time.Minute)
	return c
}
