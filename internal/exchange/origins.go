package exchange

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"buckthornpick/internal/peer"
	"buckthornpick/internal/relay"
)

const (
	// originKeepers is the number of other entries that keep the origin of a stream,
	// so that it is known when the entry that began the stream and one keeper fail.
	// They are the first reachable ones of originCandidates entries in rendezvous
	// order. One more is asked, since the entry that began the stream may be among
	// those that another entry asks.
	originKeepers    = 2
	originCandidates = 4
	// originArchivers is the number of entries of a small site that write the origins of
	// all streams to the store, each by itself, so that one may fail.
	originArchivers = 2
	// maxOriginsPerMessage limits the records in one message.
	maxOriginsPerMessage = 500
	// originForwardTimeout bounds the questions of a hub to hubs of other zones. It is
	// shorter than the timeout of the entry that waits for the hub.
	originForwardTimeout = 80 * time.Millisecond
)

// originsMessage holds the origins of streams that its sender began.
type originsMessage struct {
	Records []relay.OriginRecord `msgpack:"r"`
	// IsForArchive is true if the receiver also writes the records to the store.
	IsForArchive bool `msgpack:"a,omitempty"`
}

// Archive writes origins of streams to the store.
type Archive interface {
	relay.OriginStore
	Add([]relay.OriginRecord)
}

// originQuestion asks for the origin of the stream that an attempt began.
type originQuestion struct {
	Rule      string `msgpack:"u"`
	AttemptID string `msgpack:"a"`
	// AskStore is true if the sender cannot read the store.
	AskStore bool `msgpack:"s,omitempty"`
}

// originCandidatesOf returns the first n entries that may keep the origin of a stream
// in a small site, in rendezvous order.
func originCandidatesOf(attemptID string, others []peer.Node, n int) []peer.Node {
	score := func(n peer.Node) uint64 { return xxhash.Sum64String(attemptID + "\x00" + n.ID) }
	sorted := slices.SortedFunc(slices.Values(others), func(a, b peer.Node) int {
		return cmp.Or(cmp.Compare(score(b), score(a)), byID(a, b))
	})
	return sorted[:min(n, len(sorted))]
}

func (x *Exchange) currentPosition() position {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.position
}

// ShareOrigins implements relay.Peers. In a small site a record goes to entries that
// are found by its attempt's ID, in a large one to the hubs of this zone, with which
// there are connections anyway. The archivers write them to the store.
func (x *Exchange) ShareOrigins(records []relay.OriginRecord) {
	if len(records) == 0 {
		return
	}
	p := x.currentPosition()
	if p.usesHubs {
		x.sendOrigins(p.uplinks, records, true)
		if p.isHub {
			x.Archive.Add(records)
		}
		return
	}
	others := x.Entries.Others()
	archivers, isArchiver := x.archivers(others)
	if isArchiver {
		x.Archive.Add(records)
	}
	x.sendOrigins(archivers, records, true)
	byKeeper := map[peer.Node][]relay.OriginRecord{}
	for _, record := range records {
		for _, node := range x.reachable(originCandidatesOf(record.AttemptID, others, originCandidates), originKeepers) {
			if !slices.Contains(archivers, node) {
				byKeeper[node] = append(byKeeper[node], record)
			}
		}
	}
	for node, list := range byKeeper {
		x.sendOrigins([]peer.Node{node}, list, false)
	}
}

// archivers returns the other entries of a small site that write the origins of all
// streams to the store, and whether this entry is one too: the first reachable ones.
func (x *Exchange) archivers(others []peer.Node) (archivers []peer.Node, isArchiver bool) {
	nodes := x.reachable(others, originArchivers)
	at, _ := slices.BinarySearchFunc(nodes, x.self, byID)
	isArchiver = at < originArchivers
	if isArchiver {
		nodes = nodes[:min(len(nodes), originArchivers-1)]
	}
	return nodes, isArchiver
}

