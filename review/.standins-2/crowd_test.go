//go:build review

package platform

import (
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// crowdSize is below the callers' connections that the entry takes, half of its descriptors.
	crowdSize = 1900
	// crowdFieldBytes is the length of one header field of a crowd's request. The whole head is
	// within max_header_bytes, 16384.
	crowdFieldBytes = 15500
	// crowdRounds is the most times that a crowd comes to each entry, and crowdStay how long
	// it stays at most. fewestKills is the number of ends of a process that break the rule.
	crowdRounds = 8
	fewestKills = 3
	crowdStay   = 5 * time.Second
	// crowdWriters is the number of connections on which a crowd writes at a time.
	crowdWriters = 8
	// restartDelay is the time between the end of a process and its next start.
	restartDelay = 500 * time.Millisecond
	// memoryLimit is memory_mb of an entry VM in bytes, by the larger reading of MB.
	memoryLimit = reviewMemory << 20
)

// crowdSite has two entries, whose processes the platform kills when they exceed the memory of
// their VM, and starts again.
type crowdSite struct {
	*reviewSite
	server *fakeServer

	mu sync.Mutex
	// kills counts the kills by entry, and peaks holds the highest resident memory.
	kills map[string]int
	peaks map[string]int64
	// restarts is held while a process is replaced.
	restarts sync.Mutex
}

func newCrowdSite(t *testing.T, network string) *crowdSite {
	s := &crowdSite{reviewSite: newReviewSite(t, network), server: newFakeServer("e1", reviewService, "v1"), kills: map[string]int{}, peaks: map[string]int64{}}
	s.server.runDuration = 60 * time.Millisecond
	s.register("e1", reviewService, "z1", s.serve(network+".50", s.server), 64)
	s.writeConfig([]map[string]any{{"name": reviewService, "health_check_path": "/health", "max_connections": 360}},
		route("once", "/once/", kindNonIdempotent, 1, "timeout_ms", 15000))
	return s
}

// keepInMemory kills the process when it exceeds the memory, starts it again and waits until it
// is ready, until stop is closed.
func (s *crowdSite) keepInMemory(p *relayProcess, bootstrap bool, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(2 * time.Millisecond):
		}
		now := p.resident()
		s.mu.Lock()
		s.peaks[p.id] = max(s.peaks[p.id], now)
		s.mu.Unlock()
		if now <= memoryLimit && !p.hasEnded() {
			continue
		}
		s.mu.Lock()
		s.kills[p.id]++
		s.mu.Unlock()
		s.note("entry %s holds %d bytes, limit %d: killed", p.id, now, memoryLimit)
		_ = p.cmd.Process.Kill()
		<-p.exited
		time.Sleep(restartDelay)
		s.restarts.Lock()
		s.startRelay(p.id, p.zone, p.ip, bootstrap)
		s.restarts.Unlock()
		s.awaitReady(p)
	}
}

// ordinaryCaller sends a non-idempotent request each 50 ms until stop is closed, and returns how
// many were answered, and how many have run and got no answer.
func (s *crowdSite) ordinaryCaller(p *relayProcess, stop chan struct{}) (sent, answered, lost int) {
	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		select {
		case <-stop:
			return sent, answered, lost
		case <-time.After(50 * time.Millisecond):
		}
		attempt := fmt.Sprintf("%s-%d", p.id, sent)
		r, _ := http.NewRequest(http.MethodPost, "http://"+s.address(p, "callers")+"/once/ordinary", strings.NewReader("order"))
		r.Host = reviewHost
		r.Header.Set(headerAttemptID, attempt)
		r.Header.Set(headerAPIKey, reviewKey)
		r.Header.Set(headerDeadline, "4000")
		sent++
		resp, err := client.Do(r)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		switch {
		case err == nil && resp.StatusCode == http.StatusOK:
			answered++
		case err != nil && s.server.runCount(attempt) > 0:
			lost++
			s.note("ordinary request %s has run and got no answer: %v", attempt, err)
		}
	}
}

// crowd opens connections, sends on each what request returns, and keeps them open until the
// entry's process ends, for crowdStay at most.
func (s *crowdSite) crowd(p *relayProcess, request func(i int) []byte) {
	exited := s.exitOf(p)
	var conns []net.Conn
	defer func() {
		for _, c := range conns {
			_ = c.Close()
		}
	}()
	for range crowdSize {
		c, err := net.Dial("tcp", s.address(p, "callers"))
		if err != nil {
			break
		}
		conns = append(conns, c)
	}
	var writers sync.WaitGroup
	for w := range crowdWriters {
		writers.Go(func() {
			for i := w; i < len(conns); i += crowdWriters {
				_, _ = conns[i].Write(request(i)) // fails if the process has ended
			}
		})
	}
	writers.Wait()
	s.note("crowd at %s: %d connections, each has sent %d bytes", p.id, len(conns), len(request(0)))
	select {
	case <-exited:
	case <-time.After(crowdStay):
	}
}

