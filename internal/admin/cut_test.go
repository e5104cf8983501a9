package admin

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/config"
	"buckthornpick/internal/fault"
	"buckthornpick/internal/standin/rawserver"
)

// Guards against an answer of the operators' API whose head breaks off and that is taken for a
// whole one: at each byte, closed and reset. A change may have been made then.
func TestAnswersWhoseHeadsBreakOffAreErrors(t *testing.T) {
	for _, framing := range rawserver.Framings {
		t.Run(string(framing), func(t *testing.T) {
			t.Parallel()
			wireHead, wireBody := framing.Frame("HTTP/1.1 200 OK\r\nContent-Type: application/json", `{"revision":7}`)
			at := make(chan rawserver.Cut, 1)
			address := rawserver.Serve(t, func(c *rawserver.Conn) {
				if _, err := c.ReadWholeRequest(); err == nil {
					c.SendCut(wireHead+wireBody, <-at)
				}
			})
			client, err := NewClient(config.ControlSettings{AdminURLs: []string{"http://" + address}, Token: "t", Timeout: config.Duration(5 * time.Second)})
			require.NoError(t, err)
			for _, cut := range rawserver.CutsOf(wireHead) {
				at <- cut
				_, err := client.Document(t.Context())
				require.Error(t, err, "%v", cut)
				at <- cut
				_, err = client.Apply(t.Context(), &config.Document{}, 6, "operation")
				require.True(t, fault.Is(err, fault.Ambiguous), "%v: %v", cut, err)
			}
			at <- rawserver.Cut{Length: len(wireHead + wireBody)}
			document, err := client.Document(t.Context())
			require.NoError(t, err)
			require.EqualValues(t, 7, document.Revision)
		})
	}
}
