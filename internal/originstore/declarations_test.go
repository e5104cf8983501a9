package originstore

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/relay"
)

var v1, v2 = relay.StreamOrigin{Service: "s", Version: "1"}, relay.StreamOrigin{Service: "s", Version: "2"}

// usesOf returns the uses of the rule "r" with service "s".
func usesOf(origins ...relay.StreamOrigin) relay.OriginUses {
	uses := relay.OriginUses{Origins: map[relay.StreamOrigin]bool{}, Rules: map[relay.RuleService]bool{{Rule: "r", Service: "s"}: true}}
	for _, o := range origins {
		uses.Origins[o] = true
	}
	return uses
}

func TestDeclarationsOutlastTheirUse(t *testing.T) {
	d := newDeclarations()
	d.declare(usesOf(v1, v2))
	require.True(t, d.covers(usesOf(v1)))
	now := time.Hour
	require.True(t, d.retire(usesOf(v2), now))
	require.False(t, d.covers(usesOf(v1)), "must be declared again before it is used")
	require.False(t, d.retire(usesOf(v2), now+retention))
	require.Equal(t, []relay.StreamOrigin{v1, v2}, d.candidates("r"))
	other := newDeclarations()
	other.declare(usesOf(v1))
	merged := d.clone()
	merged.merge(other)
	require.True(t, merged.covers(usesOf(v1)), "another entry still uses it")
	require.True(t, d.retire(usesOf(v2), now+retention+time.Millisecond))
	require.Equal(t, []relay.StreamOrigin{v2}, d.candidates("r"))
	require.Empty(t, d.candidates("other"))
}

func TestDeclarationsAreIncompleteInALaterGeneration(t *testing.T) {
	d := newDeclarations()
	d.Generation, d.CompleteAt = 3, (10 * time.Second).Milliseconds()
	require.Equal(t, 4*time.Second, d.completeIn(3, 6*time.Second))
	require.Zero(t, d.completeIn(3, 11*time.Second))
	require.Positive(t, d.completeIn(4, 11*time.Second))
}

// The recorded bytes are those of the first version with declarations. Later versions
// run beside it and must read them.
func TestRecordedDeclarationsAndRecordsCanBeRead(t *testing.T) {
	const declarations = "\x85\xa1f\x01\xa1g\xd3\x00\x00\x00\x00\x00\x00\x00\x02\xa1c\xd3\x00\x00\x00\x00\x00\x00\x00\x05" +
		"\xa1o\x92\x82\xa1s\xa1s\xa1v\xa11\x83\xa1s\xa1s\xa1v\xa12\xa1g\xd3\x00\x00\x00\x00\x00\x00\x00\x07\xa1r\x91\x82\xa1u\xa1r\xa1s\xa1s"
	d, err := decodeDeclarations([]byte(declarations))
	require.NoError(t, err)
	want := newDeclarations()
	want.Generation, want.CompleteAt = 2, 5
	require.False(t, d.IsUpgrade)
	want.declare(usesOf(v1))
	want.Origins[v2] = 7
	require.Equal(t, want, d)
	encoded, err := want.encode()
	require.NoError(t, err)
	require.Equal(t, declarations, string(encoded))

	const records = "\x84\xa1f\x01\xa1o\x91\x82\xa1s\xa1s\xa1v\xa12\xa1k\xc4\x08\x20[\n\x1e\xb1\x08\n\x83\xa1i\xc4\x01\x00"
	rows := map[uint64]relay.StreamOrigin{}
	require.NoError(t, decodeSegment([]byte(records), rows))
	require.Equal(t, map[uint64]relay.StreamOrigin{keyOf("attempt"): v2}, rows)
	for _, value := range []string{"", "\x81\xa1f\x02", "no records", records[:20]} {
		require.Error(t, decodeSegment([]byte(value), rows))
		_, err = decodeDeclarations([]byte(value))
		require.Error(t, err)
	}
}
