package entry

import (
	"log/slog"

	"buckthornpick/internal/telemetry"
)

// Events logged by an entry node.
var (
	EvOwnerLost = telemetry.Register(1250, "owner-lost", slog.LevelInfo,
		"The source of an answer ended early; the node reconnects to the request's present owner.")
	EvRunsAtIngress = telemetry.Register(1251, "runs-at-ingress", slog.LevelWarn,
		"The owner of a repeatable request cannot be reached; the node to which the caller is connected runs it.")
	EvTransferRefused = telemetry.Register(1252, "transfer-refused", slog.LevelWarn,
		"This node did not adopt a request that another node handed over.")
	EvDraining = telemetry.Register(1253, "draining", slog.LevelInfo,
		"The node is leaving: it fails readiness, gives up its partitions and finishes or hands over its requests.")
	EvDrained = telemetry.Register(1254, "drained", slog.LevelInfo,
		"The node has finished draining; running is the number of requests that it could not finish or hand over.")
	EvLeaveFailed = telemetry.Register(1255, "leave-failed", slog.LevelWarn,
		"The node could not remove itself from the table, or record there that it has handed over its requests; other nodes remove it when its lease expires.")
	EvTransferFailed = telemetry.Register(1256, "transfer-failed", slog.LevelWarn,
		"Requests could not be handed over to their new owner; the next successor is tried.")
	EvDepartFailed = telemetry.Register(1257, "depart-failed", slog.LevelInfo,
		"Another node could not change the table for this node as requested; this node makes the change itself.")
)
