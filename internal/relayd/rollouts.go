package relayd

import (
	"context"
	"math/rand/v2"
	"time"

	"buckthornpick/internal/clock"
	"buckthornpick/internal/config"
	"buckthornpick/internal/duty"
	"buckthornpick/internal/follow"
	"buckthornpick/internal/relay"
	"buckthornpick/internal/rollout"
)

// rollouts holds what an entry needs to take part in roll-outs. The methods of a nil pointer
// do nothing.
type rollouts struct {
	clock  clock.Clock
	bounds rollout.Bounds
	gate   *rollout.Gate
	board  *rollout.Board
}

func rolloutBounds(b *config.RelayBounds) rollout.Bounds {
	return rollout.Bounds{Share: b.ExposureShare, Slack: b.ExposureSlack, Rollback: b.RollbackDelay()}
}

// provisionRollouts creates the parts of roll-outs if the settings allow any.
func (p *Process) provisionRollouts() {
	bounds := rolloutBounds(&p.settings.Bounds)
	if !bounds.IsEnabled() {
		return
	}
	p.rollouts = &rollouts{clock: p.clock, bounds: bounds, gate: rollout.NewGate(bounds, rand.Float64()), board: rollout.NewBoard()}
}

// parts returns the parts that the exchange and the relay use, nil without roll-outs.
func (r *rollouts) parts() (*rollout.Gate, *rollout.Board, *rollout.Recorder) {
	if r == nil {
		return nil, nil, nil
	}
	return r.gate, r.board, &rollout.Recorder{Gate: r.gate, Board: r.board}
}

func (r *rollouts) isInformed() bool { return r == nil || r.gate.IsInformed() }

// rolloutEnd is the time after an order's deadline until the servers that have stopped are
// no longer registered.
const rolloutEnd = 10 * time.Second

// isRollingOut reports whether servers of two versions may be registered for a service. They
// may be until the orders have been read.
func (r *rollouts) isRollingOut(service string) bool {
	if r == nil {
		return false
	}
	if !r.gate.IsInformed() {
		return true
	}
	order, ok := r.gate.Known(service)
	return ok && (!order.Phase.IsFinal() || order.IsStated && r.clock() < order.Deadline+rolloutEnd)
}

// setServers passes the registered servers on, before requests may be sent to them.
func (r *rollouts) setServers(list []follow.Server) {
	if r == nil {
		return
	}
	servers := make([]rollout.Server, len(list))
	for i, s := range list {
		servers[i] = rollout.Server{ID: s.ID, Service: s.Service, Version: s.Version, Slots: s.Slots, IsLeaving: s.Leaving}
	}
	r.gate.SetServers(r.clock(), servers)
}

// rolloutTasks returns the background tasks of roll-outs.
func (p *Process) rolloutTasks() []func(context.Context) error {
	r := p.rollouts
	if r == nil {
		return nil
	}
	reader := &duty.OrderReader{Store: p.store, Keys: p.adapter.Rollouts, Gate: r.gate, Clock: p.clock, Log: p.cli.Log}
	holder := duty.NewRollouts(duty.RolloutsConfig{
		Lease: p.dutyLease, Store: p.store, Keys: p.adapter.Rollouts, Bounds: r.bounds, Gate: r.gate, Board: r.board,
		Running: func(service string) int { return runningAt(p.balancer, service) },
		Entries: func() int { return p.exchange.Site().Entries }, Clock: p.clock, Log: p.cli.Log, Metrics: p.cli.Metrics,
	})
	return []func(context.Context) error{reader.Run, holder.Run}
}

// runningAt returns the number of requests that all entries run at a service.
func runningAt(b *relay.Balancer, service string) int {
	running := 0
	for _, load := range b.ServiceLoads() {
		if load.Service == service {
			running += load.Running
		}
	}
	return running
}
