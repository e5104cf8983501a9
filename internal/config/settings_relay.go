// Package relayd makes a relay process from its settings file.
package relayd

import (
	"net"
	"time"

	"buckthornpick/internal/config"
)

// Settings is the settings file of buckthornpick-relay.
type Settings struct {
	Node config.NodeSettings `json:"node"`
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
	Cloud  string             `json:"cloud"`
	Duties []string           `json:"duties"`
	Bounds BoundSettings      `json:"bounds"`
	Log    config.LogSettings `json:"log"`
}

// Duties that an entry may carry out.
const (
	DutyUsage   = "usage_report"
	DutyScaling = "scaling"
)

// BoundSettings are what the site is promised.
type BoundSettings struct {
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

const (
	defaultMaxConnections = 3000
	defaultRegion         = "default"
)

// SetDefaults fills in the documented defaults.
func (s *Settings) SetDefaults() {
	s.Node.Region = defaultRegion
	s.Log.Level = "info"
	s.Bounds = BoundSettings{
		RevokeMillis: 5000, GraceSeconds: 8, QuotaWindowSeconds: 8, UsageWindowSeconds: 5,
		RepeatRatio: 0.2, RepeatSlack: 50, RepeatWindowSeconds: 10, LeaseMillis: 3000, MaxConnections: defaultMaxConnections,
	}
}

// Validate returns every fault of the values.
func (s *Settings) Validate() config.Problems {
	var ps config.Problems
	add := func(field, message string) {
		ps = append(ps, config.Problem{Field: field, Message: message})
	}
	if s.Node.ID == "" {
		add("node.id", "expected a value, got none")
	}
	if s.Node.Zone == "" {
		add("node.zone", "expected a value, got none")
	}
	for field, address := range map[string]string{
		"callers": s.Callers, "readiness": s.Readiness, "peers": s.Peers, "store": s.Store,
	} {
		if _, _, err := net.SplitHostPort(address); err != nil {
			add(field, "expected \"host:port\", got \""+address+"\"")
		}
	}
	for field, value := range map[string]float64{
		"bounds.revokeMillis": s.Bounds.RevokeMillis, "bounds.graceSeconds": s.Bounds.GraceSeconds,
		"bounds.quotaWindowSeconds": s.Bounds.QuotaWindowSeconds, "bounds.usageWindowSeconds": s.Bounds.UsageWindowSeconds,
		"bounds.repeatWindowSeconds": s.Bounds.RepeatWindowSeconds, "bounds.leaseMillis": s.Bounds.LeaseMillis,
	} {
		if !(value > 0) {
			add(field, "expected a number above 0")
		}
	}
	if s.Bounds.MaxConnections < 1 {
		add("bounds.maxConnections", "expected 1 or more")
	}
	return ps
}

func millis(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
