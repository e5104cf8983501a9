package config

import "time"

// RelaySettings is the settings file of buckthornpick-relay.
type RelaySettings struct {
	Node NodeSettings `json:"node"`
	// Callers is the "host:port" of the listener for callers.
	Callers string `json:"callers"`
	// Readiness is the "host:port" at which the balancer asks for readiness.
	Readiness string `json:"readiness"`
	// Peers is the "host:port" of the inner protocol among entries.
	Peers string `json:"peers"`
	// Metrics is the "host:port" of the metrics pages; default none.
	Metrics string `json:"metrics"`
	// Store is the "host:port" of the platform's store.
	Store string `json:"store"`
	// Cloud is the "host:port" of the platform's cloud API; default none, and
	// then no duty is carried out.
	Cloud  string      `json:"cloud"`
	Duties []string    `json:"duties"`
	Bounds RelayBounds `json:"bounds"`
	Log    LogSettings `json:"log"`
}

// Duties that an entry may carry out.
const (
	DutyUsage   = "usage_report"
	DutyScaling = "scaling"
)

// RelayBounds are what the site is promised.
type RelayBounds struct {
	// RevokeMillis is the time within which a key that was taken away is
	// refused; default 5000.
	RevokeMillis float64 `json:"revokeMillis"`
	// GraceSeconds is the time from the first signal to the end of the process;
	// default 8.
	GraceSeconds float64 `json:"graceSeconds"`
	// QuotaWindowSeconds is the span of organisations' quotas; default 8.
	QuotaWindowSeconds float64 `json:"quotaWindowSeconds"`
	// UsageWindowSeconds is the span of one report of usage; default 5.
	UsageWindowSeconds float64 `json:"usageWindowSeconds"`
	// RepeatRatio and RepeatSlack bound further sends of a service's requests in
	// RepeatWindowSeconds, over all entries; default 0.2, 50 and 10.
	RepeatRatio         float64 `json:"repeatRatio"`
	RepeatSlack         float64 `json:"repeatSlack"`
	RepeatWindowSeconds float64 `json:"repeatWindowSeconds"`
	// LeaseMillis is the time after which the duties of a lost entry are free;
	// default 3000.
	LeaseMillis float64 `json:"leaseMillis"`
	// MaxConnections bounds callers' connections; default 3000.
	MaxConnections int `json:"maxConnections"`
}

// defaultRelayConnections leaves descriptors for backend servers and peers.
const defaultRelayConnections = 3000

// SetDefaults fills in the documented defaults.
func (s *RelaySettings) SetDefaults() {
	s.Node.Region = defaultRegion
	s.Log.Level = defaultLogLevel
	s.Bounds = RelayBounds{
		RevokeMillis: 5000, GraceSeconds: 8, QuotaWindowSeconds: 8, UsageWindowSeconds: 5,
		RepeatRatio: 0.2, RepeatSlack: 50, RepeatWindowSeconds: 10, LeaseMillis: 3000, MaxConnections: defaultRelayConnections,
	}
}

// Validate returns every fault of the values.
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
	s.Log.validate(&ps)
	return ps
}

func (b *RelayBounds) validate(ps *Problems) {
	for _, bound := range []struct {
		field string
		value float64
	}{
		{"bounds.revokeMillis", b.RevokeMillis}, {"bounds.graceSeconds", b.GraceSeconds},
		{"bounds.quotaWindowSeconds", b.QuotaWindowSeconds}, {"bounds.usageWindowSeconds", b.UsageWindowSeconds},
		{"bounds.repeatWindowSeconds", b.RepeatWindowSeconds}, {"bounds.leaseMillis", b.LeaseMillis},
	} {
		if !(bound.value > 0) {
			ps.add(bound.field, "", "expected a number above 0, got %v", bound.value)
		}
	}
	requireAtLeast(ps, "bounds.maxConnections", int64(b.MaxConnections), 1)
}

// Revoke is RevokeMillis as a duration.
func (b *RelayBounds) RevocationDelay() time.Duration {
	return floatDuration(b.RevokeMillis, time.Millisecond)
}

// Grace is GraceSeconds as a duration.
func (b *RelayBounds) GracePeriod() time.Duration { return floatDuration(b.GraceSeconds, time.Second) }

// QuotaWindow is QuotaWindowSeconds as a duration.
func (b *RelayBounds) QuotaWindow() time.Duration {
	return floatDuration(b.QuotaWindowSeconds, time.Second)
}

// UsageWindow is UsageWindowSeconds as a duration.
func (b *RelayBounds) UsageWindow() time.Duration {
	return floatDuration(b.UsageWindowSeconds, time.Second)
}

// RepeatWindow is RepeatWindowSeconds as a duration.
func (b *RelayBounds) RepeatWindow() time.Duration {
	return floatDuration(b.RepeatWindowSeconds, time.Second)
}

// Lease is LeaseMillis as a duration.
func (b *RelayBounds) LeaseDuration() time.Duration {
	return floatDuration(b.LeaseMillis, time.Millisecond)
}

func floatDuration(n float64, unit time.Duration) time.Duration {
	return time.Duration(n * float64(unit))
}
