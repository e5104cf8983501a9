package member

import (
	"encoding/json"
	"slices"
	"strings"
	"time"
)

// Member describes one node listed in the table.
type Member struct {
	ID   string `json:"id" msgpack:"i"`
	Zone string `json:"zone" msgpack:"z"`
	// Address is the "host:port" at which the node accepts connections of
	// other nodes.
	Address string `json:"address" msgpack:"a"`
	// HTTPAddress is the "host:port" of the node's listener for callers.
	HTTPAddress string `json:"httpAddress" msgpack:"h"`
	// AdminURL is the base URL of the node's admin listener, if known.
	AdminURL string `json:"adminUrl,omitempty" msgpack:"u,omitempty"`
	// Incarnation is the create revision of the node's lease key; it increases
	// every time the node joins with a new lease.
	Incarnation int64 `json:"incarnation" msgpack:"n"`
}

// Gap records a member whose partitions changed owner without a handover.
type Gap struct {
	Member Member `json:"member" msgpack:"m"`
	// Since is the wall-clock time of the removal on the node that performed it.
	Since time.Time `json:"since" msgpack:"s"`
	// PreviousRevision is the revision of the table before the removal.
	PreviousRevision int64 `json:"previousRevision" msgpack:"p"`
	// IsLeaving is true from the member's departure until it has handed over
	// its requests. While the member is alive it can be queried for them.
	IsLeaving bool `json:"leaving,omitempty" msgpack:"l,omitempty"`
	// Partitions is the set that the member owned in the table before the
	// removal.
	Partitions PartitionSet `json:"partitions" msgpack:"o"`
}

// Table is the list of members at one revision. It is immutable once published.
type Table struct {
	// Revision is the store revision at which the table was written; 0 means
	// no table.
	Revision int64 `json:"-" msgpack:"r"`
	// Previous is the revision of the table that this one replaced; 0 for the
	// first.
	Previous int64 `json:"previous,omitempty" msgpack:"p,omitempty"`
	// Members are sorted by ID.
	Members []Member `json:"members" msgpack:"m"`
	// Gaps are the recent removals without a completed handover, oldest first.
	Gaps []Gap `json:"gaps,omitempty" msgpack:"g,omitempty"`

	owners *owners
}

// NewTable returns a table with its members sorted by ID and with a cache of
// the partition owners.
func NewTable(revision int64, members []Member, gaps []Gap) Table {
	members = slices.Clone(members)
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return Table{Revision: revision, Members: members, Gaps: gaps, owners: &owners{}}
}

// withPrevious returns a copy of the table with Previous set.
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

// Owner returns the member that owns the partition (0 to 1023). It returns
// false if the table is empty or the partition is out of range. Tables made by
// NewTable compute their owners once.
func (t Table) Owner(partition int) (Member, bool) {
	if len(t.Members) == 0 || partition < 0 || partition >= partitions {
		return Member{}, false
	}
	if t.owners == nil {
		return t.Members[ownerIndex(idHashes(t.Members), partition)], true
	}
	return t.Members[t.owners.index(t.Members, partition)], true
}

// withMember returns the table with m added, or with m replacing the member of
// the same ID.
func (t Table) withMember(m Member) Table {
	members := slices.Clone(t.Members)
	if i, found := t.search(m.ID); found {
		members[i] = m
	} else {
		members = append(members, m)
	}
	return NewTable(0, members, t.Gaps)
}

// withoutMember returns the table without the member of the ID.
func (t Table) withoutMember(id string) Table {
	members := slices.DeleteFunc(slices.Clone(t.Members), func(m Member) bool { return m.ID == id })
	return NewTable(0, members, t.Gaps)
}

// ownedPartitions returns the partitions that the member owns.
func (t Table) ownedPartitions(id string) PartitionSet {
	set := newPartitionSet()
	for p := range partitions {
		if m, _ := t.Owner(p); m.ID == id {
			set.add(p)
		}
	}
	return set
}

// gapOf returns the gap of this incarnation of a member.
func (t Table) gapOf(m Member) (Gap, bool) {
	i := slices.IndexFunc(t.Gaps, func(g Gap) bool {
		return g.Member.ID == m.ID && g.Member.Incarnation == m.Incarnation
	})
	if i < 0 {
		return Gap{}, false
	}
	return t.Gaps[i], true
}

// maxGaps bounds the gaps of a table. When it is exceeded, the partitions of
// the oldest gap are merged into the next one.
const maxGaps = 64

// withGap returns the table with gap added and gaps older than window removed.
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
