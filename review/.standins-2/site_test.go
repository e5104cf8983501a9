//go:build review

package platform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// The cases of the second review start relays of the build as separate processes, with
// stand-ins of the platform, of servers and of clients in the process of the test. All
// addresses are loopback addresses. A case ends with result, whose last line run.sh reads.

// reviewMemory and reviewDescriptors are those of an entry VM of the small sites.
const (
	reviewMemory      = 284
	reviewDescriptors = 4100
	reviewHost        = "shop.example"
	reviewKey         = "key-1"
	reviewOrg         = "org-1"
	reviewService     = "app"
)

// reviewSite is a small site: a store, a cloud, servers and relays.
type reviewSite struct {
	t      *testing.T
	dir    string
	store  *fakeStore
	relays map[string]*relayProcess

	storeAddress, cloudAddress string

	mu     sync.Mutex
	record *os.File
	start  time.Time
}

// relayProcess is a relay of the build.
type relayProcess struct {
	id, zone, ip string
	cmd          *exec.Cmd
	exited       chan struct{}
	logPath      string
}

// newReviewSite starts the store. The record goes to the file that REVIEW_RECORD names.
func newReviewSite(t *testing.T, network string) *reviewSite {
	record, err := os.Create(os.Getenv("REVIEW_RECORD"))
	if err != nil {
		t.Fatal(err)
	}
	s := &reviewSite{t: t, dir: t.TempDir(), store: newFakeStore(), relays: map[string]*relayProcess{}, record: record, start: time.Now()}
	t.Cleanup(s.stopAll)
	s.storeAddress = s.serve(network+".200", s.store)
	return s
}

// hasTrouble is false if the case is to be played without its disruption.
func hasTrouble() bool { return os.Getenv("TROUBLE") != "0" }

// note writes a line to the record.
func (s *reviewSite) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.record, "%8.3f  %s\n", time.Since(s.start).Seconds(), fmt.Sprintf(format, args...))
}

// result writes the last line of the record: broken, held or not-run.
func (s *reviewSite) result(isBroken bool, format string, args ...any) {
	verdict := "held"
	if isBroken {
		verdict = "broken"
	}
	s.note("%s", fmt.Sprintf(format, args...))
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintln(s.record, "RESULT", verdict)
}

// listen listens on a free port of a loopback address.
func (s *reviewSite) listen(ip string) net.Listener {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		s.t.Fatal(err)
	}
	return l
}

// serve serves h on a free port of a loopback address.
func (s *reviewSite) serve(ip string, h http.Handler) string {
	l := s.listen(ip)
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }()
	s.t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// choosePorts chooses ports that are free on the relay's address, all different.
func (s *reviewSite) choosePorts(p *relayProcess) {
	for _, name := range []string{"callers", "readiness", "peers", "metrics"} {
		l := s.listen(p.ip)
		defer func() { _ = l.Close() }() // once all are chosen
		port := strconv.Itoa(l.Addr().(*net.TCPAddr).Port)
		if err := os.WriteFile(filepath.Join(s.dir, p.id+"."+name), []byte(port), 0o600); err != nil {
			s.t.Fatal(err)
		}
	}
}

// register writes the entry of a ready server.
func (s *reviewSite) register(id, service, zone, address string, slots int) {
	s.store.put(ServersPrefix+id, fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":%d}`,
		service, address, zone, slots, time.Now().UnixMilli()))
}

// writeConfig writes the first configuration, with the limits that the pages show.
func (s *reviewSite) writeConfig(services []map[string]any, routes ...map[string]any) {
	text, err := json.Marshal(map[string]any{
		"version": 7, "services": services, "routes": routes,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": reviewOrg, "api_keys": []string{reviewKey}, "unit": "tokens", "plain_tokens": 200, "requests_per_s": 1e7, "burst": 1e7}},
	})
	if err != nil {
		s.t.Fatal(err)
	}
	s.store.put(DocumentKey, string(text))
}

