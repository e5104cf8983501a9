package originstore

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestKeysOfSegmentsSortByAge(t *testing.T) {
	a := &Archive{ArchiveConfig: ArchiveConfig{RunName: "a"}}
	for _, n := range []int{9, 99, 4095} {
		require.Less(t, a.storeKey(&segment{number: n}), a.storeKey(&segment{number: n + 1}))
	}
}
