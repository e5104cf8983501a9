package entry

import (
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"buckthornpick/internal/confstore"
	"buckthornpick/internal/inventory"
	"buckthornpick/internal/member"
	"buckthornpick/internal/peer"
	"buckthornpick/internal/quarantine"
	"buckthornpick/internal/spread"
	"buckthornpick/internal/wait"
)

// Names of the topics that nodes distribute among each other.
const (
	topicDocument    = "document"
	topicTable       = "table"
	topicInventory   = "inventory"
	topicNotices     = "notices"
	topicMarks       = "marks"
	topicParts       = "parts"
	topicDrainingVMs = "drains"
)

func (n *Node) newSpreader() *spread.Gossiper {
	cfg := n.cfg.Spread
	cfg.Peers = n.otherNodes
	s := spread.New(cfg, n.transport, n.cfg.Log, n.cfg.Registry)
	s.Add(topicDocument, documentTopic{n.documents})
	s.Add(topicTable, tableTopic{n.members})
	s.Add(topicNotices, noticesTopic{n.inventory})
	s.Add(topicInventory, inventoryTopic{n.inventory})
	s.Add(topicMarks, quarantine.Topic{Quarantine: n.quarantine})
	s.Add(topicParts, quarantine.PartsTopic{Quarantine: n.quarantine})
	s.Add(topicDrainingVMs, drainingVMsTopic{n})
	return s
}

// otherNodes returns the other members or, if none is known, the seeds.
func (n *Node) otherNodes() []peer.Node {
	table := n.members.Table()
	var out []peer.Node
	for _, m := range table.Members {
		if m.ID != n.cfg.Self.ID {
			out = append(out, nodeOf(m))
		}
	}
	if len(out) > 0 {
		return out
	}
	return append(out, n.cfg.Seeds...)
}

const seedInterval = 500 * time.Millisecond

// pullFromSeeds pulls all topics from the seeds until the node has a document, so that
// it can start during a store outage.
func (n *Node) pullFromSeeds(ctx context.Context) error {
	for ctx.Err() == nil {
		if _, ok := n.documents.Current(); ok {
			return nil
		}
		for _, seed := range n.cfg.Seeds {
			n.spreader.CompareWith(ctx, seed)
		}
		wait.For(ctx, seedInterval)
	}
	return nil
}

// documentTopic distributes the operators' document, as the changes since the
// revision that a peer has. It implements spread.PullTopic.
type documentTopic struct{ store *confstore.Store }

// Version implements spread.Topic.
func (t documentTopic) Version() int64 { return t.store.DeltaBaseRevision() }

// Encode implements spread.Topic.
func (t documentTopic) Encode() ([]byte, int64, error) {
	version := t.Version()
	value, err := t.EncodeSince(0)
	return value, version, err
}

// EncodeSince implements spread.PullTopic.
func (t documentTopic) EncodeSince(version int64) ([]byte, error) {
	delta, ok, err := t.store.DeltaSince(version)
	if err != nil || !ok {
		return nil, err
	}
	return msgpack.Marshal(delta)
}

// Merge implements spread.Topic.
func (t documentTopic) Merge(value []byte) (bool, error) {
	var d confstore.Delta
	if err := msgpack.Unmarshal(value, &d); err != nil {
		return false, err
	}
	return t.store.ApplyDelta(&d)
}

// tableTopic distributes the table of members. It implements spread.PullTopic.
type tableTopic struct{ members *member.Membership }

// Version implements spread.Topic.
func (t tableTopic) Version() int64 { return t.members.Table().Revision }

// Encode implements spread.Topic.
func (t tableTopic) Encode() ([]byte, int64, error) {
	table := t.members.Table()
	value, err := msgpack.Marshal(table)
	return value, table.Revision, err
}

// EncodeSince implements spread.PullTopic.
func (t tableTopic) EncodeSince(int64) ([]byte, error) {
	value, _, err := t.Encode()
	return value, err
}

// Merge implements spread.Topic.
func (t tableTopic) Merge(value []byte) (bool, error) {
	var table member.Table
	if err := msgpack.Unmarshal(value, &table); err != nil {
		return false, err
	}
	return t.members.Observe(table), nil
}

// inventoryTopic distributes the list of VMs, as the changes since the version that a
// peer has. It implements spread.PullTopic.
type inventoryTopic struct{ inventory *inventory.Inventory }

// Version implements spread.Topic.
func (t inventoryTopic) Version() int64 { return t.inventory.ListVersion() }

// Encode implements spread.Topic.
func (t inventoryTopic) Encode() ([]byte, int64, error) {
	version := t.Version()
	value, err := t.EncodeSince(0)
	return value, version, err
}

// EncodeSince implements spread.PullTopic.
func (t inventoryTopic) EncodeSince(version int64) ([]byte, error) {
	return msgpack.Marshal(t.inventory.ChangesSince(version))
}

// Merge implements spread.Topic.
func (t inventoryTopic) Merge(value []byte) (bool, error) {
	var c inventory.Changes
	if err := msgpack.Unmarshal(value, &c); err != nil {
		return false, err
	}
	return t.inventory.ApplyChanges(&c), nil
}

// noticesTopic distributes the reclaim notices separately from the list of VMs, since
// a node may have a newer list but older notices than its peer. It implements
// spread.PullTopic.
type noticesTopic struct{ inventory *inventory.Inventory }

// Version implements spread.Topic.
func (t noticesTopic) Version() int64 { return t.inventory.View().LastNotice }

// Encode implements spread.Topic.
func (t noticesTopic) Encode() ([]byte, int64, error) {
	view := t.inventory.View()
	value, err := msgpack.Marshal(inventory.View{Deadlines: view.Deadlines, LastNotice: view.LastNotice})
	return value, view.LastNotice, err
}

// EncodeSince implements spread.PullTopic.
func (t noticesTopic) EncodeSince(int64) ([]byte, error) {
	value, _, err := t.Encode()
	return value, err
}

// Merge implements spread.Topic.
func (t noticesTopic) Merge(value []byte) (bool, error) {
	var view inventory.View
	if err := msgpack.Unmarshal(value, &view); err != nil {
		return false, err
	}
	return t.inventory.MergeView(&view), nil
}
