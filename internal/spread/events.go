package spread

import (
	"log/slog"

	"buckthornpick/internal/telemetry"
)

// Events of the gossip protocol for versioned values.
var (
	EvPushFailed = telemetry.Register(1960, "push-failed", slog.LevelDebug,
		"A new version could not be queued for a peer; the periodic comparison will transfer it.")
	EvCompareFailed = telemetry.Register(1961, "compare-failed", slog.LevelDebug,
		"Versions could not be compared with a peer.")
	EvBadValue = telemetry.Register(1962, "bad-value", slog.LevelWarn,
		"A peer sent a value that could not be decoded or was rejected.")
	EvEncodeFailed = telemetry.Register(1963, "encode-failed", slog.LevelError,
		"A value could not be encoded for peers.")
	EvPushDropped = telemetry.Register(1964, "push-dropped", slog.LevelDebug,
		"The queue of received pushes was full; the periodic comparison will transfer the value.")
)
