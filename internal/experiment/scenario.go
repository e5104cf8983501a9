package experiment

import "time"

// Scenario is what happens during a run.
type Scenario struct {
	Name string
	// Load scales the rate of sessions; 0 is 1.
	Load float64
	// FixedVMs keeps this many one-accelerator VMs instead of sizing; 0 sizes.
	FixedVMs int
	// WaveAt is the time of a reclaim wave over the reclaimable VMs of the
	// largest zone, with noticeTime of notice; 0 is none.
	WaveAt time.Duration
	// ZoneLossAt is the time at which all VMs of the largest zone vanish
	// without notice; 0 is none.
	ZoneLossAt time.Duration
	// RefuseFrom and RefuseTo bound the time in which starts are refused in
	// all zones but the dearest.
	RefuseFrom, RefuseTo time.Duration
	// ReportEvery is the age that load reports reach; 0 is 500 ms.
	ReportEvery time.Duration
	// DoublePriceAt doubles the prices of the cheapest zone; 0 is never.
	DoublePriceAt time.Duration
	// Length is the virtual length of the run; 0 is 15 minutes.
	Length time.Duration
	// Unlimited switches admission off.
	Unlimited bool
}

const (
	// warmup is left out of all figures.
	warmup = 5 * time.Minute
	// runLength is the virtual length of a run.
	runLength = 15 * time.Minute
	// faultTime is when the faults of a scenario begin.
	faultTime = 8 * time.Minute
	// noticeTime is the notice of a reclaim.
	noticeTime = 20 * time.Second
	// overloadVMs is the fixed fleet of the overload scenarios.
	overloadVMs = 9
)

func (s Scenario) length() time.Duration {
	if s.Length > 0 {
		return s.Length
	}
	return runLength
}

// Scenarios lists all scenarios.
var Scenarios = []Scenario{
	{Name: "calm"},
	{Name: "wave", WaveAt: faultTime},
	{Name: "zone-loss", ZoneLossAt: faultTime},
	{Name: "refused", WaveAt: faultTime, RefuseFrom: faultTime - time.Minute, RefuseTo: faultTime + 3*time.Minute},
	{Name: "stale", ReportEvery: 5 * time.Second},
	{Name: "prices", DoublePriceAt: faultTime},
	{Name: "load-1x", Load: 1, FixedVMs: overloadVMs},
	{Name: "load-2x", Load: 2, FixedVMs: overloadVMs},
	{Name: "load-4x", Load: 4, FixedVMs: overloadVMs},
	{Name: "load-4x-unlimited", Load: 4, FixedVMs: overloadVMs, Unlimited: true},
}

// Cell is one run.
type Cell struct {
	Site     Site
	Scenario Scenario
	Policy   string
	Seed     uint64
}
