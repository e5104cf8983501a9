package claim

import (
	"log/slog"

	"buckthornpick/internal/telemetry"
)

// Events of the claim ledger.
var (
	EvLoaded            = telemetry.Register(1500, "claim.loaded", slog.LevelDebug, "The claims of a partition were read, after this node became its owner.")
	EvLoadFailed        = telemetry.Register(1501, "claim.load-failed", slog.LevelWarn, "The claims of a partition could not be read.")
	EvAmbiguous         = telemetry.Register(1502, "claim.ambiguous", slog.LevelWarn, "The response to a write of claims was lost; its outcome is being resolved.")
	EvResolved          = telemetry.Register(1503, "claim.resolved", slog.LevelInfo, "The outcome of an ambiguous write of claims was resolved.")
	EvWriterUnreachable = telemetry.Register(1504, "claim.writer-unreachable", slog.LevelWarn, "The zone's writer could not be reached; for a backoff time the node writes its claims itself.")
	EvSweepFailed       = telemetry.Register(1505, "claim.sweep-failed", slog.LevelWarn, "Expired claims could not be removed; the next sweep retries.")
	EvBadRecord         = telemetry.Register(1506, "claim.bad-record", slog.LevelError, "A stored claim could not be decoded; claims of its partition can be neither read nor written.")
	EvSwept             = telemetry.Register(1507, "claim.swept", slog.LevelDebug, "Expired claims were removed.")
)
