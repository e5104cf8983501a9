package config

import "time"

// EntrySettings is the settings file of buckthornpick-entry.
type EntrySettings struct {
	Node NodeSettings `json:"node"`
	// Callers configures the listener for callers.
	Callers CallerSettings `json:"callers"`
	// Peers configures the protocol between entries.
	Peers  PeerSettings   `json:"peers"`
	Admin  AdminSettings  `json:"admin"`
	Store  StoreSettings  `json:"store"`
	Cloud  CloudSettings  `json:"cloud"`
	Lease  LeaseSettings  `json:"lease"`
	Drain  DrainSettings  `json:"drain"`
	Bounds BoundsSettings `json:"bounds"`
	Limits MachineLimits  `json:"limits"`
	Log    LogSettings    `json:"log"`
}

// CallerSettings configure the callers' listener.
type CallerSettings struct {
	// Address is the listener's "host:port"; default ":8080".
	Address string      `json:"address"`
	TLS     TLSSettings `json:"tls"`
	// ReadHeaderTimeout bounds reading a request's header; default "10s".
	ReadHeaderTimeout Duration `json:"readHeaderTimeout"`
	// ReadTimeout bounds reading a whole request; default "60s".
	ReadTimeout Duration `json:"readTimeout"`
	// IdleTimeout bounds the wait for the next request on a keep-alive connection;
	// default "120s".
	IdleTimeout Duration `json:"idleTimeout"`
}

// PeerSettings configure the protocol between entries.
type PeerSettings struct {
	// Address is the listener's "host:port"; default ":7070".
	Address string `json:"address"`
	// Advertised are the "host:port" addresses that peers dial, in order of
	// preference; at least one.
	Advertised []string `json:"advertised"`
	// Secret is the shared secret that authenticates peers; Secret or
	// SecretFile is required.
	Secret string `json:"secret"`
	// SecretFile is the path of a file with the secret; default empty.
	SecretFile string `json:"secretFile"`
	// Seeds are entries from which a starting node gets the configuration while
	// the store is unavailable; default empty.
	Seeds []SeedSettings `json:"seeds"`
}

// SeedSettings identify an entry.
type SeedSettings struct {
	// ID is the entry's node ID.
	ID string `json:"id"`
	// Address is the "host:port" of its listener for peers.
	Address string `json:"address"`
}

// LeaseSettings configure the node's lease in the store.
type LeaseSettings struct {
	// TTL is the time from the last renewal until the lease expires; default "10s".
	TTL Duration `json:"ttl"`
	// RenewInterval is the time between renewals, at most a third of TTL;
	// default "3s".
	RenewInterval Duration `json:"renewInterval"`
}

// DrainSettings configure a planned shutdown.
type DrainSettings struct {
	// Grace bounds the wait for running requests before they are handed over to
	// other entries; default "10m".
	Grace Duration `json:"grace"`
	// ReadyDelay is the time between reporting not ready and closing the callers'
	// listener, so that the load balancer stops sending requests; default "3s".
	ReadyDelay Duration `json:"readyDelay"`
}

// BoundsSettings are the resource limits of one node.
type BoundsSettings struct {
	// MaxBodyBytes is the maximum size of a request body; default 4194304 (4 MiB).
	MaxBodyBytes int64 `json:"maxBodyBytes"`
	// MaxHeaderBytes is the maximum size of a request header; default 65536.
	MaxHeaderBytes int `json:"maxHeaderBytes"`
	// AnswerBytesPerRequest is the maximum size of the kept response of one request;
	// default 8388608 (8 MiB).
	AnswerBytesPerRequest int64 `json:"answerBytesPerRequest"`
	// AnswerBytesTotal is the maximum total size of the kept responses of the node;
	// default 134217728 (128 MiB).
	AnswerBytesTotal int64 `json:"answerBytesTotal"`
	// MaxConnections is the maximum number of callers' connections; default 10000.
	MaxConnections int `json:"maxConnections"`
	// MaxRequests is the maximum number of requests in flight; default 4096.
	MaxRequests int `json:"maxRequests"`
	// KeyWindow is the time for which completed requests and their responses are
	// kept for callers that retry with the same key; default "10m".
	KeyWindow Duration `json:"keyWindow"`
	// ClaimRetention is the time for which the claims of non-repeatable requests are
	// kept in the store. If a caller retries with the same key after that time, the
	// request may run again. At least twice KeyWindow; default "24h".
	ClaimRetention Duration `json:"claimRetention"`
}

const (
	kib = 1 << 10
	mib = 1 << 20

	// minRenewalsPerTTL is the minimum number of renewals in one lease TTL.
	minRenewalsPerTTL = 3
	// minKeyWindowsPerRetention is the minimum ratio of ClaimRetention to KeyWindow.
	minKeyWindowsPerRetention = 2
)

