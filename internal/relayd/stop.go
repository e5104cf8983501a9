package relayd

import (
	"context"
	"time"

	"buckthornpick/internal/netx"
	"buckthornpick/internal/relay"
)

const (
	// deregistrationDelay is the time for which new connections may still arrive
	// after the readiness probe starts to fail: the load balancer probes once a
	// second and needs two failures, and a connection may already be in flight.
	deregistrationDelay = 3 * time.Second
	// transitTime is the part of deregistrationDelay for connections in flight.
	transitTime = 500 * time.Millisecond
	// stopMargin is the part of the grace period reserved for process exit.
	stopMargin = 500 * time.Millisecond
)

// stop drains the process. It fails the readiness probe, closes callers' kept-alive
// connections after their next response, and after the deregistration delay closes
// the listener and idle connections. Requests that were read are completed within
// the grace period; requests that may take longer are refused.
func (p *Process) stop(callers *netx.CallerListener) {
	grace := p.settings.Bounds.GracePeriod() - stopMargin
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	p.isDraining.Store(true)
	now := time.Now()
	p.relay.Drain(relay.DrainPlan{DeregisteredAt: now.Add(deregistrationDelay - transitTime), CutAt: now.Add(grace)})
	p.cli.Log.Log(relay.EvDraining, "active", p.relay.InFlight(), "grace_ms", grace.Milliseconds())
	time.Sleep(min(deregistrationDelay, grace/2))
	err := callers.Drain(ctx)
	p.relay.AwaitIdle(ctx)
	p.exchange.Flush()
	p.cli.Log.Log(relay.EvDrained, "active", p.relay.InFlight(), "complete", err == nil)
}
