package planner

import (
	"log/slog"

	"buckthornpick/internal/telemetry"
)

// Events of a planner.
var (
	EvRoundFailed = telemetry.Register(1973, "plan-failed", slog.LevelWarn,
		"A planning round failed; the next round starts from the state in the store.")
	EvPlanned = telemetry.Register(1974, "fleet-planned", slog.LevelInfo,
		"The planned fleet of a service differs from the current one in this zone; the attributes hold demand, plan and reason.")
	EvStarting = telemetry.Register(1975, "vm-starting", slog.LevelInfo,
		"A VM is needed; its start is recorded and then requested from the platform.")
	EvStartPending = telemetry.Register(1976, "vm-start-pending", slog.LevelWarn,
		"The platform's response to a start was lost; the start is retried with the same operation ID.")
	EvOfferRefused = telemetry.Register(1977, "offer-refused", slog.LevelWarn,
		"The platform refused a start; no VM of this zone and class is requested until the given time.")
	EvDrain = telemetry.Register(1978, "vm-drain", slog.LevelInfo,
		"A VM is no longer needed; it gets no new work and is stopped when it is idle.")
	EvDrainCancelled = telemetry.Register(1979, "vm-drain-cancelled", slog.LevelInfo,
		"A draining VM is needed again.")
	EvStopping = telemetry.Register(1980, "vm-stopping", slog.LevelInfo,
		"A draining VM is idle or its drain timed out; the platform is requested to stop it.")
	EvStopFailed = telemetry.Register(1981, "vm-stop-failed", slog.LevelWarn,
		"A request to stop a VM failed; it is retried.")
	EvOrder = telemetry.Register(1982, "model-order", slog.LevelInfo,
		"An engine is ordered to load a model, adapter or version; the attributes hold the reason.")
	EvOrderFailed = telemetry.Register(1983, "model-order-failed", slog.LevelWarn,
		"An order to an engine failed, or its response was lost; the engine's state is read again.")
	EvFenced = telemetry.Register(1984, "order-fenced", slog.LevelWarn,
		"An engine rejected an order because it has seen a higher fencing token of a later lease holder.")
	EvSettling = telemetry.Register(1985, "planner-settling", slog.LevelInfo,
		"A new lease holder waits until the last action of its predecessor has ended, because some engines check no fencing token.")
)
