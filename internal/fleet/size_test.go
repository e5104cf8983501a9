package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"buckthornpick/internal/provider"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func testOffers() []provider.Offer {
	var offers []provider.Offer
	for i, zone := range []string{"a", "b", "c"} {
		offers = append(offers,
			provider.Offer{Zone: zone, Class: "g1", Reclaimable: true, PricePerHour: 1 + 0.2*float64(i), Accelerators: 1},
			provider.Offer{Zone: zone, Class: "g1", PricePerHour: 3, Accelerators: 1})
	}
	return offers
}

func TestSizePicksCheapestZoneUnlessZoneLossMustBeSurvived(t *testing.T) {
	cheapest := Size(SizeInput{Now: start, Demand: Demand{Total: 6}, Offers: testOffers()})
	require.Equal(t, 6, cheapest.Want[OfferKey{"a", "g1", true}])
	require.InDelta(t, 6.0, cheapest.PricePerHour, 1e-9)

	safe := Size(SizeInput{Now: start, Demand: Demand{Total: 6, Protected: 4}, Offers: testOffers()})
	require.GreaterOrEqual(t, safe.AfterZoneLoss, 4.0)
	require.InDelta(t, 2+2*1.2+2*1.4, safe.PricePerHour, 1e-9)
}

func TestSizeFailsOverFromRefusedOffersAndReportsShortage(t *testing.T) {
	refused := map[OfferKey]time.Time{{"a", "g1", true}: start.Add(time.Minute)}
	plan := Size(SizeInput{Now: start, Demand: Demand{Total: 4}, Offers: testOffers(),
		Current: map[OfferKey]int{{"a", "g1", true}: 1}, RefusedUntil: refused})
	require.Equal(t, 1, plan.Want[OfferKey{"a", "g1", true}])
	require.Equal(t, 3, plan.Want[OfferKey{"b", "g1", true}])

	only := testOffers()[:1]
	plan = Size(SizeInput{Now: start, Demand: Demand{Total: 4}, Offers: only, RefusedUntil: refused})
	require.True(t, plan.Short)
	plan = Size(SizeInput{Now: start, Demand: Demand{Total: 4, Protected: 1}, Offers: only})
	require.True(t, plan.Short, "one zone cannot survive its own loss")
	require.Equal(t, 4, plan.Want[OfferKey{"a", "g1", true}])
}

func TestSizeKeepsVMsInUseWithinHysteresis(t *testing.T) {
	inB := OfferKey{"b", "g1", true}
	size := func(total float64, offers []provider.Offer) Plan {
		return Size(SizeInput{Now: start, Demand: Demand{Total: total}, Offers: offers, Current: map[OfferKey]int{inB: 8}})
	}
	require.Equal(t, 8, size(7.5, testOffers()).Want[inB], "the exchange saves too little")
	require.Equal(t, 6, size(5.2, testOffers()).Want[inB], "5.98 with the reserve")
	cheap := testOffers()
	cheap[0].PricePerHour = 0.5
	require.Equal(t, 8, size(7.5, cheap).Want[OfferKey{"a", "g1", true}], "half the price justifies the exchange")
}

func TestSizeWeighsWaveRisk(t *testing.T) {
	plan := Size(SizeInput{Now: start, Demand: Demand{Total: 3}, Offers: testOffers(),
		WavesPerHour: map[string]float64{"a": 2}, RestartHours: 0.2})
	require.Equal(t, 3, plan.Want[OfferKey{"b", "g1", true}])
}

func TestDemandRisesAtOnceAndFallsAfterDelay(t *testing.T) {
	e := NewDemandEstimator(DemandConfig{RequestsPerAccelerator: 10, InitialUtilisation: 0.5, ScaleDownDelay: time.Minute, SmoothingTime: time.Millisecond})
	require.Equal(t, 4.0, e.Observe(start, LoadSample{Requests: 20}).Total)
	require.Equal(t, 8.0, e.Observe(start.Add(time.Second), LoadSample{Requests: 40}).Total)
	require.Equal(t, 8.0, e.Observe(start.Add(30*time.Second), LoadSample{Requests: 10}).Total)
	require.Equal(t, 2.0, e.Observe(start.Add(90*time.Second), LoadSample{Requests: 10}).Total)
	before := e.Utilisation()
	e.Observe(start.Add(91*time.Second), LoadSample{Requests: 10, Finished: 100, Missed: 50, CapacityChanging: true})
	require.Equal(t, before, e.Utilisation())
	e.Observe(start.Add(92*time.Second), LoadSample{Requests: 10})
	require.Less(t, e.Utilisation(), before)
}

func TestShortBurstRaisesDemandInPart(t *testing.T) {
	e := NewDemandEstimator(DemandConfig{RequestsPerAccelerator: 10, InitialUtilisation: 0.5})
	require.Equal(t, 4.0, e.Observe(start, LoadSample{Requests: 20}).Total)
	require.Less(t, e.Observe(start.Add(5*time.Second), LoadSample{Requests: 60}).Total, 6.0)
	require.InDelta(t, 12.0, e.Observe(start.Add(10*time.Minute), LoadSample{Requests: 60}).Total, 0.1)
}

// TestSizeProperties checks that a plan meets both demands and that no single VM
// could be dropped from it.
func TestSizeProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := SizeInput{Now: start, Offers: testOffers(), Demand: Demand{Total: rapid.Float64Range(0, 30).Draw(t, "total")}}
		in.Demand.Protected = in.Demand.Total * rapid.Float64Range(0, 1).Draw(t, "protected")
		for i := range in.Offers {
			in.Offers[i].PricePerHour = rapid.Float64Range(0.5, 4).Draw(t, "price")
			in.Offers[i].Accelerators = rapid.IntRange(1, 4).Draw(t, "accelerators")
		}
		plan := Size(in)
		if plan.Short || plan.Accelerators < in.Demand.Total-1e-6 || plan.AfterZoneLoss < in.Demand.Protected-1e-6 {
			t.Fatalf("plan %+v does not meet %+v", plan, in.Demand)
		}
		options := in.options()
		for i := range options {
			options[i].count = plan.Want[options[i].key]
		}
		for i := range options {
			if options[i].count > 0 && tryReplace(options, in, i, -1, 0) {
				t.Fatalf("a VM of %v is not needed", options[i].key)
			}
		}
	})
}

func BenchmarkSize(b *testing.B) {
	current := map[OfferKey]int{{"a", "g1", true}: 7, {"b", "g1", true}: 6, {"c", "g1", true}: 5}
	for b.Loop() {
		plan := Size(SizeInput{Now: start, Demand: Demand{Total: 22, Protected: 13}, Offers: testOffers(), Current: current})
		if plan.Short {
			b.Fatal("short")
		}
	}
}
