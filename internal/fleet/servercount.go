package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// ReplicaZone is a zone in which backend servers can be ordered.
type ServerZone struct {
	Name string
	// Price is relative to the other zones.
	Price float64
}

// ReplicaInput is what the number of a service's backend servers depends on.
type ServerCountInput struct {
	// Demand is the work in servers: 1 keeps one server busy all the time.
	Demand float64
	// Running is the number of requests that are running.
	Running int
	// Zones are those of the service; Min and Max bound each.
	Zones    []ServerZone
	Min, Max int
	// ReclaimablePrice is the price of a reclaimable server as a part of that of
	// another one; 0 if there are none.
	ReclaimablePrice float64
	// ReadyReclaimable is the number of reclaimable servers that serve, by zone.
	ReadyReclaimable map[string]int
}

// ReplicaCount is a number of backend servers by kind.
type ServerCount struct{ OnDemand, Reclaimable int }

const (
	// replicaUse is the part of a server's time that the demand may fill: long
	// prompts of a burst, and those of a lost server, must be read meanwhile.
	maxServerUtilisation = 0.6
	// replicaRunning is the number of running requests of a server from which
	// each further one makes the tokens of all noticeably slower.
	maxRunningPerServer = 40.0
	// growShare is the part of the allowed number that load alone orders: a burst
	// is over before further servers have booted and read the shared prompts.
	loadDrivenShare = 0.5
	// zoneFloor is the least number in a zone: one that is cut off serves its own
	// callers, also if a server crashes meanwhile.
	minServersPerZone = 2
	// onDemandBase is the number of servers in a zone that cannot be reclaimed:
	// a reclaim takes all the others of the zone at once.
	minOnDemandPerZone = 1
	// reclaimableSpare is the number of reclaimable servers in a zone beyond the
	// need, for the time in which other zones are without theirs.
	spareReclaimablePerZone = 2
	// reclaimableWorth is the price from which reclaimable servers are not worth
	// the prompts that are read again after a reclaim.
	maxReclaimablePrice = 0.5
)

// Replicas returns the wanted number of backend servers by zone. They are spread
// evenly, since each zone must serve its own callers when it is cut off; what
// does not divide goes to the cheaper zones. Cheap reclaimable servers carry what
// exceeds the base of a zone, and others stand in for those that do not serve.
// It answers the day's wave, bursts of long prompts and reclaims of a zone.
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

// byKind divides the number of servers in a zone.
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

// Trend smooths a demand for orders: it follows a rise at once and a fall only
// after it has lasted, because a server takes seconds to boot and ending one
// breaks off long streams.
type SlidingMax struct {
	// Hold is how long a fall must last.
	Window  time.Duration
	samples []timedValue
}

type timedValue struct {
	at    time.Duration
	value float64
}

// Add takes a value and returns the highest of the time of hold.
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

// IsFull reports whether samples cover the time of hold.
func (t *SlidingMax) IsFull(now time.Duration) bool {
	const tolerance = 0.8
	return len(t.samples) > 0 && now-t.samples[0].at >= time.Duration(tolerance*float64(t.Window))
}
