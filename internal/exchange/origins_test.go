package exchange

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/peer"
)

func TestOriginKeepersAreAskedAfterEntriesHaveChanged(t *testing.T) {
	for _, n := range []int{6, 16} {
		var all []peer.Node
		for i := range n {
			all = append(all, peer.Node{ID: fmt.Sprint("n", i)})
		}
		self, asker := all[0], all[1]
		for i := range 2000 {
			id := fmt.Sprint("attempt-", i)
			keepers := originCandidatesOf(id, all[1:], originCandidates)
			asked := originCandidatesOf(id, append(slices.Clone(all[2:]), self), originCandidates+1)
			for _, k := range keepers {
				require.True(t, k == asker || slices.Contains(asked, k))
			}
			others := slices.Concat(all[2:], []peer.Node{self, {ID: "new-1"}, {ID: "new-2"}})
			others = slices.DeleteFunc(others, func(n peer.Node) bool { return n == keepers[1] })
			asked = originCandidatesOf(id, others, originCandidates+1)
			require.True(t, keepers[0] == asker || slices.Contains(asked, keepers[0]), "after one keeper has left and two entries have joined")
		}
	}
}
