package confstore

import (
	"log/slog"

	"buckthornpick/internal/telemetry"
)

// Events of the operators' document.
var (
	EvInForce    = telemetry.Register(1600, "config in force", slog.LevelInfo, "A revision of the operators' document is in force at this node.")
	EvRefused    = telemetry.Register(1601, "config refused", slog.LevelError, "A document from the store or a peer has faults and is not used.")
	EvReadFailed = telemetry.Register(1602, "config read failed", slog.LevelWarn, "The store could not be read or its watch broke; the node tries again.")
	EvRolledBack = telemetry.Register(1603, "config store rolled back", slog.LevelError, "The store shows a lower revision than this node has seen; the node keeps its own.")
	EvDiverged   = telemetry.Register(1604, "config diverged", slog.LevelError, "Two different documents carry the same revision; the node keeps the one it has.")
	EvAccepted   = telemetry.Register(1605, "config accepted", slog.LevelInfo, "A proposed document is known to be written.")
	EvConflict   = telemetry.Register(1606, "config conflict", slog.LevelInfo, "A proposed document lost against another change.")
	EvAmbiguous  = telemetry.Register(1607, "config write ambiguous", slog.LevelWarn, "The answer to a write of the document was lost; the node asks again.")
	EvRepaired   = telemetry.Register(1608, "config store repaired", slog.LevelWarn, "This node wrote its document back to a store that showed a lower revision.")
)
