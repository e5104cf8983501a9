package entry

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"buckthornpick/internal/netx"
)

// Process is an entry node with its listener for callers.
type Process struct {
	Node *Node
	// Callers accepts callers' connections.
	Callers *netx.CallerListener
	// TLS configures their TLS; nil for none.
	TLS *tls.Config
	// Server serves them with the node's handler. Its header and idle timeouts must be
	// set.
	Server *http.Server
	// ReadyDelay is the minimum time between failing readiness and refusing new
	// connections, so that the load balancer notices first.
	ReadyDelay time.Duration
	// ShutdownGrace is the grace period for callers' connections. Default 10 min.
	ShutdownGrace time.Duration
	// isShuttingDown is set when callers are asked to close their connections.
	isShuttingDown atomic.Bool
}

const defaultShutdownGrace = 10 * time.Minute

// Run serves until ctx ends, which starts a planned shutdown, or until the node's VM
// is to be reclaimed. It returns when the shutdown is complete.
func (p *Process) Run(ctx context.Context) error {
	return p.RunUntilKilled(ctx, context.WithoutCancel(ctx))
}

// RunUntilKilled is Run for tests: when killed ends, the node stops immediately, as
// if its process had been killed.
func (p *Process) RunUntilKilled(ctx, killed context.Context) error {
	runCtx, stop := context.WithCancel(killed)
	defer stop()
	g, runCtx := errgroup.WithContext(runCtx)
	g.Go(func() error { return p.Node.Run(runCtx) })
	g.Go(p.serve)
	g.Go(func() error {
		defer stop()
		p.awaitStop(ctx, runCtx)
		return nil
	})
	return g.Wait()
}

func (p *Process) serve() error {
	handler := p.Node.Handler()
	p.Server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.isShuttingDown.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
	p.Callers.Attach(p.Server)
	var listener net.Listener = p.Callers
	if p.TLS != nil {
		listener = tls.NewListener(listener, p.TLS)
	}
	err := p.Server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// awaitStop waits for a planned shutdown or a reclaim notice and performs the
// shutdown. A reclaim notice during a planned shutdown replaces it by a shutdown
// before the deadline.
func (p *Process) awaitStop(ctx, runCtx context.Context) {
	stopped := make(chan struct{})
	var deadline time.Time
	select {
	case <-runCtx.Done():
		_ = p.Server.Close()
		return
	case deadline = <-p.Node.ReclaimDeadline():
	case <-ctx.Done():
		drainCtx, cancel := context.WithCancel(runCtx)
		go func() {
			defer close(stopped)
			p.stopPlanned(drainCtx)
		}()
		select {
		case <-stopped:
			cancel()
			return
		case deadline = <-p.Node.ReclaimDeadline():
			cancel()
			<-stopped
		}
	}
	p.stopBeforeDeadline(runCtx, deadline)
}

// stopPlanned shuts down after finishing every request and delivering every answer.
func (p *Process) stopPlanned(ctx context.Context) {
	readyDelay, cancel := context.WithTimeout(ctx, p.ReadyDelay)
	defer cancel()
	p.Node.Drain(ctx)
	<-readyDelay.Done()
	p.shutdown(ctx, p.grace())
}

// stopBeforeDeadline shuts down before a reclaim deadline, handing over the requests
// that cannot be finished in time.
func (p *Process) stopBeforeDeadline(ctx context.Context, deadline time.Time) {
	p.Node.DrainBefore(ctx, deadline)
	p.shutdown(ctx, time.Until(deadline))
	_ = p.Server.Close()
}

func (p *Process) shutdown(ctx context.Context, grace time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, grace)
	defer cancel()
	p.isShuttingDown.Store(true)
	_ = p.Callers.Drain(ctx)
}

func (p *Process) grace() time.Duration {
	if p.ShutdownGrace == 0 {
		return defaultShutdownGrace
	}
	return p.ShutdownGrace
}
