package confstore

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"buckthornpick/internal/config"
	"buckthornpick/internal/fault"
	"buckthornpick/internal/telemetry"
)

func documentWithRules(n int) *config.Document {
	doc := &config.Document{Revision: 1, OperationID: "first",
		Services: []config.Service{{Name: "audit", Kind: config.PlainService}}}
	for i := range n {
		doc.Rules = append(doc.Rules, ruleFor(i))
	}
	return doc
}

// ruleFor returns a rule that matches only prompts of tokens+1 tokens, so that no
// other rule makes it unreachable.
func ruleFor(tokens int) config.Rule {
	return config.Rule{Name: fmt.Sprintf("rule-%d", tokens), Then: config.Then{Service: "audit"},
		When: config.When{MinPromptTokens: tokens + 1, MaxPromptTokens: tokens + 1}}
}

// randomEdit returns the next revision of the document: one rule inserted, changed
// or removed, or one organisation added.
func randomEdit(rng *rand.Rand, doc *config.Document) *config.Document {
	n := *doc
	n.Revision++
	n.OperationID = fmt.Sprint("op-", n.Revision)
	i := rng.IntN(len(doc.Rules))
	rule := ruleFor(1000 + int(n.Revision))
	edit := rng.IntN(4)
	if len(doc.Rules) < 5 {
		edit = 0
	}
	switch edit {
	case 0:
		n.Rules = slices.Insert(slices.Clone(doc.Rules), i, rule)
	case 1:
		n.Rules = slices.Clone(doc.Rules)
		n.Rules[i] = rule
	case 2:
		n.Organisations = append(slices.Clone(doc.Organisations), config.Organisation{Name: rule.Name,
			KeyHashes: []string{fmt.Sprintf("%064x", n.Revision)}})
	case 3:
		n.Rules = slices.Delete(slices.Clone(doc.Rules), i, i+1)
	}
	return &n
}

// sendDelta sends an encoded delta from a to b and returns its size in bytes.
func sendDelta(t *testing.T, a, b *Store) int {
	t.Helper()
	d, ok, err := a.DeltaSince(b.DeltaBaseRevision())
	require.NoError(t, err)
	require.True(t, ok)
	value, err := msgpack.Marshal(d)
	require.NoError(t, err)
	var received Delta
	require.NoError(t, msgpack.Unmarshal(value, &received))
	_, err = b.ApplyDelta(&received)
	require.True(t, err == nil || fault.Is(err, fault.Protocol), "%v", err)
	return len(value)
}

func newPeerStore() *Store { return New(Config{}, nil, telemetry.Discard(), nil) }

func TestDeltasGiveTheSameDocument(t *testing.T) {
	for seed := range uint64(3) {
		rng := rand.New(rand.NewPCG(seed, 0))
		a, b := newPeerStore(), newPeerStore()
		doc := documentWithRules(30)
		require.True(t, a.ApplyFromPeer(doc))
		for range 30 {
			for range 1 + rng.IntN(maxRecentSnapshots+4) { // sometimes more than a keeps
				doc = randomEdit(rng, doc)
				require.True(t, a.ApplyFromPeer(doc))
			}
			sendDelta(t, a, b)
			if b.DeltaBaseRevision() == 0 {
				sendDelta(t, a, b)
			}
			got, ok := b.Current()
			require.True(t, ok)
			require.Equal(t, doc.Revision, got.Revision)
			require.Equal(t, doc.Rules, got.Document.Rules)
			require.Equal(t, len(doc.Organisations), len(got.Document.Organisations))
			require.Equal(t, doc.OperationID, got.Document.OperationID)
		}
	}
}

func TestDeltaOfOneRuleIsShort(t *testing.T) {
	a, b := newPeerStore(), newPeerStore()
	doc := documentWithRules(1000)
	a.ApplyFromPeer(doc)
	fullSize := sendDelta(t, a, b)
	changed := *doc
	changed.Revision, changed.Rules = 2, slices.Clone(doc.Rules)
	changed.Rules[500].Then.Priority = "low"
	a.ApplyFromPeer(&changed)
	require.Less(t, sendDelta(t, a, b), fullSize/100)
	got, _ := b.Current()
	require.Equal(t, &changed, got.Document)
}

func TestMismatchedDeltaLeadsToAFullDocument(t *testing.T) {
	a, b := newPeerStore(), newPeerStore()
	a.ApplyFromPeer(documentWithRules(5))
	other := documentWithRules(5) // same revision, different content
	other.Rules[0].Name = "other"
	b.ApplyFromPeer(other)
	changed := documentWithRules(5)
	changed.Revision, changed.Rules[4].Name = 2, "changed"
	a.ApplyFromPeer(changed)
	sendDelta(t, a, b)
	require.Zero(t, b.DeltaBaseRevision())
	got, _ := b.Current()
	require.EqualValues(t, 1, got.Revision, "the previous document stays in force")
	sendDelta(t, a, b)
	got, _ = b.Current()
	require.Equal(t, changed.Rules, got.Document.Rules)
	require.EqualValues(t, 2, b.DeltaBaseRevision())
}
