package spread

import (
	"context"

	"buckthornpick/internal/peer"
)

// compareWithOne exchanges versions with a random peer and takes what is newer.
func (g *Gossiper) compareWithRandomPeer(ctx context.Context) {
	for _, p := range g.randomPeers(1) {
		g.CompareWith(ctx, p)
	}
}

// CompareWith exchanges versions with one peer and takes what is newer.
func (g *Gossiper) CompareWith(ctx context.Context, p peer.Node) {
	answer, err := g.requestUpdate(ctx, p, digest{Versions: g.versions()})
	if err == nil {
		g.pushNewerTo(p, answer.Versions)
	}
}

// ask sends a digest to a peer and takes the values of the answer.
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

// pullAnnounced pulls what peers have announced, one value at a time: of
// several announcements of a version only the first leads to a pull.
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
			_, _ = g.requestUpdate(ctx, r.from, d) // the regular comparison makes up for a failure
		}
	}
}

// announceNewer tells a peer the topics of which it has an older version.
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

func (g *Gossiper) handleDigest(ctx context.Context, _ peer.Node, st *peer.Stream) error {
	var d digest
	if err := st.First(&d); err != nil {
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

func (g *Gossiper) encodeSince(t Topic, version int64) ([]byte, error) {
	if d, ok := t.(PullTopic); ok {
		return d.EncodeSince(version)
	}
	value, _, err := t.Encode()
	return value, err
}
