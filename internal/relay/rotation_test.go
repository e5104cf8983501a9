package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/quota"
)

func TestEntryLeavesRotationBeforeItRefusesKeys(t *testing.T) {
	const maxAge = 3800 * time.Millisecond
	cut, whole := quota.Site{Entries: 9, Reachable: 3}, quota.Site{Entries: 9, Reachable: 9}
	for _, tc := range []struct {
		name string
		age  time.Duration
		site quota.Site
		want bool
	}{
		{"a poll takes long", 1700 * time.Millisecond, cut, true},
		{"its zone is cut off", maxAge - deregistrationTime + 1, cut, false},
		{"it is alone", 2 * time.Second, quota.Site{Entries: 9, Reachable: 1}, false},
		{"all entries lose the store alike", maxAge, whole, true},
		{"no key is accepted any more", maxAge + 1, whole, false},
		{"the only entry", maxAge, quota.Site{Entries: 1, Reachable: 1}, true},
	} {
		require.Equal(t, tc.want, staysInRotation(tc.age, maxAge, tc.site), tc.name)
	}
}
