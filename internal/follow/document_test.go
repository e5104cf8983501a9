package follow

import (
	"errors"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/config"
	"buckthornpick/internal/kv"
	"buckthornpick/internal/telemetry"
)

// A version that cannot be decoded may take keys away, so the one in force must not count
// as confirmed by it.
func TestDocumentThatCannotBeDecodedConfirmsNone(t *testing.T) {
	now := time.Hour
	decode := func(value []byte) (*config.Document, error) {
		revision, err := strconv.ParseInt(string(value), 10, 64)
		if err != nil {
			return nil, errors.New("unreadable")
		}
		return &config.Document{Revision: revision}, nil
	}
	d := NewDocuments("d", decode, telemetry.Discard(), nil)
	f := New(Options{Name: "document", Prefix: "d"}, nil, d, func() time.Duration { return now }, telemetry.Discard())
	d.SetFollower(f)
	requireInForce := func(revision int64, age time.Duration) {
		t.Helper()
		doc, got := d.Current()
		require.Equal(t, revision, doc.Revision)
		require.Equal(t, age, got)
	}
	write := func(value string) {
		d.Apply([]kv.Event{{Entry: kv.Entry{Key: "d", Value: []byte(value)}}})
		f.confirm(now, now)
	}
	write("1")
	requireInForce(1, 0)
	now += time.Second
	write("?")
	requireInForce(1, time.Second)
	now += 5 * time.Second
	write("??")
	requireInForce(1, 6*time.Second)
	write("2")
	requireInForce(2, 0)
}