// SetDefaults sets the documented default values.
func (s *EntrySettings) SetDefaults() {
	s.Node.Region = defaultRegion
	s.Callers = CallerSettings{
		Address:           ":8080",
		ReadHeaderTimeout: Duration(10 * time.Second),
		ReadTimeout:       Duration(60 * time.Second),
		IdleTimeout:       Duration(120 * time.Second),
	}
	s.Peers.Address = ":7070"
	s.Admin.Address = defaultAdminAddress
	s.Store.Timeout = defaultStoreTimeout
	s.Cloud.Timeout = defaultCloudTimeout
	s.Lease = LeaseSettings{TTL: Duration(10 * time.Second), RenewInterval: Duration(3 * time.Second)}
	s.Drain = DrainSettings{Grace: Duration(10 * time.Minute), ReadyDelay: Duration(3 * time.Second)}
	s.Bounds = BoundsSettings{
		MaxBodyBytes: 4 * mib, MaxHeaderBytes: 64 * kib,
		AnswerBytesPerRequest: 8 * mib, AnswerBytesTotal: 128 * mib,
		MaxConnections: 10_000, MaxRequests: 4096,
		KeyWindow:      Duration(10 * time.Minute),
		ClaimRetention: Duration(24 * time.Hour),
	}
	s.Log.Level = defaultLogLevel
}

// MaxCallers returns the maximum number of callers' connections.
func (s *EntrySettings) MaxCallers() int { return s.Limits.maxCallers(s.Bounds.MaxConnections) }

// Validate returns all problems of the values.
func (s *EntrySettings) Validate() Problems {
	var ps Problems
	s.Node.validate(&ps)
	s.Callers.validate(&ps)
	s.Peers.validate(&ps)
	s.Admin.validate(&ps)
	s.Store.validate(&ps)
	s.Cloud.validate(&ps)
	s.Lease.validate(&ps)
	requirePositive(&ps, "drain.grace", s.Drain.Grace)
	if s.Drain.ReadyDelay < 0 {
		ps.add("drain.readyDelay", "", "expected 0 or more, got %q", s.Drain.ReadyDelay)
	}
	s.Bounds.validate(&ps)
	s.Limits.validate(&ps)
	s.Log.validate(&ps)
	return ps
}

func (c *CallerSettings) validate(ps *Problems) {
	requireHostPort(ps, "callers.address", c.Address)
	c.TLS.validate(ps, "callers.tls")
	requirePositive(ps, "callers.readHeaderTimeout", c.ReadHeaderTimeout)
	requirePositive(ps, "callers.readTimeout", c.ReadTimeout)
	requirePositive(ps, "callers.idleTimeout", c.IdleTimeout)
}

func (p *PeerSettings) validate(ps *Problems) {
	requireHostPort(ps, "peers.address", p.Address)
	if len(p.Advertised) == 0 {
		ps.add("peers.advertised", "", "expected at least one \"host:port\"")
	}
	for _, a := range p.Advertised {
		requireHostPort(ps, "peers.advertised", a)
	}
	for _, seed := range p.Seeds {
		requireValue(ps, "peers.seeds.id", seed.ID)
		requireHostPort(ps, "peers.seeds.address", seed.Address)
	}
	if (p.Secret == "") == (p.SecretFile == "") {
		ps.add("peers.secret", "", "expected either secret or secretFile")
	}
}

func (l *LeaseSettings) validate(ps *Problems) {
	requirePositive(ps, "lease.ttl", l.TTL)
	requirePositive(ps, "lease.renewInterval", l.RenewInterval)
	if l.RenewInterval*minRenewalsPerTTL > l.TTL {
		ps.add("lease.renewInterval", "", "expected at most a third of lease.ttl (%v), got %v", l.TTL, l.RenewInterval)
	}
}

func (b *BoundsSettings) validate(ps *Problems) {
	requireAtLeast(ps, "bounds.maxBodyBytes", b.MaxBodyBytes, kib)
	requireAtLeast(ps, "bounds.maxHeaderBytes", int64(b.MaxHeaderBytes), kib)
	requireAtLeast(ps, "bounds.answerBytesPerRequest", b.AnswerBytesPerRequest, kib)
	requireAtLeast(ps, "bounds.answerBytesTotal", b.AnswerBytesTotal, b.AnswerBytesPerRequest)
	requireAtLeast(ps, "bounds.maxConnections", int64(b.MaxConnections), 1)
	requireAtLeast(ps, "bounds.maxRequests", int64(b.MaxRequests), 1)
	requirePositive(ps, "bounds.keyWindow", b.KeyWindow)
	if b.ClaimRetention < minKeyWindowsPerRetention*b.KeyWindow {
		ps.add("bounds.claimRetention", "", "expected at least twice bounds.keyWindow (%v), got %v", b.KeyWindow, b.ClaimRetention)
	}
}