// exitOf returns the channel that is closed when the entry's present process has ended.
func (s *crowdSite) exitOf(p *relayProcess) chan struct{} {
	s.restarts.Lock()
	defer s.restarts.Unlock()
	return p.exited
}

// killsOf returns how often the entry's process was killed.
func (s *crowdSite) killsOf(p *relayProcess) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.kills[p.id]
}

// play has the crowd come to each entry, crowdRounds times.
func (s *crowdSite) play(request func(i int) []byte) {
	stop := make(chan struct{})
	var background, crowds sync.WaitGroup
	for i := range 2 {
		p := s.startReady(fmt.Sprintf("front-z1-%d", i+1), "z1", fmt.Sprintf("%s.%d", strings.TrimSuffix(s.relayNetwork(), ".200"), 11+i), i == 0)
		s.note("entry %s holds %d bytes", p.id, p.resident())
		background.Go(func() { s.keepInMemory(p, i == 0, stop) })
		background.Go(func() {
			sent, answered, lost := s.ordinaryCaller(p, stop)
			s.note("ordinary requests at %s: %d sent, %d answered, %d have run and got no answer", p.id, sent, answered, lost)
		})
		crowds.Go(func() {
			time.Sleep(time.Second)
			for range crowdRounds {
				if s.killsOf(p) == fewestKills {
					return
				}
				s.crowd(p, request)
				time.Sleep(restartDelay + 1500*time.Millisecond)
			}
		})
	}
	crowds.Wait()
	close(stop)
	background.Wait()
	s.mu.Lock()
	kills, peaks := maps.Clone(s.kills), maps.Clone(s.peaks)
	s.mu.Unlock()
	isBroken := len(kills) >= 2
	for _, n := range kills {
		isBroken = isBroken && n >= fewestKills
	}
	s.result(isBroken, "kills for want of memory: %v; peaks of the resident memory: %v; limit %d", kills, peaks, memoryLimit)
}

// relayNetwork returns the host of the store.
func (s *crowdSite) relayNetwork() string {
	host, _, _ := net.SplitHostPort(s.storeAddress)
	return host
}

// TestReviewTrailers plays strangers without a key, at a path without a route. Their requests
// name very many trailers of their chunked body, which stops short of its end.
func TestReviewTrailers(t *testing.T) {
	s := newCrowdSite(t, "127.86.1")
	var names strings.Builder
	if hasTrouble() {
		const digits = "abcdefghijklmnopqrstuvwxyz0123456789"
		for i := 0; names.Len() < crowdFieldBytes-3; i++ {
			names.WriteString(string([]byte{digits[i/36/36%36], digits[i/36%36], digits[i%36], ','}))
		}
		names.WriteString("end")
	} else {
		names.WriteString(strings.Repeat("a", crowdFieldBytes))
	}
	s.note("%d trailers are named", strings.Count(names.String(), ",")+1)
	s.play(func(i int) []byte {
		return fmt.Appendf(nil, "POST /no/route/%d HTTP/1.1\r\nHost: %s\r\n%s: %016x\r\nTrailer: %s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcd",
			i, reviewHost, headerAttemptID, i, names.String())
	})
}

// TestReviewParts plays callers with a key whose prompts have very many short parts, and whose
// bodies stop one byte short of their end.
func TestReviewParts(t *testing.T) {
	s := newCrowdSite(t, "127.88.1")
	part := "a:1,"
	if !hasTrouble() {
		part = strings.Repeat("a", 496) + ":1,"
	}
	prefix := strings.TrimSuffix(strings.Repeat(part, crowdFieldBytes/len(part)), ",")
	s.note("prompts have %d parts", strings.Count(prefix, ",")+1)
	const bodyBytes = 2000
	s.play(func(i int) []byte {
		h := head(http.MethodPost, fmt.Sprintf("/once/%d", i), fmt.Sprintf("%016x", i), 15000, headerPromptPrefix+": "+prefix, fmt.Sprintf("Content-Length: %d", bodyBytes))
		return append(h, strings.Repeat("x", bodyBytes-1)...)
	})
}
