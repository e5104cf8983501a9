package claim

import (
	"log/slog"

	"buckthornpick/internal/telemetry"
)

// Events of the claim ledger.
var (
	EvLoaded            = telemetry.Register(1500, "claim.loaded", slog.LevelDebug, "The claims of a partition were read after a takeover.")
	EvLoadFailed        = telemetry.Register(1501, "claim.load-failed", slog.LevelWarn, "The claims of a partition could not be read.")
	EvAmbiguous         = telemetry.Register(1502, "claim.ambiguous", slog.LevelWarn, "The answer to a write of claims was lost; its fate is being found out.")
	EvResolved          = telemetry.Register(1503, "claim.resolved", slog.LevelInfo, "The fate of an ambiguous write of claims is known.")
	EvWriterUnreachable = telemetry.Register(1504, "claim.writer-unreachable", slog.LevelWarn, "The zone's writer could not be reached; the node writes claims itself.")
	EvSweepFailed       = telemetry.Register(1505, "claim.sweep-failed", slog.LevelWarn, "Old claims could not be removed; it is tried again.")
	EvBadRecord         = telemetry.Register(1506, "claim.bad-record", slog.LevelError, "A stored claim could not be decoded; its partition is not served.")
	EvSwept             = telemetry.Register(1507, "claim.swept", slog.LevelDebug, "Old claims were removed.")
)
