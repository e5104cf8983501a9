package lease

import (
	"log/slog"

	"buckthornpick/internal/telemetry"
)

// Events of leases.
var (
	EvAcquired = telemetry.Register(1970, "lease-taken", slog.LevelInfo,
		"This process took a lease and acts; the token fences its orders.")
	EvLost = telemetry.Register(1971, "lease-lost", slog.LevelWarn,
		"A lease lapsed or was taken by another process; this one no longer acts.")
	EvFailed = telemetry.Register(1972, "lease-failed", slog.LevelWarn,
		"A call to take or renew a lease failed; it is repeated.")
)
