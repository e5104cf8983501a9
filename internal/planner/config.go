package planner

import (
	"cmp"
	"time"

	"buckthornpick/internal/fleet"
)

// Config holds the settings of a planner. Zero fields take their defaults.
type Config struct {
	// ID identifies the planner; Zone is the zone that it may manage.
	ID, Zone string
	// LeaseTTL is the time after the last renewal at which the store expires
	// the zone's lease, in whole seconds; default 10 s.
	LeaseTTL time.Duration
	// DriftMargin is subtracted from the lease's duration to allow for clock
	// drift; default LeaseTTL/10.
	DriftMargin time.Duration
	// StandbyInterval is the mean time between reads of a lease that another
	// planner holds; default 5 s.
	StandbyInterval time.Duration
	// Interval is the time between planning rounds; default 2 s. A reclaim
	// notice starts a round immediately.
	Interval time.Duration
	// ActionTimeout bounds one start, stop or order; default 5 s.
	ActionTimeout time.Duration
	// UnfencedGracePeriod is how long a new lease holder sends no orders to
	// engines that do not check fencing tokens; default ActionTimeout plus 2 s
	// for orders still on the network.
	UnfencedGracePeriod time.Duration

	// Demand configures the demand estimators.
	Demand fleet.DemandConfig
	// ProtectedShare is the share of the demand that must still be served after
	// the loss of a zone; default 0.6.
	ProtectedShare float64
	// MinCapacity is the minimum capacity of each service, in accelerators (VMs
	// for plain services); default 2. One of them must survive the loss of a
	// zone.
	MinCapacity float64
	// WavesPerHour is the expected rate of reclaim waves per zone, in which many
	// VMs are reclaimed together. RestartHours is the time for which a reclaimed
	// VM is paid without being used. Both add the risk of a reclaim to the price
	// of reclaimable VMs; defaults 1 per hour and 0.02 h.
	WavesPerHour float64
	RestartHours float64

	// MaxPendingStarts bounds the starts of a zone whose VMs are not listed yet;
	// default 32.
	MaxPendingStarts int
	// RefusalBackoff is the initial wait after a refused start; it doubles up
	// to MaxRefusalBackoff. Defaults 10 s and 5 min.
	RefusalBackoff    time.Duration
	MaxRefusalBackoff time.Duration
	// ReclaimBackoff is how long after the deadline of a reclaim no VMs of the
	// same offer are requested; default 1 min.
	ReclaimBackoff time.Duration
	// StabilisationTime is how long a VM must be unneeded before it is drained,
	// and how long another offer must be cheaper before VMs move to it; default
	// 1 min.
	StabilisationTime time.Duration
	// DrainPropagationTime is the time until all entries know of a drain;
	// default 5 s.
	DrainPropagationTime time.Duration
	// DrainTimeout is the time after which a draining VM is stopped even if it
	// is still busy; default 15 min, longer than the longest request.
	DrainTimeout time.Duration

	// MaxConcurrentLoads bounds the model loads in progress in a zone, and
	// LoadsPerSecond the rate at which they start; defaults 4 and 2/s. They
	// limit the load on the store of model weights.
	MaxConcurrentLoads int
	LoadsPerSecond     float64
	// RecheckInterval is the time between reads of an engine's model list while
	// it has no load in progress; default 1 min.
	RecheckInterval time.Duration
}

const (
	// operationTimeout is how long to wait for a started VM to be listed.
	operationTimeout = 5 * time.Minute
	// maxDemandAge is the age above which a zone's demand report is ignored.
	maxDemandAge = 30 * time.Second
	// networkMargin is the time allowed for a sent order to reach the engine,
	// as part of the default of UnfencedGracePeriod.
	networkMargin = 2 * time.Second
	// maxParallelCalls bounds the concurrent calls to the platform or to
	// engines.
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