// startRelay starts a relay with the command of the deploy file, and settings as its template
// renders them for a small site.
func (s *reviewSite) startRelay(id, zone, ip string, bootstrap bool) *relayProcess {
	p := s.relays[id]
	if p == nil {
		p = &relayProcess{id: id, zone: zone, ip: ip, logPath: filepath.Join(s.dir, id+".log")}
		s.relays[id] = p
		s.choosePorts(p)
	}
	settings := map[string]any{
		"node": map[string]any{"id": id, "zone": zone, "region": "r"}, "callers": s.address(p, "callers"), "readiness": s.address(p, "readiness"),
		"peers": s.address(p, "peers"), "metrics": s.address(p, "metrics"), "store": s.storeAddress, "duties": []string{"usage_report", "scaling"},
		"bounds": map[string]any{
			"revokeMillis": 5000, "applyMillis": 2000, "graceSeconds": 8, "quotaWindowSeconds": 8, "quotaSlackTokens": 110000, "usageWindowSeconds": 5,
			"repeatRatio": 0.2, "repeatSlack": 52, "repeatWindowSeconds": 10, "leaseMillis": 3000,
		},
		"limits": map[string]any{"memoryMegabytes": reviewMemory, "fileDescriptors": reviewDescriptors},
	}
	if s.cloudAddress != "" {
		settings["cloud"] = s.cloudAddress
	}
	if bootstrap {
		settings["bootstrap"] = true
	}
	text, err := json.Marshal(settings)
	if err != nil {
		s.t.Fatal(err)
	}
	path := filepath.Join(s.dir, id+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		s.t.Fatal(err)
	}
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		s.t.Fatal(err)
	}
	root := os.Getenv("REVIEW_ROOT")
	p.cmd = exec.Command(filepath.Join(root, "target/buckthornpick-relay"))
	p.cmd.Dir = root
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + s.dir, "BUCKTHORNPICK_SETTINGS=" + path}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	exited := make(chan struct{})
	p.exited = exited
	go func(c *exec.Cmd) { _ = c.Wait(); _ = log.Close(); close(exited) }(p.cmd)
	s.note("relay %s started, pid %d", id, p.cmd.Process.Pid)
	return p
}

func (s *reviewSite) address(p *relayProcess, port string) string {
	text, err := os.ReadFile(filepath.Join(s.dir, p.id+"."+port))
	if err != nil {
		s.t.Fatal(err)
	}
	return p.ip + ":" + string(text)
}

// stopAll ends all relays and closes the record.
func (s *reviewSite) stopAll() {
	for _, p := range s.relays {
		_ = p.cmd.Process.Kill()
		<-p.exited
		if path := os.Getenv("REVIEW_LOGS"); path != "" {
			text, _ := os.ReadFile(p.logPath)
			_ = os.WriteFile(filepath.Join(path, p.id+".log"), text, 0o600)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.record.Close()
}

// awaitReady waits until the relay is ready.
func (s *reviewSite) awaitReady(p *relayProcess) {
	if !s.isReadyWithin(p, 20*time.Second) {
		s.noteLog(p)
		s.t.Fatalf("relay %s is not ready", p.id)
	}
}

// startReady starts a relay and waits until it is ready. Another process may take one of its
// ports before it does; it is then started on other ones.
func (s *reviewSite) startReady(id, zone, ip string, bootstrap bool) *relayProcess {
	const tries, patience = 3, 6 * time.Second
	for try := 1; ; try++ {
		p := s.startRelay(id, zone, ip, bootstrap)
		if s.isReadyWithin(p, patience) {
			return p
		}
		s.noteLog(p)
		_ = p.cmd.Process.Kill()
		<-p.exited
		if try == tries {
			s.t.Fatalf("relay %s is not ready", id)
		}
		s.choosePorts(p)
	}
}

// noteLog writes the end of the relay's log to the record.
func (s *reviewSite) noteLog(p *relayProcess) {
	const lines = 5
	text, _ := os.ReadFile(p.logPath)
	list := strings.Split(strings.TrimSpace(string(text)), "\n")
	for _, line := range list[max(0, len(list)-lines):] {
		s.note("relay %s is not ready, log: %s", p.id, line)
	}
}

// isReadyWithin waits until the relay is ready, or has ended.
func (s *reviewSite) isReadyWithin(p *relayProcess, patience time.Duration) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(patience); time.Now().Before(end) && !p.hasEnded(); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + s.address(p, "readiness") + ReadinessPath)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			s.note("relay %s is ready", p.id)
			return true
		}
	}
	return false
}

// resident returns the resident memory of the relay in bytes, 0 if it has ended.
func (p *relayProcess) resident() int64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.cmd.Process.Pid))
	var size, pages int64
	_, _ = fmt.Sscan(string(text), &size, &pages)
	return pages * int64(os.Getpagesize())
}

// hasEnded reports whether the process has ended.
func (p *relayProcess) hasEnded() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// head returns the head of a client's request.
func head(method, path, attempt string, remaining int, fields ...string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s: %s\r\n", method, path, reviewHost, headerAttemptID, attempt, headerDeadline, remaining, headerAPIKey, reviewKey)
	b.WriteString(strings.Join(fields, "\r\n"))
	if len(fields) > 0 {
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}
