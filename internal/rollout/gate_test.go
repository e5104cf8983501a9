package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const testNow = time.Hour

func testServers(versions ...string) []Server {
	var list []Server
	for _, version := range versions {
		list = append(list, Server{ID: version + "-1", Service: "app", Version: version}, Server{ID: version + "-2", Service: "app", Version: version})
	}
	return list
}

// newTestGate returns a gate whose next exposed request is always allowed by its share.
func newTestGate(versions ...string) *Gate {
	g := NewGate(Bounds{Share: 0.1, Rollback: 5 * time.Second}, 1000)
	g.SetServers(testNow, testServers(versions...))
	return g
}

func states(order OrderState, number int64) Statement {
	order.Service = "app"
	return Statement{Token: 9, Number: number, Orders: []OrderState{order}}
}

func TestVersionWithoutOrderServesOnceThatIsKnown(t *testing.T) {
	g := newTestGate("v1")
	require.Nil(t, g.Choose(testNow, "app", 0).Versions)
	g.SetServers(testNow+time.Second, testServers("v1", "v2"))
	g.Learn(testNow+1100*time.Millisecond, Statement{Token: 9, Number: 1, ConfirmedMillis: 500})
	require.Equal(t, map[string]bool{"v1": true}, g.Choose(testNow+1100*time.Millisecond, "app", 0).Versions, "the orders were read before")
	require.False(t, g.NeedsReading(testNow+2*time.Second))
	require.True(t, g.NeedsReading(testNow+3*time.Second))
	g.Learn(testNow+3*time.Second, Statement{ConfirmedMillis: 100})
	require.Nil(t, g.Choose(testNow+3*time.Second, "app", 0).Versions)
}

func TestOnlyServersOfAnUnknownVersionServe(t *testing.T) {
	g := newTestGate("v1")
	g.SetServers(testNow, testServers("v2"))
	require.Nil(t, g.Choose(testNow, "app", 0).Versions)
	g.Learn(testNow, Statement{Orders: []OrderState{{ID: 1, Seen: 1, Service: "app", To: "v2"}}})
	require.Equal(t, map[string]bool{"v1": true}, g.Choose(testNow, "app", 0).Versions, "an order holds it back")
}

func TestPermissionLapses(t *testing.T) {
	g := newTestGate("v1", "v2")
	order := OrderState{ID: 1, Seen: 1, To: "v2", From: []string{"v1"}, Phase: PhaseTrial}
	g.Learn(testNow, states(order, 1))
	require.True(t, g.Choose(testNow, "app", 0).IsExposed)
	require.True(t, g.MayContinue(testNow, "app", "v2"))
	late := testNow + g.bounds.MaxPermissionAge() + 1
	require.Equal(t, map[string]bool{"v1": true}, g.Choose(late, "app", 0).Versions)
	require.False(t, g.MayContinue(late, "app", "v2"))
	require.True(t, g.MayContinue(late, "app", "v1"))
}

func TestOutcomeDecidesWhoServes(t *testing.T) {
	for phase, want := range map[Phase]string{PhaseHeld: "v1", PhaseCompleted: "v2", PhaseRolledBack: "v1"} {
		g := newTestGate("v1", "v2")
		g.Learn(testNow, states(OrderState{ID: 1, Seen: 1, To: "v2", From: []string{"v1"}, Phase: phase}, 1))
		require.Equal(t, map[string]bool{want: true}, g.Choose(testNow, "app", 0).Versions, phase.String())
	}
}

func TestOldServersStopAroundTheOutcome(t *testing.T) {
	g := newTestGate("v1", "v2")
	order := OrderState{ID: 1, Seen: 1, To: "v2", From: []string{"v1"}, LeftMillis: 5000}
	for i, phase := range []Phase{PhaseTrial, PhaseSurge, PhaseHandOver, PhaseCommit, PhaseCompleted, PhaseRolledBack} {
		order.Phase = phase
		g.Learn(testNow, states(order, int64(i+1)))
		isOutcome := phase == PhaseHandOver || phase == PhaseCommit || phase == PhaseCompleted
		require.Equal(t, isOutcome, g.IsStopping(testNow, "app", "v1"), phase.String())
		require.Equal(t, phase != PhaseRolledBack, g.IsStopping(testNow+4*time.Second, "app", "v1"), phase.String())
		require.False(t, g.IsStopping(testNow+4*time.Second, "app", "v2"))
	}
}

func TestOlderStatementsAreIgnored(t *testing.T) {
	g := newTestGate("v1", "v2")
	order := OrderState{ID: 1, Seen: 1, To: "v2", From: []string{"v1"}, Phase: PhaseRolledBack}
	require.Len(t, g.Learn(testNow, states(order, 5)), 1)
	order.Phase = PhaseTrial
	require.Empty(t, g.Learn(testNow, states(order, 4)))
	own := states(order, 0)
	own.Token = 0
	g.Learn(testNow, own)
	require.False(t, g.Choose(testNow, "app", 0).IsExposed)
}

func TestOrderIsTheSameAfterTheStoreCameBack(t *testing.T) {
	known := OrderState{ID: NewID(1, 70), Seen: NewID(1, 70), To: "v2"}
	require.True(t, known.IsSame(&Order{ID: NewID(2, 55), To: "v2"}))
	require.False(t, known.IsSame(&Order{ID: NewID(1, 80), To: "v2"}))
	require.False(t, known.IsSame(&Order{ID: NewID(2, 55), To: "v3"}))
}

func TestRequestsThatWereNotSentDoNotCount(t *testing.T) {
	g := newTestGate("v1", "v2")
	g.startCredit = 0
	g.Learn(testNow, states(OrderState{ID: 1, Seen: 1, To: "v2", From: []string{"v1"}, Phase: PhaseTrial}, 1))
	for range 200 {
		g.Withdraw("app", g.Choose(testNow, "app", 0))
	}
	require.Zero(t, g.orders["app"].all)
	require.Zero(t, g.orders["app"].exposed)
}

// Guards against an entry that reads the orders in a store which has come back from a copy, and
// forgets the order that a holder has told of since.
func TestEarlierOrderInARestoredStoreIsPassedOver(t *testing.T) {
	g := NewGate(Bounds{Share: 0.1, Rollback: time.Second}, 0)
	later := OrderState{ID: NewID(1, 9), Seen: NewID(1, 9), Service: "app", To: "v3", Phase: PhaseRolledBack}
	g.Learn(time.Second, Statement{Token: 5, Number: 1, Orders: []OrderState{later}})
	earlier := OrderState{ID: NewID(1, 4), Seen: NewID(2, 4), Service: "app", To: "v2", Phase: PhaseCompleted}
	require.Empty(t, g.Learn(2*time.Second, Statement{Orders: []OrderState{earlier}}))
	known, ok := g.Known("app")
	require.True(t, ok)
	require.Equal(t, "v3", known.To)
}
