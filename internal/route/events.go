package route

import (
	"log/slog"

	"buckthornpick/internal/telemetry"
)

// Log events of routing decisions.
var (
	EvChosen       = telemetry.Register(1700, "route.chosen", slog.LevelInfo, "A backend server was selected; the line carries the cost terms of the candidates and the reason.")
	EvNoServer     = telemetry.Register(1701, "route.no-server", slog.LevelWarn, "No backend server of the service is eligible for the request.")
	EvSaturated    = telemetry.Register(1702, "route.saturated", slog.LevelWarn, "All backend servers of the service are at their concurrency limit, or the predicted time to the first token is too long.")
	EvLinesSkipped = telemetry.Register(1703, "route.lines-skipped", slog.LevelInfo, "Decision log lines were dropped because they exceeded the rate limit or the queue was full.")
)
