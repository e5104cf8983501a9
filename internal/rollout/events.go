package rollout

import (
	"log/slog"

	"buckthornpick/internal/telemetry"
)

// EvLearned is logged by each entry, which then sends by it.
var EvLearned = telemetry.Register(3506, "rollout-learned", slog.LevelInfo, "This entry has learned of an order of a roll-out, or that it has come to another phase, and sends requests accordingly.")
