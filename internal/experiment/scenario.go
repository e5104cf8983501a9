package experiment

import "time"

// Scenario describes the load, faults and price changes of a run. Times are
// offsets from the start of the run.
type Scenario struct {
	Name string
	// Load multiplies the rate of sessions; 0 means 1.
	Load float64
	// FixedVMs is the size of a fixed fleet of one-accelerator VMs; with 0, the
	// planner sizes the fleet.
	FixedVMs int
	// WaveAt is the time at which all reclaimable VMs of the largest zone get a
	// reclaim notice of noticeTime; 0 means never.
	WaveAt time.Duration
	// ZoneLossAt is the time at which all VMs of the largest zone fail without
	// notice; 0 means never.
	ZoneLossAt time.Duration
	// RefuseFrom and RefuseTo bound the time in which the platform refuses VM
	// starts in all zones except the most expensive.
	RefuseFrom, RefuseTo time.Duration
	// ReportEvery is the interval between load reports; 0 means 500 ms.
	ReportEvery time.Duration
	// DoublePriceAt is the time at which the prices of the cheapest zone double;
	// 0 means never.
	DoublePriceAt time.Duration
	// Length is the virtual duration of the run; 0 means 15 minutes.
	Length time.Duration
	// Unlimited disables admission control and the retry budget.
	Unlimited bool
}

const (
	// warmup is the first part of a run, which is excluded from all metrics.
	warmup = 5 * time.Minute
	// runLength is the default virtual duration of a run.
	runLength = 15 * time.Minute
	// faultTime is the time at which a scenario's fault or price change occurs.
	faultTime = 8 * time.Minute
	// noticeTime is the time between a reclaim notice and the VM's end.
	noticeTime = 20 * time.Second
	// overloadVMs is the number of VMs in the overload scenarios, and at the
	// start of the others.
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

// Cell identifies one run; equal cells give equal results.
type Cell struct {
	Site     Site
	Scenario Scenario
	Policy   string
	Seed     uint64
}
