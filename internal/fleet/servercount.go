package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// ServerZone is a zone in which backend servers can be ordered.
type ServerZone struct {
	Name string
	// Price is the price of a server relative to the other zones.
	Price float64
}

// ServerCountInput holds the inputs of ServerCounts for one service.
type ServerCountInput struct {
	// Demand is the work in units of servers: 1 keeps one server fully busy.
	Demand float64
	// Running is the number of running requests.
	Running int
	// Zones are the zones of the service; Min and Max bound the number of servers
	// in each.
	Zones    []ServerZone
	Min, Max int
	// ReclaimablePrice is the price of a reclaimable server as a fraction of the
	// price of an on-demand server; 0 if none can be ordered.
	ReclaimablePrice float64
	// ReadyReclaimable is the number of reclaimable servers that are ready, by
	// zone.
	ReadyReclaimable map[string]int
}

// ServerCount is a number of backend servers by kind.
type ServerCount struct{ OnDemand, Reclaimable int }

const (
	// maxServerUtilisation is the share of a server's time that the demand may
	// use. The rest is needed to process the long prompts of a burst and those of
	// a server that was lost.
	maxServerUtilisation = 0.6
	// maxRunningPerServer is the number of running requests on a server above
	// which each further one noticeably slows token generation for all of them.
	maxRunningPerServer = 40.0
	// loadDrivenShare is the share of ServerCountInput.Max up to which load can
	// raise the number of servers. A burst is over before more servers have
	// booted and processed the shared prompts.
	loadDrivenShare = 0.5
	// minServersPerZone lets a partitioned zone serve its own callers even if one
	// server crashes meanwhile.
	minServersPerZone = 2
	// minOnDemandPerZone is the smallest number of on-demand servers in a zone.
	// Those cannot be reclaimed, whereas a reclaim can take all other servers
	// of the zone at once.
	minOnDemandPerZone = 1
	// spareReclaimablePerZone is the number of reclaimable servers ordered in a
	// zone beyond its need, for the time during which other zones have lost
	// theirs.
	spareReclaimablePerZone = 2
	// maxReclaimablePrice is the relative price from which reclaimable servers do
	// not pay off, because their prompts must be recomputed after a reclaim.
	maxReclaimablePrice = 0.5
)

// ServerCounts returns the wanted number of backend servers by zone. Servers are
// spread evenly, because a partitioned zone must serve its own callers; the
// remainder goes to the cheaper zones. If reclaimable servers are cheap enough,
// they carry the load above minOnDemandPerZone, and on-demand servers replace
// those that are not ready. The counts follow the daily load cycle, bursts of
// long prompts and reclaims of a zone.
func ServerCounts(in ServerCountInput) map[string]ServerCount {
	if len(in.Zones) == 0 {
		return nil
	}
	total := int(math.Ceil(max(in.Demand/maxServerUtilisation, float64(in.Running)/maxRunningPerServer)))
	zones := slices.Clone(in.Zones)
	slices.SortFunc(zones, func(a, b ServerZone) int {
		return cmp.Or(cmp.Compare(a.Price, b.Price), cmp.Compare(a.Name, b.Name))
	})
	limit := max(in.Min, int(math.Ceil(loadDrivenShare*float64(in.Max))))
	want := make(map[string]ServerCount, len(zones))
	for i, z := range zones {
		n := total / len(zones)
		if i < total%len(zones) {
			n++
		}
		want[z.Name] = splitByKind(min(max(n, in.Min, minServersPerZone), limit), in.ReadyReclaimable[z.Name], in)
	}
	return want
}

// splitByKind splits the n servers of a zone into on-demand and reclaimable ones;
// ready is the number of reclaimable servers that are ready.
func splitByKind(n, ready int, in ServerCountInput) ServerCount {
	if in.ReclaimablePrice <= 0 || in.ReclaimablePrice >= maxReclaimablePrice {
		return ServerCount{OnDemand: n}
	}
	onDemand := max(min(minOnDemandPerZone, n), n-ready)
	return ServerCount{
		OnDemand:    onDemand,
		Reclaimable: max(0, min(n-minOnDemandPerZone+spareReclaimablePerZone, in.Max-onDemand)),
	}
}

// SlidingMax is the maximum of a value over a sliding time window. It smooths the
// demand for servers: an increase takes effect at once, a decrease only after it
// has lasted for the window, because a server takes seconds to boot and stopping
// one interrupts long streams.
type SlidingMax struct {
	// Window is the length of the window.
	Window  time.Duration
	samples []timedValue
}

// timedValue is a value with the time at which it was added.
type timedValue struct {
	at    time.Duration
	value float64
}

// Add adds a value and returns the maximum of the window that ends at now.
func (t *SlidingMax) Add(now time.Duration, value float64) float64 {
	t.samples = append(t.samples, timedValue{now, value})
	for len(t.samples) > 0 && t.samples[0].at < now-t.Window {
		t.samples = t.samples[1:]
	}
	highest := 0.0
	for _, s := range t.samples {
		highest = max(highest, s.value)
	}
	return highest
}

// IsFull reports whether the samples cover most of the window.
func (t *SlidingMax) IsFull(now time.Duration) bool {
	const minCoveredShare = 0.8
	return len(t.samples) > 0 && now-t.samples[0].at >= time.Duration(minCoveredShare*float64(t.Window))
}
