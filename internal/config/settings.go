package config

import (
	"net"
	"net/url"
	"strings"
	"time"
)

// NodeSettings identify a process and its location.
type NodeSettings struct {
	// ID is unique among the nodes of the site; required.
	ID string `json:"id"`
	// Zone is the availability zone; required.
	Zone string `json:"zone"`
	// Region is a group of zones that are near each other; default "default".
	Region string `json:"region"`
}

// TLSSettings are the paths of a listener's certificate and key. The files are
// reloaded when they change. If both are empty, the listener uses plain TCP.
type TLSSettings struct {
	// CertFile is the path of the PEM certificate chain; default empty.
	CertFile string `json:"certFile"`
	// KeyFile is the path of the PEM private key; default empty.
	KeyFile string `json:"keyFile"`
}

// Enabled reports whether the listener uses TLS.
func (t TLSSettings) Enabled() bool { return t.CertFile != "" }

// AdminSettings configure the operators' listener.
type AdminSettings struct {
	// Address is the listener's "host:port"; default "127.0.0.1:9090".
	Address string `json:"address"`
	// Token is the operators' bearer token. If Token and TokenFile are both empty,
	// the operators' API is disabled and only metrics and health pages are served.
	Token string `json:"token"`
	// TokenFile is the path of a file with the token; default empty.
	TokenFile string `json:"tokenFile"`
	// Advertised is the base URL at which operators reach this listener;
	// default empty.
	Advertised string `json:"advertised"`
	// Pprof enables Go profiles under /debug/pprof/; default false.
	Pprof bool `json:"pprof"`
	// TLS configures the listener's certificate.
	TLS TLSSettings `json:"tls"`
}

// StoreSettings configure access to the platform's key-value service.
type StoreSettings struct {
	// URL is the base URL of its HTTP gateway; required.
	URL string `json:"url"`
	// Timeout bounds one call except watches; default "2s".
	Timeout Duration `json:"timeout"`
}

// CloudSettings configure access to the cloud API, which provides the list of VMs
// and the reclaim notices.
type CloudSettings struct {
	// URL is the base URL of the cloud API; required.
	URL string `json:"url"`
	// Timeout bounds one call; default "5s".
	Timeout Duration `json:"timeout"`
}

// LogSettings configure the log on standard output.
type LogSettings struct {
	// Level is "debug", "info", "warn" or "error"; default "info".
	Level string `json:"level"`
}

const (
	defaultRegion       = "default"
	defaultAdminAddress = "127.0.0.1:9090"
	defaultStoreTimeout = Duration(2 * time.Second)
	defaultCloudTimeout = Duration(5 * time.Second)
	defaultLogLevel     = "info"
)

func (n *NodeSettings) validate(ps *Problems) {
	requireValue(ps, "node.id", n.ID)
	requireValue(ps, "node.zone", n.Zone)
	requireValue(ps, "node.region", n.Region)
}

func (t *TLSSettings) validate(ps *Problems, field string) {
	if (t.CertFile == "") != (t.KeyFile == "") {
		ps.add(field, "", "expected both certFile and keyFile, or neither")
	}
}

func (a *AdminSettings) validate(ps *Problems) {
	requireHostPort(ps, "admin.address", a.Address)
	a.TLS.validate(ps, "admin.tls")
	if a.Advertised != "" {
		requireHTTPURL(ps, "admin.advertised", a.Advertised)
	}
	if a.Token != "" && a.TokenFile != "" {
		ps.add("admin.tokenFile", "", "expected either token or tokenFile, got both")
	}
}

func (s *StoreSettings) validate(ps *Problems) {
	requireHTTPURL(ps, "store.url", s.URL)
	requirePositive(ps, "store.timeout", s.Timeout)
}

func (c *CloudSettings) validate(ps *Problems) {
	requireHTTPURL(ps, "cloud.url", c.URL)
	requirePositive(ps, "cloud.timeout", c.Timeout)
}

func (l *LogSettings) validate(ps *Problems) {
	switch l.Level {
	case "debug", "info", "warn", "error":
	default:
		ps.add("log.level", "", "expected debug, info, warn or error, got %q", l.Level)
	}
}

func requireValue(ps *Problems, field, v string) {
	if strings.TrimSpace(v) == "" {
		ps.add(field, "", "expected a value, got none")
	}
}

func requireHostPort(ps *Problems, field, v string) {
	if _, _, err := net.SplitHostPort(v); err != nil {
		ps.add(field, "", "expected \"host:port\", got %q", v)
	}
}

func requireHTTPURL(ps *Problems, field, v string) {
	u, err := url.Parse(v)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		ps.add(field, "", "expected an http or https URL, got %q", v)
	}
}

func requirePositive(ps *Problems, field string, d Duration) {
	if d <= 0 {
		ps.add(field, "", "expected a duration above 0, got %q", d)
	}
}

func requireAtLeast(ps *Problems, field string, v, minimum int64) {
	if v < minimum {
		ps.add(field, "", "expected %d or more, got %d", minimum, v)
	}
}
