package entryd

import (
	"context"
	"net/http"
	"time"

	"buckthornpick/internal/backend"
	"buckthornpick/internal/claim"
	"buckthornpick/internal/cli"
	"buckthornpick/internal/config"
	"buckthornpick/internal/dispatch"
	"buckthornpick/internal/entry"
	"buckthornpick/internal/gateway"
	"buckthornpick/internal/kv/etcd"
	"buckthornpick/internal/member"
	"buckthornpick/internal/netx"
	"buckthornpick/internal/peer"
	"buckthornpick/internal/provider"
	"buckthornpick/internal/provider/cloudhttp"
	"buckthornpick/internal/tunnel"
)

const (
	// backendIdleConns bounds idle connections to one backend server.
	backendIdleConns = 64
	// backendDialTimeout bounds dialling a backend server.
	backendDialTimeout = time.Second
	// platformIdleConns bounds idle connections to the store and to the cloud API,
	// each.
	platformIdleConns = 8
)

// nodeConfig converts settings into the configuration of a node. cleanup closes
// idle connections of the HTTP clients that it creates.
func nodeConfig(s config.EntrySettings, n netx.Network, p *cli.Process) (cfg entry.Config, cleanup func(), err error) {
	secret, err := config.LoadSecret(s.Peers.Secret, s.Peers.SecretFile)
	if err != nil {
		return entry.Config{}, nil, err
	}
	store := netx.HTTPClient(n, netx.HTTPOptions{MaxIdlePerHost: platformIdleConns, CloseIdleOnTimeout: true})
	cloud := netx.HTTPClient(n, netx.HTTPOptions{MaxIdlePerHost: platformIdleConns, CloseIdleOnTimeout: true})
	tunnels := tunnel.New(n)
	backends := netx.HTTPClient(tunnels, netx.HTTPOptions{MaxIdlePerHost: backendIdleConns, DialTimeout: backendDialTimeout})
	platformClient := cloudhttp.New(s.Cloud.URL, cloud, p.Log)
	lister := vmLister{Client: platformClient, timeout: time.Duration(s.Cloud.Timeout)}
	servers := backend.NewHTTPClient(backends, p.Log)
	cfg = entry.Config{
		Self: member.Member{ID: s.Node.ID, Zone: s.Node.Zone, Address: s.Peers.Advertised[0],
			HTTPAddress: s.Callers.Address, AdminURL: s.Admin.Advertised},
		Peer:   peer.Options{ListenAddress: s.Peers.Address},
		Secret: []byte(secret), Seeds: seedNodes(s.Peers.Seeds), Network: n, Tunnels: tunnels,
		Store:  etcd.New(etcd.Config{Endpoint: s.Store.URL, Timeout: time.Duration(s.Store.Timeout)}, store, p.Metrics),
		Lister: lister, Notices: platformClient,
		Backends: servers, KV: servers, Log: p.Log, Registry: p.Metrics,
		Gateway: gateway.Config{MaxBodyBytes: s.Bounds.MaxBodyBytes, BodyTimeout: time.Duration(s.Callers.ReadTimeout)},
		Dispatch: dispatch.Config{
			AnswerBytes: int(s.Bounds.AnswerBytesPerRequest), BufferBytes: int(s.Bounds.AnswerBytesTotal),
			KeyWindow: time.Duration(s.Bounds.KeyWindow), Retention: time.Duration(s.Bounds.KeyWindow),
			MaxRequests: s.Bounds.MaxRequests,
		},
		Claim:  claim.Config{Retention: time.Duration(s.Bounds.ClaimRetention)},
		Member: member.Config{LeaseTTL: time.Duration(s.Lease.TTL)},
		Drain:  entry.DrainConfig{Grace: time.Duration(s.Drain.Grace)},
	}
	return cfg, idleCloser(store, cloud, backends), nil
}

// idleCloser returns a function that closes idle connections of clients.
func idleCloser(clients ...*http.Client) func() {
	return func() {
		for _, c := range clients {
			c.CloseIdleConnections()
		}
	}
}

func seedNodes(settings []config.SeedSettings) []peer.Node {
	var out []peer.Node
	for _, s := range settings {
		out = append(out, peer.Node{ID: s.ID, Address: s.Address})
	}
	return out
}

// vmLister is a cloud client whose VM list calls have a timeout.
type vmLister struct {
	*cloudhttp.Client
	timeout time.Duration
}

// ListVMs implements provider.Lister.
func (c vmLister) ListVMs(ctx context.Context) ([]provider.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return c.Client.ListVMs(ctx)
}
