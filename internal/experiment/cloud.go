package experiment

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"buckthornpick/internal/fleet"
	"buckthornpick/internal/provider"
	"buckthornpick/internal/route"
)

var zones = []string{"a", "b", "c"}

// Specs of servers with one accelerator.
var (
	modelSpec = engineSpec{
		baseStep: 10 * time.Millisecond, perRequest: 200 * time.Microsecond, perToken: 60 * time.Microsecond,
		maxBatch: 32, maxStepTokens: 192, cacheBlocks: 200_000 / blockTokens,
	}
	plainSpec = engineSpec{
		baseStep: 4 * time.Millisecond, perRequest: 500 * time.Microsecond,
		maxBatch: 16, maxStepTokens: 64, cacheBlocks: 1,
	}
)

const (
	vmStartTime   = 30 * time.Second
	vmStartJitter = 10 * time.Second
	planInterval  = 5 * time.Second
	// planningStart is when sizing begins. Until then contexts and caches fill,
	// and the load is not representative.
	planningStart = 2 * time.Minute
	// refusalBackoff is how long the planner does not retry an offer after the
	// platform refused a start.
	refusalBackoff = 30 * time.Second
	// inventoryLag is the delay until entries see a change of the VM list.
	inventoryLag = 500 * time.Millisecond
	plainServers = 3
)

// vm is one VM of the model service or the plain service.
type vm struct {
	key     fleet.OfferKey
	service string
	engine  *engine
	// live is false while the VM starts and after it was terminated; leaving is
	// true once it drains or has a reclaim notice; gone is true once it ended.
	live, leaving, gone bool
}

// cloud models the platform: its offers, the VMs and their accumulated cost.
type cloud struct {
	loop             *loop
	rng              *rand.Rand
	scenario         Scenario
	offers           []provider.Offer
	vms              []*vm
	nextID           int
	cost             float64
	onServersChanged func()
}

func newCloud(l *loop, scenario Scenario, seed uint64, onServersChanged func()) *cloud {
	c := &cloud{loop: l, rng: rand.New(rand.NewPCG(seed, 0xc10d)), scenario: scenario, onServersChanged: onServersChanged}
	for i, zone := range zones {
		price := []float64{1.0, 1.1, 1.25}[i]
		c.offers = append(c.offers,
			provider.Offer{Zone: zone, Class: "g1", Reclaimable: true, PricePerHour: price, Accelerators: 1},
			provider.Offer{Zone: zone, Class: "g2", Reclaimable: true, PricePerHour: 2.1 * price, Accelerators: 2},
			provider.Offer{Zone: zone, Class: "g1", PricePerHour: 2.6 * price, Accelerators: 1})
	}
	return c
}

// addVM creates a VM that is not live yet.
func (c *cloud) addVM(key fleet.OfferKey, service string, spec engineSpec) *vm {
	c.nextID++
	offer := c.offer(key)
	server := route.Server{
		ID: fmt.Sprintf("%s-%s-%03d", service, key.Zone, c.nextID), Zone: key.Zone, Class: key.Class,
		Price: offer.PricePerHour, Accelerators: offer.Accelerators, Reclaimable: key.Reclaimable,
	}
	v := &vm{key: key, service: service, engine: newEngine(c.loop, server, spec)}
	c.vms = append(c.vms, v)
	return v
}

func (c *cloud) offer(key fleet.OfferKey) provider.Offer {
	for _, o := range c.offers {
		if fleet.KeyOf(o) == key {
			return o
		}
	}
	return provider.Offer{Accelerators: 1}
}

// startVM starts a VM and returns false if the platform refuses.
func (c *cloud) startVM(key fleet.OfferKey) bool {
	now := c.loop.now
	if now >= c.scenario.RefuseFrom && now < c.scenario.RefuseTo && key.Zone != zones[len(zones)-1] {
		return false
	}
	v := c.addVM(key, modelService, modelSpec)
	c.loop.after(vmStartTime+time.Duration(c.rng.Int64N(int64(vmStartJitter))), func() {
		if !v.gone {
			v.live = true
			c.loop.after(inventoryLag, c.onServersChanged)
		}
	})
	return true
}

// drainVM stops sending requests to a VM; chargeVMs removes it once it is idle.
// A VM that is still starting ends at once.
func (c *cloud) drainVM(v *vm) {
	v.leaving = true
	if !v.live {
		v.gone = true
		return
	}
	c.loop.after(inventoryLag, c.onServersChanged)
}

// reclaimVM gives a VM its reclaim notice and terminates it after noticeTime.
func (c *cloud) reclaimVM(v *vm) {
	v.leaving = true
	c.loop.after(inventoryLag, c.onServersChanged)
	c.loop.after(noticeTime, func() { c.terminateVM(v) })
}

// terminateVM ends a VM at once; its requests are lost.
func (c *cloud) terminateVM(v *vm) {
	if v.gone {
		return
	}
	v.gone, v.live = true, false
	v.engine.kill()
	c.loop.after(inventoryLag, c.onServersChanged)
}

