package fleet

import (
	"cmp"
	"slices"
	"time"

	"buckthornpick/internal/provider"
)

// OfferKey identifies a kind of VM that is offered in a zone.
type OfferKey struct {
	Zone        string
	Class       string
	Reclaimable bool
}

// KeyOf returns the key of an offer.
func KeyOf(o provider.Offer) OfferKey { return OfferKey{o.Zone, o.Class, o.Reclaimable} }

// Demand is the capacity that a service needs, in accelerators.
type Demand struct {
	// Total is the capacity needed while all zones are available.
	Total float64
	// Protected is the capacity that must remain after the loss of any one zone,
	// for the priorities that the rules protect.
	Protected float64
}

// SizeInput holds the inputs of Size for one service.
type SizeInput struct {
	Now    time.Time
	Demand Demand
	Offers []provider.Offer
	// Current counts the VMs that are live or starting.
	Current map[OfferKey]int
	// RefusedUntil holds offers whose starts were refused; no VMs of them are
	// added before the given time.
	RefusedUntil map[OfferKey]time.Time
	// WavesPerHour is the expected rate of reclaim waves by zone; a wave reclaims
	// many VMs of the zone at once.
	WavesPerHour map[string]float64
	// RestartHours is the time, in hours, for which a VM is paid for but not usable
	// after a reclaim; with WavesPerHour it converts the risk into a price.
	RestartHours float64
}

// Plan is the wanted number of VMs of each offer, with their totals.
type Plan struct {
	Want map[OfferKey]int
	// PricePerHour is the price of all wanted VMs.
	PricePerHour float64
	// Accelerators is the capacity of all wanted VMs.
	Accelerators float64
	// AfterZoneLoss is the capacity without the zone with the largest capacity.
	AfterZoneLoss float64
	// Short is true if the offers cannot meet the demand.
	Short bool
}

// maxVMs bounds the number of VMs in one plan.
const maxVMs = 20000

const (
	// dropReserveShare is the reserve, as a share of the demand, that must remain
	// when a VM in use is dropped.
	dropReserveShare = 0.15
	// minExchangeSaving is the smallest relative saving for which a VM in use is
	// exchanged.
	minExchangeSaving = 0.25
)

// option is an offer with its effective cost and the planned number of VMs.
type option struct {
	key          OfferKey
	accelerators float64
	price        float64
	// cost is the price per hour including the risk of reclaim waves.
	cost float64
	// count is the planned number of VMs, current the present one, and limit the
	// largest allowed.
	count   int
	current int
	limit   int
}

// Size returns the cheapest mix of VMs found that meets the demand and keeps the
// protected capacity after the loss of any zone. It starts with the current VMs,
// adds the offer with the lowest cost per useful accelerator until both demands
// are met, and then drops and exchanges VMs while that reduces the cost.
//
// Because the caches of a VM in use would be lost, such a VM is dropped only if
// the remaining capacity exceeds the demand by dropReserveShare, and exchanged
// only if that saves minExchangeSaving of its cost.
func Size(in SizeInput) Plan {
	options := in.options()
	short := grow(options, in)
	reduceCost(options, in)
	return summarise(options, short)
}

// options returns the offers as options with the current counts, sorted by cost
// per accelerator.
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

// capacity returns the number of accelerators of all options, and the number that
// remains after the loss of the zone with the most accelerators.
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

// shortfall returns by how many accelerators the options miss the total and the
// protected demand, added up.
func shortfall(options []option, in SizeInput) float64 {
	total, survivors := capacity(options)
	return max(0, in.Demand.Total-total) + max(0, in.Demand.Protected-survivors)
}

// grow adds VMs until the demand is met and reports whether a shortfall remains.
// Meeting the protected demand may need VMs in two zones at once, so if no single
// VM reduces the shortfall, one is added anyway; after more than 2*len(options)
// such additions in a row, grow gives up.
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

// reduceCost drops VMs that are not needed and exchanges VMs for ones of another
// offer while that lowers the cost without increasing the shortfall.
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

// worthExchange reports whether replacing a VM of from by one of to saves enough.
// A VM that is not in use yet is replaced for any saving.
func worthExchange(from, to *option) bool {
	if from.count > from.current {
		return to.cost < from.cost
	}
	return to.cost < (1-minExchangeSaving)*from.cost
}

// tryReplace removes one VM of options[from] and adds one of options[to] unless to
// is negative. It changes nothing and returns false if options[to] is at its limit
// or the shortfall would exceed missing.
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

// summarise returns the plan for the options.
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
