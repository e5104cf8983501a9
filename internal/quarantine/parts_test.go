package quarantine

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"buckthornpick/internal/blame"
	"buckthornpick/internal/peer"
	"buckthornpick/internal/standin/memnet"
	"buckthornpick/internal/telemetry"
)

func newTestQuarantine(id string) *Quarantine {
	network, registry := memnet.New(1).Host(id, "z"), metrics.NewRegistry()
	t := peer.New(peer.Node{ID: id, Zone: "z", Address: id + ":1"}, network, telemetry.Discard(), registry, peer.Options{Secret: []byte("secret")})
	return New(Config{Peers: func() []peer.Node { return nil }}, t, telemetry.Discard(), registry)
}

// exchange passes the evidence of two nodes to and fro until neither has anything to
// spread, and returns how often it was passed.
func exchange(t *testing.T, a, b PartsTopic) int {
	const limit = 20
	for n := range limit {
		value, _, err := a.Encode()
		require.NoError(t, err)
		isChanged, err := b.Merge(value)
		require.NoError(t, err)
		if !isChanged {
			return n
		}
		a, b = b, a
		time.Sleep(time.Millisecond)
	}
	return limit
}

// A node that refuses evidence that is about to expire must not ask for it again and
// again.
func TestNodesThatCannotAgreeOnEvidenceStopSpreadingIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		old := PartsTopic{newTestQuarantine("old")}
		content := blame.NewContent(0, []string{"message"})
		old.Quarantine.recordPartsCrash(crashMsg{Crash: 1, Parts: content.Parts})
		time.Sleep(115 * time.Second)
		fresh := PartsTopic{newTestQuarantine("fresh")}
		require.LessOrEqual(t, exchange(t, old, fresh), 3)
	})
}

func TestNodesWithDifferentEvidenceAgree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := PartsTopic{newTestQuarantine("a")}, PartsTopic{newTestQuarantine("b")}
		for i, name := range []string{"x", "y", "z"} {
			content := blame.NewContent(0, []string{name})
			a.Quarantine.recordPartsCrash(crashMsg{Crash: blame.Crash(i), Parts: content.Parts})
			time.Sleep(time.Second)
			b.Quarantine.recordPartsCrash(crashMsg{Crash: blame.Crash(i + 10), Parts: content.Parts})
		}
		content := blame.NewContent(0, []string{"x"})
		a.Quarantine.parts.RecordAnswered(&content)
		require.LessOrEqual(t, exchange(t, a, b), 4)
		require.Equal(t, a.Quarantine.parts.Digest(), b.Quarantine.parts.Digest())
	})
}
