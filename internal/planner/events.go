package planner

import (
	"log/slog"

	"buckthornpick/internal/telemetry"
)

// Events of a planner.
var (
	EvRoundFailed = telemetry.Register(1973, "plan-failed", slog.LevelWarn,
		"A round of planning ended early; the next round begins from what the store holds.")
	EvPlanned = telemetry.Register(1974, "fleet-planned", slog.LevelInfo,
		"The wanted fleet of a service differs from the present one in this zone; the line holds demand, plan and reason.")
	EvStarting = telemetry.Register(1975, "vm-starting", slog.LevelInfo,
		"A VM is wanted; its operation is recorded and the platform is asked.")
	EvStartPending = telemetry.Register(1976, "vm-start-pending", slog.LevelWarn,
		"The platform's answer to a start was lost; the same operation is asked again.")
	EvOfferRefused = telemetry.Register(1977, "offer-refused", slog.LevelWarn,
		"The platform refused a start; the zone and class are left alone until the given time.")
	EvDrain = telemetry.Register(1978, "vm-drain", slog.LevelInfo,
		"A VM is not needed any more; it gets no new work and is stopped when it is idle.")
	EvDrainCancelled = telemetry.Register(1979, "vm-drain-cancelled", slog.LevelInfo,
		"A draining VM is needed again.")
	EvStopping = telemetry.Register(1980, "vm-stopping", slog.LevelInfo,
		"A drained VM is idle, or its time to drain is over; the platform is asked to stop it.")
	EvStopFailed = telemetry.Register(1981, "vm-stop-failed", slog.LevelWarn,
		"A stop was not answered; it is asked again.")
	EvOrder = telemetry.Register(1982, "model-order", slog.LevelInfo,
		"An engine is ordered to load a model, adapter or version; the line holds the reason.")
	EvOrderFailed = telemetry.Register(1983, "model-order-failed", slog.LevelWarn,
		"An engine did not take an order, or its answer was lost; the engine's state is read again.")
	EvFenced = telemetry.Register(1984, "order-fenced", slog.LevelWarn,
		"An engine refused an order because it has seen a later planner.")
	EvSettling = telemetry.Register(1985, "planner-settling", slog.LevelInfo,
		"A new holder waits until the last act of the one before is over, because some engines check no token.")
)
