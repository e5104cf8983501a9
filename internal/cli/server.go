package cli

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

	"buckthornpick/internal/fault"
	"buckthornpick/internal/netx"
	"buckthornpick/internal/telemetry"
)

// Limits of the admin listener.
const (
	adminHeaderTimeout  = 10 * time.Second
	adminReadTimeout    = 30 * time.Second
	adminIdleTimeout    = 2 * time.Minute
	adminMaxHeaderBytes = 8 << 10
	// adminShutdownTimeout bounds the wait for running requests at shutdown.
	adminShutdownTimeout = 5 * time.Second
)

// AdminServer is the HTTP server of the admin listener.
type AdminServer struct {
	listener net.Listener
	server   *http.Server
	log      *telemetry.Logger
}

// ListenAdmin opens the admin listener. A nil tlsConfig means plain TCP.
func ListenAdmin(network netx.Network, address string, tlsConfig *tls.Config, handler http.Handler, log *telemetry.Logger) (*AdminServer, error) {
	listener, err := network.Listen(address)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "admin.listen", address, "cannot listen")
	}
	callers := netx.NewProbeListener(listener, nil, log)
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: adminHeaderTimeout,
		ReadTimeout:       adminReadTimeout,
		IdleTimeout:       adminIdleTimeout,
		MaxHeaderBytes:    adminMaxHeaderBytes,
	}
	callers.Attach(server)
	listener = callers
	if tlsConfig != nil {
		listener = tls.NewListener(listener, tlsConfig)
	}
	log.Log(EvListening, "listener", "admin", "address", listener.Addr().String(), "tls", tlsConfig != nil)
	return &AdminServer{listener: listener, log: log, server: server}, nil
}

// Address returns the listener's "host:port".
func (a *AdminServer) Address() string { return a.listener.Addr().String() }

// Run serves until ctx ends, then waits up to adminShutdownTimeout for running
// requests.
func (a *AdminServer) Run(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() { failed <- a.server.Serve(a.listener) }()
	select {
	case err := <-failed:
		return fault.Wrap(err, fault.Unavailable, "admin.serve", a.Address(), "the listener failed")
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), adminShutdownTimeout)
	defer cancel()
	err := a.server.Shutdown(shutdownCtx)
	if err != nil {
		_ = a.server.Close()
	}
	if serveErr := <-failed; !errors.Is(serveErr, http.ErrServerClosed) {
		return serveErr
	}
	return nil
}
