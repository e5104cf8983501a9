package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/dispatch"
	"buckthornpick/internal/request"
)

func TestTransfersAreSentInBoundedMessages(t *testing.T) {
	sized := func(bytes ...int) []dispatch.Transfer {
		var out []dispatch.Transfer
		for _, n := range bytes {
			out = append(out, dispatch.Transfer{Request: &request.Request{Body: make([]byte, n)}})
		}
		return out
	}
	many := make([]int, 100)
	for name, c := range map[string]struct {
		sizes []int
		want  int
	}{
		"few small ones":        {[]int{1, 2, 3}, 3},
		"too many":              {many, maxTransferBatch},
		"too large together":    {[]int{maxTransferBytes / 2, maxTransferBytes / 2, 1}, 2},
		"one that is too large": {[]int{2 * maxTransferBytes, 1}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			require.Len(t, nextBatch(sized(c.sizes...)), c.want)
		})
	}
}
