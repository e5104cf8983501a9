package entry

import (
	"log/slog"

	"buckthornpick/internal/telemetry"
)

// Events of an entry node as a whole.
var (
	EvOwnerLost = telemetry.Register(1250, "owner-lost", slog.LevelInfo,
		"The source of an answer ended early; the request is followed at its present owner.")
	EvRunsAtIngress = telemetry.Register(1251, "runs-at-ingress", slog.LevelWarn,
		"The owner of a repeatable request cannot be reached; the node that holds the caller runs it.")
	EvTransferRefused = telemetry.Register(1252, "transfer-refused", slog.LevelWarn,
		"A handed-over request was not adopted.")
	EvDraining = telemetry.Register(1253, "draining", slog.LevelInfo,
		"The node is leaving: it fails readiness, gives up its partitions and finishes or hands over its requests.")
	EvDrained = telemetry.Register(1254, "drained", slog.LevelInfo,
		"The node has no requests of its own any more.")
	EvLeaveFailed = telemetry.Register(1255, "leave-failed", slog.LevelWarn,
		"The node could not remove itself from the table; others remove it when its lease lapses.")
	EvTransferFailed = telemetry.Register(1256, "transfer-failed", slog.LevelWarn,
		"Requests could not be handed over to their new owner; the next one is tried.")
	EvDepartFailed = telemetry.Register(1257, "depart-failed", slog.LevelInfo,
		"Another node could not take this node out of the table; the node does it itself.")
)
