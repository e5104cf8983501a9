package entry

import (
	"time"

	"buckthornpick/internal/claim"
	"buckthornpick/internal/member"
	"buckthornpick/internal/peer"
	"buckthornpick/internal/request"
)

// ownership adapts the membership to the interfaces of the dispatcher and the claim
// ledger. The embedded record of when the node acquired each partition tells the
// ledger whether the claims that it has loaded for a partition are still valid.
type ownership struct {
	*claim.OwnershipTracker
	self    string
	members *member.Membership
}

// Self implements dispatch.Ownership.
func (o ownership) Self() string { return o.self }

// Incarnation implements dispatch.Ownership.
func (o ownership) Incarnation() int64 { return o.members.Incarnation() }

// OwnsPartition implements dispatch.Ownership.
func (o ownership) OwnsPartition(partition int) bool { return o.members.Owns(partition) }

// LeaseLapsed implements dispatch.Ownership.
func (o ownership) LeaseLapsed() time.Duration { return o.members.LeaseLapsed() }

// AcquiredDirty implements dispatch.Ownership.
func (o ownership) AcquiredDirty(partition int) (time.Time, bool) {
	return o.members.AcquiredDirty(partition)
}

// TableKey implements claim.Ownership.
func (o ownership) TableKey() string { return o.members.TableKey() }

// observeTable updates the record of acquired partitions from a new table.
func (o ownership) observeTable(t member.Table) {
	o.Observe(t.Revision, t.Previous, o.members.Owns)
}

// Writer implements claim.Ownership. The member with the lowest ID in this zone
// writes the zone's claims.
func (o ownership) Writer() (peer.Node, bool) {
	table := o.members.Table()
	self, ok := table.Find(o.self)
	if !ok {
		return peer.Node{}, false
	}
	for _, m := range table.Members {
		if m.Zone == self.Zone {
			return nodeOf(m), true
		}
	}
	return peer.Node{}, false
}

func nodeOf(m member.Member) peer.Node {
	return peer.Node{ID: m.ID, Zone: m.Zone, Address: m.Address}
}

// rankInZone returns the position, from 0, of the member among the members of its
// zone, not counting those for which isDead returns true. It returns -1 if the table
// does not contain the member.
func rankInZone(t member.Table, id string, isDead func(id string) bool) int {
	self, ok := t.Find(id)
	if !ok {
		return -1
	}
	rank := 0
	for _, m := range t.Members {
		if m.ID == id {
			return rank
		}
		if m.Zone == self.Zone && !isDead(m.ID) {
			rank++
		}
	}
	return -1
}

// ownedPartitions returns the partitions that the member owns according to the
// table.
func ownedPartitions(t member.Table, id string) []int {
	var out []int
	for p := range request.Partitions {
		if m, ok := t.Owner(p); ok && m.ID == id {
			out = append(out, p)
		}
	}
	return out
}
