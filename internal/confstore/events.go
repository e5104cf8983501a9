package confstore

import (
	"log/slog"

	"buckthornpick/internal/telemetry"
)

// Log events of the operators' document.
var (
	EvInForce    = telemetry.Register(1600, "config in force", slog.LevelInfo, "A new revision of the operators' document is in force at this node.")
	EvRefused    = telemetry.Register(1601, "config refused", slog.LevelError, "A document from the store or a peer is invalid and was ignored.")
	EvReadFailed = telemetry.Register(1602, "config read failed", slog.LevelWarn, "The document could not be read from the store or its watch failed; the node retries.")
	EvRolledBack = telemetry.Register(1603, "config store rolled back", slog.LevelError, "The store holds a lower revision than the one in force at this node; the node keeps its own and tries to write it back.")
	EvDiverged   = telemetry.Register(1604, "config diverged", slog.LevelError, "Two different documents have the same revision; the node keeps its own.")
	EvAccepted   = telemetry.Register(1605, "config accepted", slog.LevelInfo, "A proposed document was written to the store.")
	EvConflict   = telemetry.Register(1606, "config conflict", slog.LevelInfo, "A proposed document was not accepted, usually because another change was written first.")
	EvAmbiguous  = telemetry.Register(1607, "config write ambiguous", slog.LevelWarn, "An attempt to write a proposed document failed or its outcome is unknown; the node retries.")
	EvRepaired   = telemetry.Register(1608, "config store repaired", slog.LevelWarn, "This node wrote its document back to a store that held a lower revision.")
)
