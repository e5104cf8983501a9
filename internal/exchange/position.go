package exchange

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"buckthornpick/internal/peer"
)

const (
	// meshEntries is the number of entries up to which each sends its state to all
	// others. In a larger site the hubs of each zone take the states of their zone,
	// pass sums on to the hubs of other zones, and tell their zone's entries the sum
	// of the others, so that the messages of an entry do not grow with the site.
	meshEntries = 16
	// hubsPerZone lets one hub of a zone fail without a gap.
	hubsPerZone = 2
)

// position is an entry's place in the exchange of its site.
type position struct {
	isTree bool
	isHub  bool
	// uplinks get this entry's own state: all others of a small site, and the hubs
	// of the zone of a large one.
	uplinks []peer.Node
	// remoteHubs are the hubs of the other zones; only of a hub.
	remoteHubs []peer.Node
}

// positionOf places an entry among the others, of which isDead names those that
// are known not to answer; entries is the number of those that may live. It
// answers the messages of a large site, which would grow with its square.
func positionOf(self peer.Node, others []peer.Node, entries int, isDead func(id string) bool) position {
	if entries <= meshEntries {
		return position{uplinks: others}
	}
	p := position{isTree: true}
	for zone, hubs := range hubsByZone(append(slices.Clone(others), self), isDead) {
		if zone != self.Zone {
			p.remoteHubs = append(p.remoteHubs, hubs...)
			continue
		}
		for _, hub := range hubs {
			if hub.ID == self.ID {
				p.isHub = true
			} else {
				p.uplinks = append(p.uplinks, hub)
			}
		}
	}
	if !p.isHub {
		p.remoteHubs = nil
	}
	slices.SortFunc(p.remoteHubs, byID)
	return p
}

func byID(a, b peer.Node) int { return cmp.Compare(a.ID, b.ID) }

// hubsByZone returns the hubs of each zone: the first ones by the hash of their
// IDs, so that they are not those that others ask in place of the store.
func hubsByZone(nodes []peer.Node, isDead func(id string) bool) map[string][]peer.Node {
	slices.SortFunc(nodes, func(a, b peer.Node) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)), byID(a, b))
	})
	hubs := map[string][]peer.Node{}
	for _, n := range nodes {
		if len(hubs[n.Zone]) < hubsPerZone && !isDead(n.ID) {
			hubs[n.Zone] = append(hubs[n.Zone], n)
		}
	}
	return hubs
}

// isSame reports whether an entry hears of the others in the same way.
func (p position) isSame(o position) bool {
	return p.isTree == o.isTree && p.isHub == o.isHub && (!p.isTree || slices.Equal(p.uplinks, o.uplinks))
}
