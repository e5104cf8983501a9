package entry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/standin/memnet"
)

// Two of six entries cannot reach any backend server. Requests that they own must be served
// all the same once they know, since the other entries reach the servers.
func TestRequestsOwnedByEntriesWithoutServersAreServed(t *testing.T) {
	for name, kind := range map[string]memnet.CutKind{"hangs": memnet.CutHangs, "resets": memnet.CutResets, "refuses new": memnet.CutRefusesNew} {
		t.Run(name, func(t *testing.T) {
			withSite(t, nil, func(s *testSite) {
				for _, e := range s.Entries()[:2] {
					for _, server := range s.Servers() {
						s.network.CutHost(e.ID, server.ID, kind)
					}
				}
				failed := 0
				for i := range 120 {
					r, err := s.send(s.Entries()[i%6], "POST", chatPath, nil, chatBody(fmt.Sprint("shop ", i), 10, false))
					isCounted := i >= 60 // by then the entries know
					if isCounted && (err != nil || r.outcome() != "completed") {
						failed++
					}
					time.Sleep(50 * time.Millisecond)
				}
				require.LessOrEqual(t, failed, 2)
			})
		})
	}
}
