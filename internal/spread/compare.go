package spread

import (
	"context"

	"buckthornpick/internal/peer"
)

// compareWithOne exchanges versions with a random peer and takes what is newer.
func (s *Spreader) compareWithOne(ctx context.Context) {
	for _, p := range s.randomPeers(1) {
		s.CompareWith(ctx, p)
	}
}

// CompareWith exchanges versions with one peer and takes what is newer.
func (s *Spreader) CompareWith(ctx context.Context, p peer.Node) {
	answer, err := s.ask(ctx, p, digest{Versions: s.versions()})
	if err == nil {
		s.announceNewer(p, answer.Versions)
	}
}

// ask sends a digest to a peer and takes the values of the answer.
func (s *Spreader) ask(ctx context.Context, p peer.Node, d digest) (update, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := peer.Call[update](ctx, s.transport, p, peer.GossipCompare, d)
	if err != nil {
		s.log.Log(EvCompareFailed, "peer", p.ID, "error", err)
		return update{}, err
	}
	s.pulled.Inc(1)
	for name, value := range answer.Values {
		s.observe(p, name, value)
	}
	return answer, nil
}

// pullAnnounced pulls what peers have announced, one value at a time: of
// several announcements of a version only the first leads to a pull.
func (s *Spreader) pullAnnounced(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case r := <-s.announced:
			t, ok := s.topics[r.push.Topic]
			if !ok || t.Version() >= r.push.Version {
				continue
			}
			d := digest{Versions: map[string]int64{r.push.Topic: t.Version()}, Only: r.push.Topic}
			_, _ = s.ask(ctx, r.from, d) // the regular comparison makes up for a failure
		}
	}
}

// announceNewer tells a peer the topics of which it has an older version.
func (s *Spreader) announceNewer(p peer.Node, theirs map[string]int64) {
	for _, name := range s.names {
		t := s.topics[name]
		if t.Version() <= theirs[name] {
			continue
		}
		value, version, err := t.Encode()
		if err == nil {
			s.send(p, s.newPush(name, value, version))
		}
	}
}

func (s *Spreader) answerDigest(ctx context.Context, _ peer.Node, st *peer.Stream) error {
	var d digest
	if err := st.DecodeOpening(&d); err != nil {
		return err
	}
	answer := update{Values: map[string][]byte{}, Versions: s.versions()}
	for _, name := range s.names {
		if d.Only != "" && d.Only != name || s.topics[name].Version() <= d.Versions[name] {
			continue
		}
		value, err := s.encodeFor(s.topics[name], d.Versions[name])
		if err != nil {
			s.log.Log(EvEncodeFailed, "topic", name, "error", err)
			continue
		}
		answer.Values[name] = value
		s.bytes.Inc(int64(len(value)))
	}
	return st.Send(ctx, answer)
}

func (s *Spreader) encodeFor(t Topic, version int64) ([]byte, error) {
	if d, ok := t.(PullTopic); ok {
		return d.EncodeSince(version)
	}
	value, _, err := t.Encode()
	return value, err
}
