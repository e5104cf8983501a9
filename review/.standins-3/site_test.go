//go:build review

// Package platform: the stand-ins of the third review. The build script compiles this file
// and those of the cases as part of the package, with its stand-ins.
package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseSite is a small deployment: relay processes of the deploy file, and stand-ins of the
// store, the cloud API and the backend servers, all on loopback addresses.
type caseSite struct {
	t        *testing.T
	dir      string
	program  string
	trouble  bool
	started  time.Time
	store    *fakeStore
	cloud    *fakeCloud
	backends []*fakeServer
	relays   map[string]*caseRelay
	doc      *site // only its document is used

	storeAddress, cloudAddress string
	// storeProxies are the paths of the relays to the store, by relay.
	storeProxies map[string]*faultProxy

	mu     sync.Mutex
	record *os.File

	processesMu sync.Mutex
	processes   []*caseProcess
}

// caseProcess is a process that the case has started.
type caseProcess struct {
	cmd    *exec.Cmd
	exited chan struct{}
}

// caseRelay is one relay machine.
type caseRelay struct {
	id, zone, callers, readiness, settings string
	cmd                                    *exec.Cmd
	exited                                 chan struct{}
}

// runCase runs a case and exits with its result. A failure to set it up exits with 2, also that
// of a helper that ends the test, and so does a signal. No process of the case is left.
func runCase(t *testing.T, f func(s *caseSite) (isBroken bool, err error)) {
	code := exitNotRun
	s := &caseSite{
		t: t, trouble: os.Getenv("TROUBLE") != "0", started: time.Now(), program: os.Getenv("REVIEW_PROGRAM"),
		relays: map[string]*caseRelay{}, store: newFakeStore(), cloud: newFakeCloud(), storeProxies: map[string]*faultProxy{},
	}
	var err error
	if s.dir, err = os.MkdirTemp("", "review-3-"); err == nil {
		s.record, err = os.Create(os.Getenv("REVIEW_RECORD"))
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() { s.exit(exitNotRun, fmt.Errorf("stopped by a signal: %v", <-signals)) }()
	defer func() {
		if p := recover(); p != nil {
			code, err = exitNotRun, fmt.Errorf("panic: %v", p)
		}
		s.exit(code, err)
	}()
	if err != nil {
		return
	}
	s.doc = &site{t: t, store: s.store, doc: operatorDoc{keys: map[string][]string{siteOrg: {siteKey}}}}
	s.storeAddress, s.cloudAddress = s.serve(s.store), s.serve(s.cloud)
	var isBroken bool
	isBroken, err = f(s)
	switch {
	case err != nil:
	case isBroken:
		code = exitBroken
	default:
		code = exitHeld
	}
}

// exit ends all processes of the case, notes the result and exits with it.
func (s *caseSite) exit(code int, err error) {
	s.processesMu.Lock() // for good: nothing is started any more
	for _, p := range s.processes {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		<-p.exited
	}
	s.note("result", "exit", code, "error", err)
	if s.dir != "" && os.Getenv("REVIEW_KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	}
	os.Exit(code)
}

// note writes a line to the record: the time since the start and names with values.
func (s *caseSite) note(what string, pairs ...any) {
	line := fmt.Sprintf("%9.3f %s", time.Since(s.started).Seconds(), what)
	for i := 0; i+1 < len(pairs); i += 2 {
		line += fmt.Sprintf(" %v=%v", pairs[i], pairs[i+1])
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.record != nil {
		_, _ = fmt.Fprintln(s.record, line)
	}
	fmt.Println(line)
}

// serve serves h on a free port of the loopback address.
func (s *caseSite) serve(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.exit(exitNotRun, err)
	}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String()
}

// beatInterval is the time between two writes of a backend server's entry.
const beatInterval = 1200 * time.Millisecond

// caseBackend is a backend server, which registers itself while it runs.
type caseBackend struct {
	site              *caseSite
	id, zone, address string
	eventCount        int
	firstBeat         time.Duration
	mu                sync.Mutex
	server            *fakeServer
	http              *http.Server
	stopped           chan struct{}
}

// startBackend starts a backend server of a software version and registers it as ready.
func (s *caseSite) startBackend(id, zone, version string) (*caseBackend, error) {
	b := &caseBackend{site: s, id: id, zone: zone, address: freePort(s.t), firstBeat: time.Duration(len(s.backends)%6+1) * beatInterval / 6}
	return b, b.start(version)
}

// start starts the server under its ID and address. It registers before it takes requests.
func (b *caseBackend) start(version string) error {
	s, born, stopped := b.site, time.Now(), make(chan struct{})
	e := newFakeServer(b.id, appService, version)
	e.eventCount = b.eventCount
	l, err := net.Listen("tcp", b.address)
	if err != nil {
		return err
	}
	register := func(n int) {
		s.store.put(ServersPrefix+b.id, fmt.Sprintf(`{"service":"%s","address":"%s","zone":"%s","version":"%s","slots":64,"state":"ready","cold_remaining_ms":0,"sequence":%d,"born":%d}`,
			e.service, b.address, b.zone, version, n, born.UnixMilli()))
	}
	register(1)
	server := &http.Server{Handler: e}
	go func() { _ = server.Serve(l) }()
	go func() {
		// The servers of a service do not beat at the same time.
		for n, pause := 2, b.firstBeat; ; n, pause = n+1, beatInterval {
			select {
			case <-stopped:
				return
			case <-time.After(pause):
				register(n)
			}
		}
	}()
	b.mu.Lock()
	b.server, b.http, b.stopped = e, server, stopped
	b.mu.Unlock()
	s.mu.Lock()
	s.backends = append(s.backends, e)
	s.mu.Unlock()
	s.note("backend server started", "server", b.id, "version", version, "born", born.UnixMilli())
	return nil
}

// stop ends the server with all its connections.
func (b *caseBackend) stop() {
	close(b.stopped)
	_ = b.http.Close()
	b.site.note("backend server stopped", "server", b.id)
}

// addRelay writes the settings of a relay and starts it.
func (s *caseSite) addRelay(id, zone string, isFirstStart bool) (*caseRelay, error) {
	s.storeProxies[id] = newFaultProxy(s.t, s.storeAddress)
	r := &caseRelay{id: id, zone: zone, callers: freePort(s.t), readiness: freePort(s.t), settings: filepath.Join(s.dir, id+".json")}
	settings, err := json.Marshal(map[string]any{
		"node": map[string]string{"id": id, "zone": zone, "region": "r"}, "callers": r.callers, "readiness": r.readiness, "peers": freePort(s.t), "metrics": freePort(s.t),
		"store": s.storeProxies[id].address(), "cloud": s.cloudAddress, "duties": []string{"usage_report", "scaling"}, "bootstrap": isFirstStart,
		"bounds": map[string]any{
			"revokeMillis": 5000, "applyMillis": 2000, "graceSeconds": 8, "quotaWindowSeconds": 8, "quotaSlackTokens": 110000, "usageWindowSeconds": 5,
			"repeatRatio": 0.2, "repeatSlack": 52, "repeatWindowSeconds": 10, "leaseMillis": 3000,
		},
		"limits": map[string]any{"memoryMegabytes": 284, "fileDescriptors": 4100},
	})
	if err == nil {
		err = os.WriteFile(r.settings, settings, 0o600)
	}
	if err != nil {
		return nil, err
	}
	s.relays[id] = r
	return r, s.start(r)
}

// start starts the process of a relay.
func (s *caseSite) start(r *caseRelay) error {
	log, err := os.OpenFile(filepath.Join(s.dir, r.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(s.program)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + s.dir, "LANG=C.UTF-8", "BUCKTHORNPICK_SETTINGS=" + r.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	s.processesMu.Lock()
	defer s.processesMu.Unlock()
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	r.cmd, r.exited = cmd, exited
	s.processes = append(s.processes, &caseProcess{cmd, exited})
	go func() { _ = cmd.Wait(); close(exited) }()
	s.note("relay started", "relay", r.id)
	return nil
}

func (s *caseSite) signal(r *caseRelay, sig syscall.Signal) {
	if r.cmd != nil {
		_ = r.cmd.Process.Signal(sig)
	}
}

// kill kills the process of a relay and waits for its end.
func (s *caseSite) kill(r *caseRelay) {
	s.signal(r, syscall.SIGKILL)
	<-r.exited
	s.note("relay killed", "relay", r.id)
}

// awaitReady waits until the relay's readiness probe succeeds.
func (s *caseSite) awaitReady(r *caseRelay, limit time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + r.readiness + ReadinessPath)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			s.note("relay ready", "relay", r.id)
			return nil
		}
	}
	return fmt.Errorf("%s isn't ready after %s", r.id, limit)
}

// request sends one attempt of a caller on a connection of its own and notes the result.
func (s *caseSite) request(r *caseRelay, path, attempt, key string) reply {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.callers+path, strings.NewReader("body of "+attempt))
	if err != nil {
		return reply{err: err}
	}
	req.Host = siteHost
	req.Header.Set(headerAttemptID, attempt)
	req.Header.Set(headerAPIKey, key)
	req.Header.Set(headerDeadline, "4000")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, body: string(body), header: resp.Header, err: err}
}

// runs returns how often backend servers ran an attempt.
func (s *caseSite) runs(attempt string) int {
	n := 0
	for _, e := range s.backends {
		n += e.runCount(attempt)
	}
	return n
}
