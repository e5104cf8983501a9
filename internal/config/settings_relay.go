package config

import "time"

// RelaySettings is the settings file of buckthornpick-relay.
type RelaySettings struct {
	Node NodeSettings `json:"node"`
	// Callers is the "host:port" of the listener for callers.
	Callers string `json:"callers"`
	// Readiness is the "host:port" at which the load balancer checks readiness.
	Readiness string `json:"readiness"`
	// Peers is the "host:port" of the listener for the protocol between relays.
	Peers string `json:"peers"`
	// Metrics is the "host:port" of the metrics pages; default none.
	Metrics string `json:"metrics"`
	// Store is the "host:port" of the platform's store.
	Store string `json:"store"`
	// Cloud is the "host:port" of the platform's cloud API; default none, which
	// disables all duties.
	Cloud string `json:"cloud"`
	// Duties are the duties that this relay may perform; default none.
	Duties []string `json:"duties"`
	// Bootstrap is true if the whole site starts for the first time, so that there are no
	// streams of earlier relays; default false.
	Bootstrap bool          `json:"bootstrap"`
	Bounds    RelayBounds   `json:"bounds"`
	Limits    MachineLimits `json:"limits"`
	Log       LogSettings   `json:"log"`
}

// MachineLimits are the limits that the VM sets for a process.
type MachineLimits struct {
	// MemoryMegabytes is the memory in units of 1,000,000 bytes; default 0, unknown: callers may then hold as
	// much as on a VM with 512 MB.
	MemoryMegabytes float64 `json:"memoryMegabytes"`
	// FileDescriptors is the number of file descriptors; default 0, unknown.
	FileDescriptors int `json:"fileDescriptors"`
}

const (
	megabyte = 1_000_000
	// minMemoryMegabytes is the least memory with which a process can serve a request of the
	// largest size.
	minMemoryMegabytes = 64
	// minFileDescriptors is the least number of descriptors with which callers, backend
	// servers, peers and the store all get some.
	minFileDescriptors = 128
	// callerDescriptorShare is the share of the file descriptors that callers may take.
	callerDescriptorShare = 0.5
	// upstreamDescriptorShare is the share that connections to backend servers may take.
	upstreamDescriptorShare = 0.25
	// handshakeDescriptorShare is the share that connections of peers may take which are
	// not authenticated yet.
	handshakeDescriptorShare = 0.0625
)

// MemoryBytes returns the memory in bytes, 0 if it is unknown.
func (l *MachineLimits) MemoryBytes() int64 { return int64(l.MemoryMegabytes * megabyte) }

func (l *MachineLimits) validate(ps *Problems) {
	if l.MemoryMegabytes != 0 && !(l.MemoryMegabytes >= minMemoryMegabytes) {
		ps.add("limits.memoryMegabytes", "", "expected at least %d, or 0 if it is unknown, got %v", minMemoryMegabytes, l.MemoryMegabytes)
	}
	if l.FileDescriptors != 0 && l.FileDescriptors < minFileDescriptors {
		ps.add("limits.fileDescriptors", "", "expected at least %d, or 0 if it is unknown, got %d", minFileDescriptors, l.FileDescriptors)
	}
}

// maxCallers returns the maximum number of callers' connections, max at most, which leaves
// descriptors for backend servers, peers and the probe of readiness.
func (l *MachineLimits) maxCallers(max int) int {
	if l.FileDescriptors == 0 {
		return max
	}
	return min(max, int(callerDescriptorShare*float64(l.FileDescriptors)))
}

// MaxCallers returns the maximum number of callers' connections.
func (s *RelaySettings) MaxCallers() int { return s.Limits.maxCallers(s.Bounds.MaxConnections) }

// Duties are tasks that one relay at a time performs for the whole site.
const (
	// DutyUsage is to report the organisations' usage to the cloud API.
	DutyUsage = "usage_report"
	// DutyScaling is to scale the services' backend servers.
	DutyScaling = "scaling"
)

// RelayBounds are the time limits and resource limits that a relay guarantees.
type RelayBounds struct {
	// RevokeMillis is the time within which a revoked bearer key is refused; default
	// 5000.
	RevokeMillis float64 `json:"revokeMillis"`
	// ApplyMillis is the time within which a new version of the operators' document is
	// in force; default 2000.
	ApplyMillis float64 `json:"applyMillis"`
	// GraceSeconds is the time from the first termination signal to the end of the
	// process; default 8.
	GraceSeconds float64 `json:"graceSeconds"`
	// QuotaWindowSeconds is the length of the window of organisations' quotas;
	// default 8.
	QuotaWindowSeconds float64 `json:"quotaWindowSeconds"`
	// QuotaSlackTokens is the number of tokens that all relays together may let an
	// organisation spend in a window beyond its quota and a tenth of it, because they
	// learn late what the others let through; default 0.
	QuotaSlackTokens float64 `json:"quotaSlackTokens"`
	// UsageWindowSeconds is the length of the window of one usage report; default 5.
	UsageWindowSeconds float64 `json:"usageWindowSeconds"`
	// RepeatRatio and RepeatSlack are the retry budget of each service over all
	// relays: in RepeatWindowSeconds there are at most RepeatRatio retries per
	// request plus RepeatSlack. Defaults 0.2, 50 and 10.
	RepeatRatio         float64 `json:"repeatRatio"`
	RepeatSlack         float64 `json:"repeatSlack"`
	RepeatWindowSeconds float64 `json:"repeatWindowSeconds"`
	// LeaseMillis is the TTL of the lease on the duties, after which another relay
	// can take them over from a failed one; default 3000.
	LeaseMillis float64 `json:"leaseMillis"`
	// ExposureShare and ExposureSlack limit the requests that reach a bad software version
	// during a roll-out: ExposureShare of all requests of its service plus ExposureSlack.
	// RollbackMillis is the time within which it gets none any more. Default 0 each: no
	// roll-outs are carried out.
	ExposureShare  float64 `json:"exposureShare"`
	ExposureSlack  float64 `json:"exposureSlack"`
	RollbackMillis float64 `json:"rollbackMillis"`
	// MaxConnections is the maximum number of callers' connections; default 3000.
	MaxConnections int `json:"maxConnections"`
}