// chargeVMs adds the price of all model VMs for one interval and removes VMs
// that have drained. The warm-up is not charged.
func (c *cloud) chargeVMs(interval time.Duration) {
	for _, v := range c.vms {
		if v.gone || v.service != modelService {
			continue
		}
		if v.leaving && v.engine.idle() {
			v.gone = true
			continue
		}
		if c.loop.now > warmup {
			c.cost += c.offer(v.key).PricePerHour * interval.Hours()
		}
	}
	c.vms = slices.DeleteFunc(c.vms, func(v *vm) bool { return v.gone })
}

// largestZone returns the zone with the most model VMs.
func (c *cloud) largestZone() string {
	counts := map[string]int{}
	for _, v := range c.vms {
		if v.service == modelService && !v.gone {
			counts[v.key.Zone]++
		}
	}
	return slices.MaxFunc(zones, func(a, b string) int { return cmp.Compare(counts[a], counts[b]) })
}

// servers returns the servers of a service as entries see them.
func (c *cloud) servers(service string) []route.Server {
	var list []route.Server
	for _, v := range c.vms {
		if v.service != service || !v.live || v.gone {
			continue
		}
		s := v.engine.server
		s.Price = c.offer(v.key).PricePerHour
		if v.leaving {
			s.State = route.Leaving
		}
		list = append(list, s)
	}
	return list
}

// planner sizes the fleet of the model service.
type planner struct {
	cloud        *cloud
	estimator    *fleet.DemandEstimator
	refusedUntil map[fleet.OfferKey]time.Time
	// requestSum is the sum over the interval's samples of the requests in the
	// load reports; sampleCount is the number of samples.
	requestSum   float64
	sampleCount  int
	finished     int
	missedTarget int
	rejections   int
	// capacityChangingUntil is the time until which missed latency targets are
	// attributed to a change of capacity and not to the demand.
	capacityChangingUntil time.Duration
}

// protectedShare is the share of the demand that must still be served after the
// loss of a zone.
const protectedShare = 0.6

func newPlanner(c *cloud, site Site) *planner {
	return &planner{
		cloud:        c,
		estimator:    fleet.NewDemandEstimator(fleet.DemandConfig{RequestsPerAccelerator: 16, InitialUtilisation: site.initialUtilisation}),
		refusedUntil: map[fleet.OfferKey]time.Time{},
	}
}

// sample adds the current load reports to the interval's average.
func (p *planner) sample() {
	p.sampleCount++
	for _, v := range p.cloud.vms {
		if v.service == modelService && v.live {
			p.requestSum += float64(v.engine.report.Running + v.engine.report.Waiting)
		}
	}
}

// plan estimates the demand from the interval's samples and starts or drains
// VMs.
func (p *planner) plan() {
	if p.cloud.loop.now < planningStart {
		p.requestSum, p.sampleCount, p.finished, p.missedTarget, p.rejections = 0, 0, 0, 0, 0
		return
	}
	now := p.cloud.loop.clock()
	demand := p.estimator.Observe(now, fleet.LoadSample{
		Requests: p.requestSum / float64(max(1, p.sampleCount)),
		Finished: p.finished, Missed: p.missedTarget, Refused: p.rejections, ProtectedShare: protectedShare,
		CapacityChanging: p.cloud.loop.now < p.capacityChangingUntil || p.vmStarting(),
	})
	p.requestSum, p.sampleCount, p.finished, p.missedTarget, p.rejections = 0, 0, 0, 0, 0
	demand.Total = max(demand.Total, 2)
	current := map[fleet.OfferKey]int{}
	for _, v := range p.cloud.vms {
		if v.service == modelService && !v.leaving && !v.gone {
			current[v.key]++
		}
	}
	plan := fleet.Size(fleet.SizeInput{
		Now: now, Demand: demand, Offers: p.cloud.offers, Current: current, RefusedUntil: p.refusedUntil,
		WavesPerHour: map[string]float64{"a": 1, "b": 1, "c": 1}, RestartHours: 0.02,
	})
	p.apply(now, plan, current)
}

func (p *planner) apply(now time.Time, plan fleet.Plan, current map[fleet.OfferKey]int) {
	missing := 0
	for _, o := range p.cloud.offers {
		key := fleet.KeyOf(o)
		for current[key] < plan.Want[key] {
			if !p.cloud.startVM(key) {
				p.refusedUntil[key] = now.Add(refusalBackoff)
				break
			}
			current[key]++
		}
		missing += max(0, plan.Want[key]-current[key])
	}
	if missing > 0 || p.vmStarting() {
		return
	}
	for _, o := range p.cloud.offers {
		key := fleet.KeyOf(o)
		if current[key] > plan.Want[key] {
			p.drainLeastLoaded(key)
			return
		}
	}
}

// vmStarting reports whether a VM is starting; no VM is drained meanwhile.
func (p *planner) vmStarting() bool {
	return slices.ContainsFunc(p.cloud.vms, func(v *vm) bool { return !v.live && !v.gone })
}

// drainLeastLoaded drains the VM of an offer that runs the fewest requests.
func (p *planner) drainLeastLoaded(key fleet.OfferKey) {
	var leastLoaded *vm
	for _, v := range p.cloud.vms {
		if v.key != key || v.service != modelService || v.leaving || !v.live {
			continue
		}
		if leastLoaded == nil || len(v.engine.running) < len(leastLoaded.engine.running) {
			leastLoaded = v
		}
	}
	if leastLoaded != nil {
		p.cloud.drainVM(leastLoaded)
	}
}