// KeepsOrigins reports whether this entry is one of those that write the origins of
// streams to the store.
func (x *Exchange) KeepsOrigins() bool {
	p := x.currentPosition()
	if p.usesHubs {
		return p.isHub
	}
	_, isArchiver := x.archivers(x.Entries.Others())
	return isArchiver
}

// reachable returns the first n nodes that are not known to be unreachable.
func (x *Exchange) reachable(nodes []peer.Node, n int) []peer.Node {
	var list []peer.Node
	for _, node := range nodes {
		if len(list) < n && !x.Transport.IsUnreachable(node.ID) {
			list = append(list, node)
		}
	}
	return list
}

func (x *Exchange) sendOrigins(nodes []peer.Node, records []relay.OriginRecord, isForArchive bool) {
	for chunk := range slices.Chunk(records, maxOriginsPerMessage) {
		x.sendTo(nodes, peer.RelayOrigins, originsMessage{chunk, isForArchive})
	}
}

func (x *Exchange) receiveOrigins(_ peer.Node, decode func(any) error) {
	var message originsMessage
	if decode(&message) != nil {
		return // the transport has logged it
	}
	x.Origins.MergeRecords(message.Records)
	if message.IsForArchive {
		x.Archive.Add(message.Records)
	}
}

// FindOrigin implements relay.Peers.
func (x *Exchange) FindOrigin(ctx context.Context, rule, attemptID string, askStore bool) (relay.OriginAnswer, string) {
	p := x.currentPosition()
	nodes := slices.Concat(p.uplinks, p.remoteHubs)
	if !p.usesHubs {
		nodes = originCandidatesOf(attemptID, x.Entries.Others(), originCandidates+1)
	}
	return x.askOrigin(ctx, nodes, originQuestion{Rule: rule, AttemptID: attemptID, AskStore: askStore})
}

// askOrigin asks all nodes and returns the first record with the ID of the node, or
// else the merged answers.
func (x *Exchange) askOrigin(ctx context.Context, nodes []peer.Node, question originQuestion) (relay.OriginAnswer, string) {
	type reply struct {
		node   string
		answer relay.OriginAnswer
		err    error
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	nodes = x.reachable(nodes, len(nodes))
	replies := make(chan reply, len(nodes))
	for _, node := range nodes {
		go func() {
			answer, err := peer.Call[relay.OriginAnswer](ctx, x.Transport, node, peer.RelayOriginQuery, question)
			replies <- reply{node.ID, answer, err}
		}()
	}
	var all relay.OriginAnswer
	for range nodes {
		r := <-replies
		if r.err != nil {
			continue
		}
		if r.answer.IsKnown || r.answer.Only != nil {
			return r.answer, r.node
		}
		all = all.Merge(r.answer)
	}
	return all, ""
}

// serveOriginQuery answers from the records of this entry. A hub also asks the hubs of
// the other zones if an entry of its own zone asks.
func (x *Exchange) serveOriginQuery(ctx context.Context, from peer.Node, question originQuestion) (relay.OriginAnswer, error) {
	own := x.Origins.Find(question.Rule, question.AttemptID)
	if question.AskStore && !own.IsKnown {
		stored, err := x.Archive.Find(ctx, question.Rule, question.AttemptID)
		if err == nil && stored.IsKnown {
			return relay.OriginAnswer{IsKnown: true, Origin: stored.Origin}, nil
		}
		if err == nil && stored.IsOnly {
			own.Only = &stored.Origin
			return own, nil
		}
	}
	p := x.currentPosition()
	if own.IsKnown || !p.isHub || from.Zone != x.self.Zone {
		return own, nil
	}
	ctx, cancel := context.WithTimeout(ctx, originForwardTimeout)
	defer cancel()
	answer, _ := x.askOrigin(ctx, p.remoteHubs, question)
	if answer.IsKnown {
		return answer, nil
	}
	return own.Merge(answer), nil
}
