package lease

import (
	"log/slog"

	"buckthornpick/internal/telemetry"
)

// Log events of leases.
var (
	EvAcquired = telemetry.Register(1970, "lease-taken", slog.LevelInfo,
		"This process acquired a lease and acts as its holder; the token fences its orders.")
	EvLost = telemetry.Register(1971, "lease-lost", slog.LevelWarn,
		"This process lost a lease, which expired, was given up or was acquired by another process, and no longer acts as its holder.")
	EvFailed = telemetry.Register(1972, "lease-failed", slog.LevelWarn,
		"A call to acquire or renew a lease failed; it is retried.")
)
