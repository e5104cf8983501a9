package fleet

import (
	"cmp"
	"slices"
	"time"

	"buckthornpick/internal/provider"
)

// OfferKey names a kind of VM that a zone sells.
type OfferKey struct {
	Zone        string
	Class       string
	Reclaimable bool
}

// KeyOf returns the key of an offer.
func KeyOf(o provider.Offer) OfferKey { return OfferKey{o.Zone, o.Class, o.Reclaimable} }

// Demand is the capacity that a service needs, in accelerators.
type Demand struct {
	// Total is needed while all zones are up.
	Total float64
	// Protected is needed after the loss of any one zone, for the priorities
	// that the rules protect.
	Protected float64
}

// SizeInput is what a sizing decision depends on.
type SizeInput struct {
	Now    time.Time
	Demand Demand
	Offers []provider.Offer
	// Current counts the VMs that are live or starting.
	Current map[OfferKey]int
	// RefusedUntil holds offers whose starts were refused; they are not grown
	// before that time.
	RefusedUntil map[OfferKey]time.Time
	// WavesPerHour is the expected rate of reclaim waves per zone.
	WavesPerHour map[string]float64
	// RestartHours is the time for which a reclaimed VM is paid without use,
	// in hours; it turns the risk of a wave into a price.
	RestartHours float64
}

// Plan is the wanted number of VMs of each offer.
type Plan struct {
	Want map[OfferKey]int
	// PricePerHour is the price of all wanted VMs.
	PricePerHour float64
	// Accelerators is the capacity of all wanted VMs.
	Accelerators float64
	// AfterZoneLoss is the capacity without the zone that has the most.
	AfterZoneLoss float64
	// Short is true if the offers could not meet the demand.
	Short bool
}

// maxVMs bounds the VMs of one plan.
const maxVMs = 20000

const (
	// dropSlack is the share of the demand that must stay as reserve when a VM
	// in use is dropped.
	dropReserveShare = 0.15
	// exchangeGain is the least saving for which a VM in use is exchanged.
	minExchangeSaving = 0.25
)

// option is one offer with its effective price.
type option struct {
	key          OfferKey
	accelerators float64
	price        float64
	// cost is the price with the risk of waves and the cost of change.
	cost    float64
	count   int
	current int
	limit   int
}

// Size returns the cheapest mix found that meets the demand and keeps the
// protected capacity after the loss of any zone. It starts from the current
// VMs, adds the offer with the least cost per useful accelerator until both
// demands are met, and then drops and exchanges VMs while that is cheaper.
//
// A VM in use carries caches: it is dropped only if dropSlack more than the
// demand stays covered, and exchanged only if that saves exchangeGain of its
// cost.
func Size(in SizeInput) Plan {
	options := in.options()
	short := grow(options, in)
	reduceCost(options, in)
	return summarise(options, short)
}

func (in *SizeInput) options() []option {
	options := make([]option, 0, len(in.Offers))
	for _, o := range in.Offers {
		key := KeyOf(o)
		cost := o.PricePerHour
		if o.Reclaimable {
			cost *= 1 + in.WavesPerHour[o.Zone]*in.RestartHours
		}
		limit := maxVMs
		if in.RefusedUntil[key].After(in.Now) {
			limit = in.Current[key]
		}
		options = append(options, option{
			key: key, accelerators: float64(max(o.Accelerators, 1)),
			price: o.PricePerHour, cost: cost, limit: limit,
			count: in.Current[key], current: in.Current[key],
		})
	}
	slices.SortFunc(options, func(a, b option) int {
		return cmp.Or(cmp.Compare(a.cost/a.accelerators, b.cost/b.accelerators),
			cmp.Compare(a.key.Zone, b.key.Zone), cmp.Compare(a.key.Class, b.key.Class))
	})
	return options
}

// capacity returns the accelerators of all options and those left after the
// loss of the zone with the most.
func capacity(options []option) (total, survivors float64) {
	largest := 0.0
	for i := range options {
		zone := 0.0
		for j := range options {
			if options[j].key.Zone == options[i].key.Zone {
				zone += float64(options[j].count) * options[j].accelerators
			}
		}
		largest = max(largest, zone)
		total += float64(options[i].count) * options[i].accelerators
	}
	return total, total - largest
}

// shortfall returns the accelerators missing for the demand.
func shortfall(options []option, in SizeInput) float64 {
	total, survivors := capacity(options)
	return max(0, in.Demand.Total-total) + max(0, in.Demand.Protected-survivors)
}

// grow adds VMs until nothing is missing and reports whether something stays
// missing. The protected demand may need two zones at once, so an option that
// does not help alone is added if no option helps.
func grow(options []option, in SizeInput) (short bool) {
	stalled := 0
	for range maxVMs {
		missing := shortfall(options, in)
		if missing <= 1e-9 {
			return false
		}
		best, bestRate := -1, 0.0
		for i := range options {
			o := &options[i]
			if o.count >= o.limit {
				continue
			}
			o.count++
			gain := missing - shortfall(options, in)
			o.count--
			if rate := gain / o.cost; best < 0 || rate > bestRate {
				best, bestRate = i, rate
			}
		}
		if bestRate <= 1e-9 {
			stalled++
		} else {
			stalled = 0
		}
		if best < 0 || stalled > 2*len(options) {
			return true
		}
		options[best].count++
	}
	return true
}

// improve drops VMs that are not needed and exchanges one VM for one of another
// offer while this lowers the cost and misses no more.
func reduceCost(options []option, in SizeInput) {
	missing := shortfall(options, in)
	reserved := in
	reserved.Demand.Total *= 1 + dropReserveShare
	reserved.Demand.Protected *= 1 + dropReserveShare
	for changed, round := true, 0; changed && round < 100; round++ {
		changed = false
		for i := len(options) - 1; i >= 0; i-- {
			for options[i].count > options[i].current && tryReplace(options, in, i, -1, missing) {
				changed = true
			}
			for options[i].count > 0 && options[i].count <= options[i].current && tryReplace(options, reserved, i, -1, 0) {
				changed = true
			}
			for j := range options {
				if options[i].count > 0 && worthExchange(&options[i], &options[j]) && tryReplace(options, in, i, j, missing) {
					changed = true
				}
			}
		}
	}
}

// worthExchange reports whether one VM of from should give way to one of to.
func worthExchange(from, to *option) bool {
	if from.count > from.current {
		return to.cost < from.cost
	}
	return to.cost < (1-minExchangeSaving)*from.cost
}

// tryMove takes one VM of options[from], adds one of options[to] unless to is
// negative, and undoes both if more is missing than before.
func tryReplace(options []option, in SizeInput, from, to int, missing float64) bool {
	if to >= 0 && options[to].count >= options[to].limit {
		return false
	}
	options[from].count--
	if to >= 0 {
		options[to].count++
	}
	if shortfall(options, in) <= missing+1e-9 {
		return true
	}
	options[from].count++
	if to >= 0 {
		options[to].count--
	}
	return false
}

func summarise(options []option, short bool) Plan {
	plan := Plan{Want: make(map[OfferKey]int, len(options)), Short: short}
	for i := range options {
		o := &options[i]
		plan.Want[o.key] = o.count
		plan.PricePerHour += float64(o.count) * o.price
	}
	plan.Accelerators, plan.AfterZoneLoss = capacity(options)
	return plan
}
