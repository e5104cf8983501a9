package member

import (
	"encoding/json"
	"slices"
	"strings"
	"time"
)

// Member is one node of the table.
type Member struct {
	ID   string `json:"id" msgpack:"i"`
	Zone string `json:"zone" msgpack:"z"`
	// Address is "host:port" of the node's inner protocol.
	Address string `json:"address" msgpack:"a"`
	// HTTPAddress is "host:port" of the node's listener for callers.
	HTTPAddress string `json:"httpAddress" msgpack:"h"`
	// AdminURL is the base URL of the node's admin listener, if known.
	AdminURL string `json:"adminUrl,omitempty" msgpack:"u,omitempty"`
	// Incarnation is the create revision of the node's lease key; it rises
	// with each life of the node.
	Incarnation int64 `json:"incarnation" msgpack:"n"`
}

// Gap records a member whose partitions changed hands without a handover.
type Gap struct {
	Member Member `json:"member" msgpack:"m"`
	// Since is the wall-clock time of the removal at the node that made it.
	Since time.Time `json:"since" msgpack:"s"`
	// PreviousRevision is the revision of the table before the removal.
	PreviousRevision int64 `json:"previousRevision" msgpack:"p"`
	// IsLeaving is true from the member's departure until it has handed its
	// requests over. While the member is alive it can be asked for them.
	IsLeaving bool `json:"leaving,omitempty" msgpack:"l,omitempty"`
	// Partitions are those that the member owned by that table.
	Partitions PartitionSet `json:"partitions" msgpack:"o"`
}

// Table is the list of members at one revision. It is a value: nothing in it
// changes after it was published.
type Table struct {
	// Revision is the store revision that wrote the table; 0 is no table.
	Revision int64 `json:"-" msgpack:"r"`
	// Previous is the revision of the table that this one replaced; 0 for the
	// first.
	Previous int64 `json:"previous,omitempty" msgpack:"p,omitempty"`
	// Members are in the order of their IDs.
	Members []Member `json:"members" msgpack:"m"`
	// Gaps are the recent removals without a handover, oldest first.
	Gaps []Gap `json:"gaps,omitempty" msgpack:"g,omitempty"`

	owners *owners
}

// NewTable returns a table with its members in order and its owners cached.
func NewTable(revision int64, members []Member, gaps []Gap) Table {
	members = slices.Clone(members)
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return Table{Revision: revision, Members: members, Gaps: gaps, owners: &owners{}}
}

// after returns the table with Previous set.
func (t Table) withPrevious(previous int64) Table {
	t.Previous = previous
	return t
}

// Find returns the member with the ID.
func (t Table) Find(id string) (Member, bool) {
	i, found := t.search(id)
	if !found {
		return Member{}, false
	}
	return t.Members[i], true
}

func (t Table) search(id string) (int, bool) {
	return slices.BinarySearchFunc(t.Members, id, func(m Member, id string) int {
		return strings.Compare(m.ID, id)
	})
}

// Owner returns the member that owns the partition (0 to 1023). It is false if
// the table is empty or there is no such partition. Owners of tables made by
// NewTable are computed once.
func (t Table) Owner(partition int) (Member, bool) {
	if len(t.Members) == 0 || partition < 0 || partition >= partitions {
		return Member{}, false
	}
	if t.owners == nil {
		return t.Members[ownerIndex(idHashes(t.Members), partition)], true
	}
	return t.Members[t.owners.index(t.Members, partition)], true
}

// with returns the table with m added, or in place of the member of that ID.
func (t Table) withMember(m Member) Table {
	members := slices.Clone(t.Members)
	if i, found := t.search(m.ID); found {
		members[i] = m
	} else {
		members = append(members, m)
	}
	return NewTable(0, members, t.Gaps)
}

// without returns the table without the member.
func (t Table) withoutMember(id string) Table {
	members := slices.DeleteFunc(slices.Clone(t.Members), func(m Member) bool { return m.ID == id })
	return NewTable(0, members, t.Gaps)
}

// owned returns the partitions of the member.
func (t Table) ownedPartitions(id string) PartitionSet {
	set := newPartitionSet()
	for p := range partitions {
		if m, _ := t.Owner(p); m.ID == id {
			set.add(p)
		}
	}
	return set
}

// maxGaps bounds the gaps of a table; beyond it the two oldest are merged.
const maxGaps = 64

// withGap returns the table with gap added and those older than window dropped.
func (t Table) withGap(gap Gap, window time.Duration) Table {
	gaps := make([]Gap, 0, len(t.Gaps)+1)
	for _, g := range t.Gaps {
		if gap.Since.Sub(g.Since) < window {
			gaps = append(gaps, g)
		}
	}
	gaps = append(gaps, gap)
	for len(gaps) > maxGaps {
		gaps[1].Partitions = gaps[0].Partitions.union(gaps[1].Partitions)
		gaps = gaps[1:]
	}
	return NewTable(t.Revision, t.Members, gaps)
}

func encodeTable(t Table) ([]byte, error) { return json.Marshal(t) }

func decodeTable(value []byte, revision int64) (Table, error) {
	var t Table
	if err := json.Unmarshal(value, &t); err != nil {
		return Table{}, err
	}
	return NewTable(revision, t.Members, t.Gaps).withPrevious(t.Previous), nil
}
