package exchange

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/peer"
)

// newNodes returns the nodes of a site, distributed evenly over the zones.
func newNodes(zones, entries int) []peer.Node {
	var nodes []peer.Node
	for i := range entries {
		nodes = append(nodes, peer.Node{ID: fmt.Sprint("e", i), Zone: fmt.Sprint("z", i%zones)})
	}
	return nodes
}

func noneDead(string) bool { return false }

// fanOut returns the position of an entry and the number of entries to which it
// sends. For a hub this includes the entries of its zone.
func fanOut(nodes []peer.Node, i int, isDead func(string) bool) (p position, messages int) {
	others := append(append([]peer.Node{}, nodes[:i]...), nodes[i+1:]...)
	p = positionOf(nodes[i], others, len(nodes), isDead)
	messages = len(p.uplinks) + len(p.remoteHubs)
	if p.isHub {
		for _, n := range others {
			if n.Zone == nodes[i].Zone {
				messages++
			}
		}
	}
	return p, messages
}

// The messages of an entry must not grow with the site. The sizes go up to the one
// that the project aims at in a region.
func TestFanOutIsBoundedOnLargeSites(t *testing.T) {
	for _, tc := range []struct{ zones, entries int }{{3, 7}, {3, 16}, {3, 17}, {4, 90}, {3, 200}, {17, 1200}} {
		nodes := newNodes(tc.zones, tc.entries)
		hubs := 0
		for i := range nodes {
			p, messages := fanOut(nodes, i, noneDead)
			inZone := (tc.entries + tc.zones - 1) / tc.zones
			switch {
			case tc.entries <= maxMeshEntries:
				require.Equal(t, tc.entries-1, messages)
			case p.isHub:
				hubs++
				require.LessOrEqual(t, messages, inZone+hubsPerZone*tc.zones)
			default:
				require.Equal(t, hubsPerZone, messages)
			}
		}
		if tc.entries > maxMeshEntries {
			require.Equal(t, hubsPerZone*tc.zones, hubs)
		}
	}
}

// A single late message must not make an entry unreachable.
func TestSilenceTimeoutExceedsTwoReportIntervals(t *testing.T) {
	require.Greater(t, silenceTimeout, 2*reportInterval)
}

func TestDeadHubsAreReplaced(t *testing.T) {
	nodes := newNodes(3, 24)
	p, _ := fanOut(nodes, 0, noneDead)
	dead := map[string]bool{}
	for _, hub := range append(p.uplinks, p.remoteHubs...) {
		dead[hub.ID] = true
	}
	for i, n := range nodes {
		if dead[n.ID] {
			continue
		}
		p, _ := fanOut(nodes, i, func(id string) bool { return dead[id] })
		for _, hub := range append(p.uplinks, p.remoteHubs...) {
			require.False(t, dead[hub.ID])
		}
	}
}

func TestAllEntriesSelectTheSameHubs(t *testing.T) {
	nodes := newNodes(3, 30)
	hubs := map[string]bool{}
	for i, n := range nodes {
		if p, _ := fanOut(nodes, i, noneDead); p.isHub {
			hubs[n.ID] = true
		}
	}
	for i := range nodes {
		p, _ := fanOut(nodes, i, noneDead)
		for _, hub := range append(p.uplinks, p.remoteHubs...) {
			require.True(t, hubs[hub.ID])
		}
	}
}
