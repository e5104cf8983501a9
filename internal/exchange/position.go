package exchange

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"buckthornpick/internal/peer"
)

const (
	// maxMeshEntries is the largest site in which each entry sends its state to all
	// others. In a larger site the hubs of each zone receive the states of their
	// zone, send sums to the hubs of other zones, and send the entries of their zone
	// the sums of all others, so that the messages per entry do not grow with the
	// site.
	maxMeshEntries = 16
	// hubsPerZone allows one hub of a zone to fail without an interruption.
	hubsPerZone = 2
)

// position is the role of an entry in the exchange of its site.
type position struct {
	// usesHubs is set in a site with more than maxMeshEntries entries.
	usesHubs bool
	isHub    bool
	// uplinks receive this entry's own state: all other entries of a small site, or
	// the other hubs of this entry's zone.
	uplinks []peer.Node
	// remoteHubs are the hubs of the other zones; set only on a hub.
	remoteHubs []peer.Node
}

// positionOf returns the position of an entry. isUnreachable reports whether one of the
// others is known to be unreachable; entries is the number of entries that may be
// running, which decides whether hubs are used. With a full mesh the messages of a
// large site would grow with the square of its entries.
func positionOf(self peer.Node, others []peer.Node, entries int, isUnreachable func(id string) bool) position {
	if entries <= maxMeshEntries {
		return position{uplinks: others}
	}
	p := position{usesHubs: true}
	for zone, hubs := range hubsByZone(append(slices.Clone(others), self), isUnreachable) {
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

// hubsByZone returns the hubs of each zone: the first live entries in the order
// of the hashes of their IDs. The entries that poll the store for the others are
// the first by ID, so both tasks rarely fall to the same entries.
func hubsByZone(nodes []peer.Node, isUnreachable func(id string) bool) map[string][]peer.Node {
	slices.SortFunc(nodes, func(a, b peer.Node) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)), byID(a, b))
	})
	hubs := map[string][]peer.Node{}
	for _, n := range nodes {
		if len(hubs[n.Zone]) < hubsPerZone && !isUnreachable(n.ID) {
			hubs[n.Zone] = append(hubs[n.Zone], n)
		}
	}
	return hubs
}

// isEquivalent reports whether two positions have the same role and, with hubs,
// the same uplinks. The other entries of a full mesh and the remote hubs may
// differ.
func (p position) isEquivalent(other position) bool {
	return p.usesHubs == other.usesHubs && p.isHub == other.isHub && (!p.usesHubs || slices.Equal(p.uplinks, other.uplinks))
}

// sourceKind is a kind of message by which an entry learns what others have spent.
type sourceKind int

const (
	sourceOwnZone    sourceKind = iota // states of the entries of its zone
	sourceOtherZone                    // states of the entries of other zones
	sourceZoneSums                     // sums of other zones
	sourceRestOfSite                   // sums of the rest of the site
	sourceKinds
)

// covering lists, by kind, the kinds of messages that include the same spending.
var covering = [sourceKinds][]sourceKind{
	sourceOwnZone:    {sourceRestOfSite},
	sourceOtherZone:  {sourceZoneSums, sourceRestOfSite},
	sourceZoneSums:   {sourceOtherZone, sourceRestOfSite},
	sourceRestOfSite: {sourceOtherZone, sourceZoneSums},
}

// accepts reports whether an entry in this position merges the spending of such messages.
func (p position) accepts(kind sourceKind) bool {
	switch kind {
	case sourceOwnZone:
		return !p.usesHubs || p.isHub
	case sourceOtherZone:
		return !p.usesHubs
	case sourceZoneSums:
		return p.usesHubs && p.isHub
	}
	return p.usesHubs && !p.isHub
}
