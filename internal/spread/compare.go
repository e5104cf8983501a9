package spread

import (
	"context"

	"buckthornpick/internal/peer"
)

// compareWithRandomPeer calls CompareWith for a random peer.
func (g *Gossiper) compareWithRandomPeer(ctx context.Context) {
	for _, p := range g.randomPeers(1) {
		g.CompareWith(ctx, p)
	}
}

// CompareWith exchanges versions with one peer. It merges the peer's newer values
// and pushes to the peer the values of which the peer has an older version.
func (g *Gossiper) CompareWith(ctx context.Context, p peer.Node) {
	answer, err := g.requestUpdate(ctx, p, digest{Versions: g.versions()})
	if err == nil {
		g.pushNewerTo(p, answer.Versions)
	}
}

// requestUpdate sends a digest to a peer and merges the values in its answer.
func (g *Gossiper) requestUpdate(ctx context.Context, p peer.Node, d digest) (update, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := peer.Call[update](ctx, g.transport, p, peer.GossipCompare, d)
	if err != nil {
		g.log.Log(EvCompareFailed, "peer", p.ID, "error", err)
		return update{}, err
	}
	g.comparisons.Inc(1)
	for name, value := range answer.Values {
		g.merge(p, name, value)
	}
	return answer, nil
}

// pullAnnounced pulls announced values one at a time until ctx ends. If several
// peers announce the same version, only the first announcement causes a pull:
// when the others are processed, the topic already has that version.
func (g *Gossiper) pullAnnounced(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case r := <-g.announcements:
			t, ok := g.topics[r.push.Topic]
			if !ok || t.Version() >= r.push.Version {
				continue
			}
			d := digest{Versions: map[string]int64{r.push.Topic: t.Version()}, Only: r.push.Topic}
			_, _ = g.requestUpdate(ctx, r.from, d) // after a failure the periodic comparison brings the value
		}
	}
}

// pushNewerTo pushes or announces to a peer the topics of which the peer has an
// older version than this node.
func (g *Gossiper) pushNewerTo(p peer.Node, peerVersions map[string]int64) {
	for _, name := range g.names {
		t := g.topics[name]
		if t.Version() <= peerVersions[name] {
			continue
		}
		value, version, err := t.Encode()
		if err == nil {
			g.send(p, g.newPush(name, value, version))
		}
	}
}

// handleDigest answers a digest with the values that are newer here than at the
// peer. A value that cannot be encoded is left out.
func (g *Gossiper) handleDigest(ctx context.Context, _ peer.Node, st *peer.Stream) error {
	var d digest
	if err := st.DecodeOpening(&d); err != nil {
		return err
	}
	answer := update{Values: map[string][]byte{}, Versions: g.versions()}
	for _, name := range g.names {
		if d.Only != "" && d.Only != name || g.topics[name].Version() <= d.Versions[name] {
			continue
		}
		value, err := g.encodeSince(g.topics[name], d.Versions[name])
		if err != nil {
			g.log.Log(EvEncodeFailed, "topic", name, "error", err)
			continue
		}
		answer.Values[name] = value
		g.sentBytes.Inc(int64(len(value)))
	}
	return st.Send(ctx, answer)
}

// encodeSince returns what a node with the given version needs: a delta if the
// topic offers one, otherwise the whole value.
func (g *Gossiper) encodeSince(t Topic, version int64) ([]byte, error) {
	if d, ok := t.(PullTopic); ok {
		return d.EncodeSince(version)
	}
	value, _, err := t.Encode()
	return value, err
}
