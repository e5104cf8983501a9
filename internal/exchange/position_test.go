package exchange

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/peer"
)

func siteOf(zones, entries int) []peer.Node {
	var nodes []peer.Node
	for i := range entries {
		nodes = append(nodes, peer.Node{ID: fmt.Sprint("e", i), Zone: fmt.Sprint("z", i%zones)})
	}
	return nodes
}

func nobody(string) bool { return false }

// fanOut returns to how many others an entry sends, its zone's entries included
// if it is a hub.
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

// TestMessagesDoNotGrowWithTheSite holds for the size that the project aims at,
// region by region.
func TestFanOutIsBoundedOnLargeSites(t *testing.T) {
	for _, tc := range []struct{ zones, entries int }{{3, 7}, {3, 16}, {3, 17}, {4, 90}, {3, 200}, {17, 1200}} {
		nodes := siteOf(tc.zones, tc.entries)
		hubs := 0
		for i := range nodes {
			p, messages := fanOut(nodes, i, nobody)
			inZone := (tc.entries + tc.zones - 1) / tc.zones
			switch {
			case tc.entries <= meshEntries:
				require.Equal(t, tc.entries-1, messages)
			case p.isHub:
				hubs++
				require.LessOrEqual(t, messages, inZone+hubsPerZone*tc.zones)
			default:
				require.Equal(t, hubsPerZone, messages)
			}
		}
		if tc.entries > meshEntries {
			require.Equal(t, hubsPerZone*tc.zones, hubs)
		}
	}
}

func TestSilenceTimeoutExceedsTwoReportIntervals(t *testing.T) {
	require.Greater(t, silence, 2*interval)
}

func TestDeadHubsAreReplaced(t *testing.T) {
	nodes := siteOf(3, 24)
	p, _ := fanOut(nodes, 0, nobody)
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
	nodes := siteOf(3, 30)
	hubs := map[string]bool{}
	for i, n := range nodes {
		if p, _ := fanOut(nodes, i, nobody); p.isHub {
			hubs[n.ID] = true
		}
	}
	for i := range nodes {
		p, _ := fanOut(nodes, i, nobody)
		for _, hub := range append(p.uplinks, p.remoteHubs...) {
			require.True(t, hubs[hub.ID])
		}
	}
}
