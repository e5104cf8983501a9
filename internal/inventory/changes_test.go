package inventory

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/provider"
	"buckthornpick/internal/telemetry"
)

func newTestInventory() *Inventory { return New(Config{}, nil, nil, telemetry.Discard()) }

func testVM(i, generation int) provider.VM {
	return provider.VM{ID: fmt.Sprintf("vm-%d", i), Zone: "a", Service: "audit", State: provider.VMLive,
		Address: fmt.Sprintf("10.0.0.%d:%d", i, 8000+generation)}
}

// gossipOnce transfers notices and list changes as the two gossip topics do.
func gossipOnce(t *testing.T, to, from *Inventory) {
	t.Helper()
	view := from.View()
	to.MergeView(&View{Deadlines: view.Deadlines, LastNotice: view.LastNotice})
	to.ApplyChanges(from.ChangesSince(to.ListVersion()))
}

// TestNodesConvergeOnSameList changes the list and the notices at random on one
// node, while the other nodes pull from random nodes at random times. All nodes
// must end with the same view, and none may lose a notice that it has received.
func TestNodesConvergeOnSameList(t *testing.T) {
	for seed := range uint64(8) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 0))
			nodes := []*Inventory{newTestInventory(), newTestInventory(), newTestInventory()}
			vms, sequence := map[int]provider.VM{}, int64(0)
			for round := range 300 {
				time.Sleep(10 * time.Millisecond)
				switch i := rng.IntN(20); rng.IntN(4) {
				case 0:
					vms[i] = testVM(i, round)
				case 1:
					delete(vms, i)
				case 2:
					sequence++
					nodes[0].applyNotices([]provider.Notice{{Sequence: sequence, VM: fmt.Sprintf("vm-%d", i),
						Deadline: time.Now().Add(time.Hour)}})
				}
				var list []provider.VM
				for _, vm := range vms {
					list = append(list, vm)
				}
				nodes[0].applyList(list)
				to, known := nodes[1+rng.IntN(2)], 0
				known = len(to.View().Deadlines)
				gossipOnce(t, to, nodes[rng.IntN(3)])
				require.GreaterOrEqual(t, len(to.View().Deadlines), known)
			}
			for _, n := range nodes[1:] {
				gossipOnce(t, n, nodes[0])
				require.Equal(t, nodes[0].View().VMs, n.View().VMs)
				require.Equal(t, nodes[0].View().Deadlines, n.View().Deadlines)
			}
		})
	}
}

func TestDeltaContainsOnlyChanges(t *testing.T) {
	a, b := newTestInventory(), newTestInventory()
	list := []provider.VM{testVM(1, 0), testVM(2, 0), testVM(3, 0)}
	a.applyList(list)
	gossipOnce(t, b, a)
	a.applyList([]provider.VM{list[0], testVM(2, 1)})
	delta := a.ChangesSince(b.ListVersion())
	require.Equal(t, []provider.VM{testVM(2, 1)}, delta.VMs)
	require.Equal(t, []string{"vm-3"}, delta.Removed)
	require.Len(t, a.ChangesSince(17).VMs, 2, "the full list for an unknown version")
}

func TestMismatchedDeltaTriggersFullList(t *testing.T) {
	a, b := newTestInventory(), newTestInventory()
	a.applyList([]provider.VM{testVM(1, 0)})
	gossipOnce(t, b, a)
	a.applyList([]provider.VM{testVM(1, 0), testVM(2, 0)})
	delta := a.ChangesSince(b.ListVersion())

	other := *delta
	other.Since = 17
	require.False(t, b.ApplyChanges(&other), "a delta for another version")
	require.NotZero(t, b.ListVersion())

	damaged := *delta
	damaged.VMs = nil
	require.False(t, b.ApplyChanges(&damaged))
	require.Zero(t, b.ListVersion(), "requests the full list")
	require.Len(t, b.View().VMs, 1, "keeps the current list")
	gossipOnce(t, b, a)
	require.Equal(t, a.View().VMs, b.View().VMs)
	require.Equal(t, a.View().Version, b.ListVersion())
}
