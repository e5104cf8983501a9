//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// The names and the key of the one tenant of a site.
const (
	tenantName = "hule930"
	tenantKey  = "i9n73hh2b9wu3fexd9dn"
	siteHost   = "ficu95.example"
)

// site is a small deployment: real relay processes, with stand-ins of everything else in
// this process.
type site struct {
	dir    string
	binary string
	store  *store
	relays []*relayProcess
	start  time.Time

	storeAddress, cloudAddress string

	mu     sync.Mutex
	record *os.File
}

// newSite returns a site with a store and a cloud. Lines of the record go to path.
func newSite(binary, path string) (*site, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	s := &site{dir: dir, binary: binary, store: newStore(), start: time.Now(), record: record}
	go s.store.run()
	if s.storeAddress, err = serve(s.store); err != nil {
		return nil, err
	}
	cloud := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, map[string]any{}) })
	if s.cloudAddress, err = serve(cloud); err != nil {
		return nil, err
	}
	return s, nil
}

// serve serves h on a free port of the loopback address.
func serve(h http.Handler) (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
	return l.Addr().String(), nil
}

// logf writes a line to the record.
func (s *site) logf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%9.3f s  %s\n", s.elapsed().Seconds(), fmt.Sprintf(format, args...))
}

func (s *site) elapsed() time.Duration { return time.Since(s.start) }

// summarize writes a line to the record and to the standard output.
func (s *site) summarize(format string, args ...any) {
	s.logf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// relayProcess is one process of the system.
type relayProcess struct {
	name, address, readiness string
	// settings and log are paths.
	settings, log string
	cmd           *exec.Cmd
}

// reservePorts returns free loopback addresses below the range of ephemeral ports.
func reservePorts(n int) ([]string, error) {
	var list []string
	first := 20_000 + os.Getpid()*53%9_000
	for port := first; len(list) < n && port < first+2_000; port++ {
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		list = append(list, address)
	}
	if len(list) < n {
		return nil, fmt.Errorf("no free ports")
	}
	return list, nil
}

// startRelays starts one process for each zone named, with settings as the template of the
// deploy file renders them, and waits until they are ready and know each other.
func (s *site) startRelays(zones ...string) error {
	ports, err := reservePorts(4 * len(zones))
	if err != nil {
		return err
	}
	for i, zone := range zones {
		p := &relayProcess{name: fmt.Sprintf("front-%s-%d", zone, i+1), address: ports[4*i], readiness: ports[4*i+1]}
		settings, err := json.MarshalIndent(map[string]any{
			"node":    map[string]string{"id": p.name, "zone": zone, "region": "pl-central"},
			"callers": p.address, "readiness": p.readiness, "peers": ports[4*i+2], "metrics": ports[4*i+3],
			"store": s.storeAddress, "cloud": s.cloudAddress, "duties": []string{"usage_report", "scaling"}, "bootstrap": true,
			"bounds": map[string]any{
				"revokeMillis": 5000, "applyMillis": 2000, "graceSeconds": 8, "quotaWindowSeconds": 8, "usageWindowSeconds": 5,
				"repeatRatio": 0.2, "repeatSlack": 52, "repeatWindowSeconds": 10, "leaseMillis": 3000,
			},
			"limits": map[string]any{"memoryMegabytes": 284, "fileDescriptors": 4100},
		}, "", "  ")
		if err != nil {
			return err
		}
		p.settings, p.log = filepath.Join(s.dir, p.name+".json"), filepath.Join(s.dir, p.name+".log")
		if err := os.WriteFile(p.settings, settings, 0o600); err != nil {
			return err
		}
		if err := s.startProcess(p); err != nil {
			return err
		}
		s.relays = append(s.relays, p)
	}
	if err := s.awaitReady(readyTimeout); err != nil {
		return err
	}
	time.Sleep(settleTime)
	return nil
}

// startProcess starts the process of a relay.
func (s *site) startProcess(p *relayProcess) error {
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(s.binary)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BUCKTHORNPICK_SETTINGS=" + p.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd = cmd
	s.logf("%s started, callers at %s", p.name, p.address)
	return nil
}

const (
	readyTimeout = 15 * time.Second
	settleTime   = 2 * time.Second
)

// awaitReady waits until all processes are ready.
func (s *site) awaitReady(timeout time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	end := time.Now().Add(timeout)
	for _, p := range s.relays {
		for {
			resp, err := client.Get("http://" + p.readiness + "/v1/readiness")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s isn't ready", p.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// close ends all processes.
func (s *site) close() {
	for _, p := range s.relays {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("settings and logs are in", s.dir)
	} else {
		_ = os.RemoveAll(s.dir)
	}
	_ = s.record.Close()
}

// writeConfig writes the operator's configuration.
func (s *site) writeConfig(version int, routes []map[string]any) {
	s.store.put("op/config", map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{"name": serviceName, "health_check_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": maxBodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{
			{"name": tenantName, "api_keys": []string{tenantKey}, "priority": 1, "unit": "tokens", "plain_tokens": 200, "requests_per_s": 1e7, "burst": 1e7},
		},
	})
	s.logf("the operator has written configuration %d", version)
}

const maxBodyBytes = 4194304

// newClient returns a caller with a connection of its own.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}, Timeout: 20 * time.Second}
}

// newRequest returns a request to a relay process.
func newRequest(p *relayProcess, path, attempt string, remainingMillis int, body io.Reader) *http.Request {
	r, err := http.NewRequest(http.MethodPost, "http://"+p.address+path, body)
	if err != nil {
		panic(err) // the arguments are constant but for the attempt
	}
	r.Host = siteHost
	r.Header.Set("X-Attempt-Id", attempt)
	r.Header.Set("X-Api-Key", tenantKey)
	r.Header.Set("X-Deadline-Remaining", strconv.Itoa(remainingMillis))
	return r
}
