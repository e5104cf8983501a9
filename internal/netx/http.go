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

// HTTPOptions configures a client returned by HTTPClient. Zero fields take their
// defaults.
type HTTPOptions struct {
	// MaxIdle is the maximum number of idle connections in total; default 1024.
	MaxIdle int
	// MaxIdlePerHost is the maximum number of idle connections per address;
	// default 16.
	MaxIdlePerHost int
	// MaxConnsPerHost is the maximum number of connections per address; 0 means
	// no limit.
	MaxConnsPerHost int
	// DialTimeout bounds the dialling of a connection; default 2 s.
	DialTimeout time.Duration
	// IdleTimeout is the time after which idle connections are closed; default
	// 30 s.
	IdleTimeout time.Duration
	// CloseIdleOnTimeout closes all idle connections when a request times out without a
	// response, because connections to one host tend to go silent together. It suits
	// hosts that normally answer within the timeout.
	CloseIdleOnTimeout bool
}

// HTTPClient returns a client that dials through n, ignores proxy settings of
// the environment and does not follow redirects. It has no overall timeout:
// callers bound each request with its context. CloseIdleConnections ends the
// goroutines of idle connections.
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
			c, err := n.Dial(ctx, address)
			if err != nil {
				return nil, err
			}
			return &recordedConn{Conn: c}, nil
		},
		MaxIdleConns:        o.MaxIdle,
		MaxIdleConnsPerHost: o.MaxIdlePerHost,
		MaxConnsPerHost:     o.MaxConnsPerHost,
		IdleConnTimeout:     o.IdleTimeout,
		DisableCompression:  true,
	}
	return &http.Client{
		Transport: checkedTransport{transport, o.CloseIdleOnTimeout},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}
