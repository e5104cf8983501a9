package relay

import (
	"log/slog"

	"buckthornpick/internal/telemetry"
)

// Events of the relay.
var (
	EvRequestEnded         = telemetry.Register(3100, "request-ended", slog.LevelInfo, "A request has its final answer, or its caller has left; the line carries what decided it.")
	EvAttemptEnded         = telemetry.Register(3101, "attempt-ended", slog.LevelWarn, "A send to a backend server brought no answer that ends the request.")
	EvStreamResumed        = telemetry.Register(3102, "stream-resumed", slog.LevelInfo, "A stream that broke goes on at another backend server after its last event.")
	EvContentCrashed       = telemetry.Register(3103, "content-crashed", slog.LevelWarn, "A backend server crashed while it ran a request; the content is marked at all entries.")
	EvContentCleared       = telemetry.Register(3104, "content-cleared", slog.LevelInfo, "A marked content was answered; its mark is dropped.")
	EvDraining             = telemetry.Register(3105, "relay-draining", slog.LevelInfo, "The relay fails readiness, asks callers to close their connections and finishes its requests.")
	EvDrained              = telemetry.Register(3106, "relay-drained", slog.LevelInfo, "The relay has no requests any more, or its grace period is over.")
	EvNotifyFailed         = telemetry.Register(3108, "entry-notify-failed", slog.LevelInfo, "A message to another entry could not be sent; the next one carries the same totals.")
	EvEntryUnreachable     = telemetry.Register(3109, "entry-out-of-touch", slog.LevelWarn, "Another entry is registered but was not heard from; quotas are divided until it is heard again.")
	EvEntryReachable       = telemetry.Register(3110, "entry-in-touch", slog.LevelInfo, "Another entry is heard from again.")
	EvExchangePeersChanged = telemetry.Register(3111, "exchange-placed", slog.LevelInfo, "With whom this entry exchanges totals and loads has changed.")
	EvSiteSizeChanged      = telemetry.Register(3112, "site-counted", slog.LevelInfo, "The number of the entries of a large site, or of those whose spending is known, has changed; quotas are divided by it.")
)