// defaultRelayConnections leaves enough file descriptors for connections to
// backend servers and peers.
const defaultRelayConnections = 3000

// SetDefaults sets the documented default values.
func (s *RelaySettings) SetDefaults() {
	s.Node.Region = defaultRegion
	s.Log.Level = defaultLogLevel
	s.Bounds = RelayBounds{
		RevokeMillis: 5000, ApplyMillis: 2000, GraceSeconds: 8, QuotaWindowSeconds: 8, UsageWindowSeconds: 5,
		RepeatRatio: 0.2, RepeatSlack: 50, RepeatWindowSeconds: 10, LeaseMillis: 3000, MaxConnections: defaultRelayConnections,
	}
}

// Validate returns all problems of the values.
func (s *RelaySettings) Validate() Problems {
	var ps Problems
	s.Node.validate(&ps)
	requireHostPort(&ps, "callers", s.Callers)
	requireHostPort(&ps, "readiness", s.Readiness)
	requireHostPort(&ps, "peers", s.Peers)
	requireHostPort(&ps, "store", s.Store)
	if s.Cloud != "" {
		requireHostPort(&ps, "cloud", s.Cloud)
	}
	if s.Metrics != "" {
		requireHostPort(&ps, "metrics", s.Metrics)
	}
	s.Bounds.validate(&ps)
	s.Limits.validate(&ps)
	s.Log.validate(&ps)
	return ps
}

func (b *RelayBounds) validate(ps *Problems) {
	for _, bound := range []struct {
		field string
		value float64
	}{
		{"bounds.revokeMillis", b.RevokeMillis}, {"bounds.applyMillis", b.ApplyMillis}, {"bounds.graceSeconds", b.GraceSeconds},
		{"bounds.quotaWindowSeconds", b.QuotaWindowSeconds}, {"bounds.usageWindowSeconds", b.UsageWindowSeconds},
		{"bounds.repeatWindowSeconds", b.RepeatWindowSeconds}, {"bounds.leaseMillis", b.LeaseMillis},
	} {
		if !(bound.value > 0) {
			ps.add(bound.field, "", "expected a number above 0, got %v", bound.value)
		}
	}
	if !(b.QuotaSlackTokens >= 0) {
		ps.add("bounds.quotaSlackTokens", "", "expected a number of at least 0, got %v", b.QuotaSlackTokens)
	}
	if !(b.ExposureShare >= 0 && b.ExposureShare <= 1) {
		ps.add("bounds.exposureShare", "", "expected a number from 0 to 1, got %v", b.ExposureShare)
	}
	if !(b.ExposureSlack >= 0) {
		ps.add("bounds.exposureSlack", "", "expected a number of 0 or above, got %v", b.ExposureSlack)
	}
	if !(b.RollbackMillis >= 0) || b.ExposureShare > 0 && b.RollbackMillis == 0 {
		ps.add("bounds.rollbackMillis", "", "expected a number above 0 beside exposureShare, got %v", b.RollbackMillis)
	}
	requireAtLeast(ps, "bounds.maxConnections", int64(b.MaxConnections), 1)
}

// RevocationDelay returns RevokeMillis as a duration.
func (b *RelayBounds) RevocationDelay() time.Duration {
	return floatDuration(b.RevokeMillis, time.Millisecond)
}

// ApplyDelay returns ApplyMillis as a duration.
func (b *RelayBounds) ApplyDelay() time.Duration {
	return floatDuration(b.ApplyMillis, time.Millisecond)
}

// GracePeriod returns GraceSeconds as a duration.
func (b *RelayBounds) GracePeriod() time.Duration { return floatDuration(b.GraceSeconds, time.Second) }

// QuotaWindow returns QuotaWindowSeconds as a duration.
func (b *RelayBounds) QuotaWindow() time.Duration {
	return floatDuration(b.QuotaWindowSeconds, time.Second)
}

// UsageWindow returns UsageWindowSeconds as a duration.
func (b *RelayBounds) UsageWindow() time.Duration {
	return floatDuration(b.UsageWindowSeconds, time.Second)
}

// RepeatWindow returns RepeatWindowSeconds as a duration.
func (b *RelayBounds) RepeatWindow() time.Duration {
	return floatDuration(b.RepeatWindowSeconds, time.Second)
}

// LeaseDuration returns LeaseMillis as a duration.
func (b *RelayBounds) LeaseDuration() time.Duration {
	return floatDuration(b.LeaseMillis, time.Millisecond)
}

// RollbackDelay returns RollbackMillis as a duration.
func (b *RelayBounds) RollbackDelay() time.Duration {
	return floatDuration(b.RollbackMillis, time.Millisecond)
}

func floatDuration(n float64, unit time.Duration) time.Duration {
	return time.Duration(n * float64(unit))
}

// MaxHandshakes returns the maximum number of connections of peers that are not
// authenticated yet; 0 is the default of the inner protocol.
func (s *RelaySettings) MaxHandshakes() int {
	return int(handshakeDescriptorShare * float64(s.Limits.FileDescriptors))
}

// MaxUpstream returns the maximum number of connections to backend servers; 0 is no limit.
func (s *RelaySettings) MaxUpstream() int {
	return int(upstreamDescriptorShare * float64(s.Limits.FileDescriptors))
}
