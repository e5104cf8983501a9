package netx

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Defaults of HTTPOptions.
const (
	defaultMaxIdle        = 1024
	defaultMaxIdlePerHost = 16
	defaultIdleTimeout    = 30 * time.Second
	defaultDialTimeout    = 2 * time.Second
)

// HTTPOptions tune a client made by HTTPClient.
type HTTPOptions struct {
	// MaxIdle bounds idle connections to all addresses; default 1024.
	MaxIdle int
	// MaxIdlePerHost bounds idle connections to one address; default 16.
	MaxIdlePerHost int
	// MaxConnsPerHost bounds all connections to one address; 0 is unbounded.
	MaxConnsPerHost int
	// DialTimeout bounds the opening of a connection; default 2 s.
	DialTimeout time.Duration
	// IdleTimeout closes connections that carried nothing; default 30 s.
	IdleTimeout time.Duration
}

// HTTPClient returns a client that dials through n, takes no proxy from the
// environment, follows no redirects and sets no timeout of its own: callers
// bound each call by its context. CloseIdleConnections releases its goroutines.
func HTTPClient(n Network, o HTTPOptions) *http.Client {
	if o.MaxIdle == 0 {
		o.MaxIdle = defaultMaxIdle
	}
	if o.MaxIdlePerHost == 0 {
		o.MaxIdlePerHost = defaultMaxIdlePerHost
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = defaultIdleTimeout
	}
	if o.DialTimeout == 0 {
		o.DialTimeout = defaultDialTimeout
	}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, o.DialTimeout)
			defer cancel()
			return n.Dial(ctx, address)
		},
		MaxIdleConns:        o.MaxIdle,
		MaxIdleConnsPerHost: o.MaxIdlePerHost,
		MaxConnsPerHost:     o.MaxConnsPerHost,
		IdleConnTimeout:     o.IdleTimeout,
		DisableCompression:  true,
	}
	return &http.Client{
		Transport: transport,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}
