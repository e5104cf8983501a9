package relayd

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/clock"
	"buckthornpick/internal/rollout"
)

// Guards against orders of servers during a roll-out that a new holder of the duties has not
// read yet, because the store went away: it took the servers of both versions for ordered.
func TestRolloutMayBeUnderWayUntilTheOrdersAreRead(t *testing.T) {
	r := &rollouts{clock: clock.Virtual, gate: rollout.NewGate(rollout.Bounds{Share: 0.1, Rollback: time.Second}, 0)}
	require.True(t, r.isRollingOut("app"))
	r.gate.Learn(clock.Virtual(), rollout.Statement{})
	require.False(t, r.isRollingOut("app"))
	r.gate.Learn(clock.Virtual(), rollout.Statement{Orders: []rollout.OrderState{{ID: 1, Seen: 1, Service: "app", To: "v2"}}})
	require.True(t, r.isRollingOut("app"))
	require.False(t, (*rollouts)(nil).isRollingOut("app"))
}
