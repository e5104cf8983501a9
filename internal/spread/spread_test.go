package spread

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"buckthornpick/internal/peer"
	"buckthornpick/internal/standin/memnet"
	"buckthornpick/internal/telemetry"
)

// testTopic is a topic whose value is its version and some padding. It counts
// the merged values.
type testTopic struct {
	padding int

	mu      sync.Mutex
	version int64
	merged  int
}

func (t *testTopic) Version() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

func (t *testTopic) Encode() ([]byte, int64, error) {
	v := t.Version()
	return append(binary.BigEndian.AppendUint64(nil, uint64(v)), bytes.Repeat([]byte{7}, t.padding)...), v, nil
}

func (t *testTopic) Merge(value []byte) (bool, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.merged++
	v := int64(binary.BigEndian.Uint64(value))
	isNewer := v > t.version
	t.version = max(t.version, v)
	return isNewer, nil
}

func (t *testTopic) setVersion(v int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.version = v
}

func (t *testTopic) mergeCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.merged
}

// pulledTopic is a testTopic that is a PullTopic without deltas.
type pulledTopic struct{ *testTopic }

func (t pulledTopic) EncodeSince(int64) ([]byte, error) {
	value, _, err := t.Encode()
	return value, err
}

// runNodes runs n gossipers with one topic each in a synctest bubble and calls f
// after 5 s.
func runNodes(t *testing.T, n int, topic func() (Topic, *testTopic), f func([]*Gossiper, []*testTopic)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		defer wg.Wait()
		defer cancel()
		network := memnet.New(1)
		var nodes []peer.Node
		for i := range n {
			id := fmt.Sprintf("n%d", i)
			nodes = append(nodes, peer.Node{ID: id, Zone: "a", Address: id + ":1"})
		}
		var gossipers []*Gossiper
		var topics []*testTopic
		for i, self := range nodes {
			transport := peer.New(self, network.Host(self.ID, "a"), telemetry.Discard(), metrics.NewRegistry(),
				peer.Options{Secret: []byte("secret")})
			others := append(append([]peer.Node(nil), nodes[:i]...), nodes[i+1:]...)
			g := New(Config{Peers: func() []peer.Node { return append([]peer.Node(nil), others...) }},
				transport, telemetry.Discard(), metrics.NewRegistry())
			added, counted := topic()
			g.Add("topic", added)
			gossipers, topics = append(gossipers, g), append(topics, counted)
			wg.Go(func() { _ = transport.Run(ctx) })
			wg.Go(func() { _ = g.Run(ctx) })
		}
		time.Sleep(5 * time.Second)
		f(gossipers, topics)
	})
}

// TestLargeValueIsPulledOnce checks that a node does not pull a large value again
// for each peer that announces it.
func TestLargeValueIsPulledOnce(t *testing.T) {
	topic := func() (Topic, *testTopic) {
		c := &testTopic{padding: 10 * maxPushBytes}
		return pulledTopic{c}, c
	}
	runNodes(t, 12, topic, func(gossipers []*Gossiper, topics []*testTopic) {
		topics[0].setVersion(1)
		gossipers[0].NotifyChanged()
		time.Sleep(5 * time.Second)
		for i, c := range topics {
			require.EqualValues(t, 1, c.Version(), "node %d", i)
			require.LessOrEqual(t, c.mergeCount(), 2, "a comparison may run concurrently with the pull")
		}
	})
}

// TestLargeValueOfPlainTopicIsPushed covers topics in which nodes of the same
// version may have different values, such as unions of sets: announcing the
// version alone would not transfer the value.
func TestLargeValueOfPlainTopicIsPushed(t *testing.T) {
	topic := func() (Topic, *testTopic) {
		c := &testTopic{padding: 10 * maxPushBytes}
		return c, c
	}
	runNodes(t, 2, topic, func(gossipers []*Gossiper, topics []*testTopic) {
		topics[0].setVersion(1)
		topics[1].setVersion(1)
		gossipers[0].NotifyChanged()
		time.Sleep(time.Second / 2)
		require.NotZero(t, topics[1].mergeCount())
	})
}
