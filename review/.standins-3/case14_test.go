//go:build review

package platform

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestReviewCase14: two software versions serve side by side. Four times, two backend servers
// are moved in place to the other version, and a relay is killed while its callers' streams
// have just begun. The callers take them up at the other relays.
func TestReviewCase14(t *testing.T) {
	const (
		rounds   = 4
		streams  = 24 // a round
		events   = 300
		downtime = 2 * time.Second
		// killDelay is the time from the return of the backend servers to the kill.
		killDelay = 200 * time.Millisecond
		// allowed is the number of streams that may hold events of two versions.
		allowed = 2
	)
	runCase(t, func(s *caseSite) (isBroken bool, err error) {
		s.doc.doc.routes = []map[string]any{route("tail", "/tail/", kindStreaming, 2, "stream_resumption", true, "timeout_ms", 15000)}
		s.doc.writeDocument()
		backends := map[string]*caseBackend{}
		for i, zone := range []string{"a", "b", "c", "a", "b", "c"} {
			id, version := fmt.Sprint("e", i), "v1"
			if i >= 3 {
				version = "v2"
			}
			if backends[id], err = s.startBackend(id, zone, version); err != nil {
				return false, err
			}
			backends[id].eventCount = events
			backends[id].server.set(func(e *fakeServer) { e.eventCount = events })
		}
		for i, zone := range []string{"a", "b", "c"} {
			if _, err := s.addRelay(fmt.Sprint("n", i), zone, true); err != nil {
				return false, err
			}
		}
		for _, r := range s.relays {
			if err := s.awaitReady(r, 10*time.Second); err != nil {
				return false, err
			}
		}
		time.Sleep(5 * time.Second)

		var mu sync.Mutex
		joined, complete, takenUp := 0, 0, 0
		for round := range rounds {
			var callers sync.WaitGroup
			begin := func(i int) {
				c := &streamCaller{site: s, name: fmt.Sprint("r", round, "s", i)}
				c.play([]*caseRelay{s.relays["n0"], s.relays["n1"], s.relays["n2"]}, i)
				v1, v2 := strings.Count(c.stream, " v1\n"), strings.Count(c.stream, " v2\n")
				s.note("stream", "request", c.name, "tries", c.tries, "events_v1", v1, "events_v2", v2, "complete", c.isComplete)
				mu.Lock()
				defer mu.Unlock()
				if v1 > 0 && v2 > 0 {
					joined++
					s.note("a stream holds events of two versions", "request", c.name, "around_the_join", joinOf(c.stream))
				}
				if c.isComplete {
					complete++
				}
				if c.tries > 1 && c.isComplete {
					takenUp++
				}
			}
			backends["e0"].stop()
			backends["e1"].stop()
			time.Sleep(downtime + rand.N(time.Second)) // in no step with the relays' polls
			for _, id := range []string{"e0", "e1"} {
				if err := backends[id].start(fmt.Sprint("v", 2-round%2)); err != nil {
					return false, err
				}
			}
			back := time.Now()
			for i := range streams {
				callers.Go(func() {
					time.Sleep(time.Duration(i) * 4 * time.Millisecond)
					begin(i)
				})
			}
			time.Sleep(time.Until(back.Add(killDelay)))
			if s.trouble {
				r := s.relays["n0"]
				s.kill(r)
				time.Sleep(time.Second)
				if err := s.start(r); err != nil {
					return false, err
				}
			}
			callers.Wait()
			time.Sleep(2 * time.Second)
		}
		s.note("streams", "joined", joined, "complete", complete, "taken_up", takenUp, "of", rounds*streams)
		if complete == 0 {
			return false, fmt.Errorf("no stream is complete")
		}
		return joined > allowed, nil
	})
}

// streamCaller is a caller that takes its stream up again as the pages say.
type streamCaller struct {
	site       *caseSite
	name       string
	stream     string
	last       int
	first      string // the attempt that brought the first event
	tries      int
	isComplete bool
}

// play begins the stream at the first relay and takes it up at the others, for 12 s at most.
func (c *streamCaller) play(relays []*caseRelay, start int) {
	end := time.Now().Add(12 * time.Second)
	for c.tries < 5 && !c.isComplete && time.Until(end) > 100*time.Millisecond {
		r := relays[0]
		if c.tries > 0 {
			r = relays[1+(start+c.tries)%2]
		}
		pause := c.try(r, fmt.Sprint(c.name, "-", c.tries), time.Until(end))
		c.tries++
		if !c.isComplete {
			time.Sleep(min(pause, time.Until(end)/3))
		}
	}
}

// try sends one attempt and reads events until the end or a break. It returns when to come back.
func (c *streamCaller) try(r *caseRelay, attempt string, left time.Duration) (pause time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.callers+"/tail/", strings.NewReader("body of "+c.name))
	if err != nil {
		return time.Second
	}
	req.Host = siteHost
	req.Header.Set(headerAttemptID, attempt)
	req.Header.Set(headerAPIKey, siteKey)
	req.Header.Set(headerDeadline, fmt.Sprint(left.Milliseconds()))
	if c.last > 0 {
		req.Header.Set(headerLastEventID, strconv.Itoa(c.last))
		req.Header.Set(headerResumes, c.first)
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return 100 * time.Millisecond
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		c.site.note("not taken up", "relay", r.id, "request", attempt, "status", resp.StatusCode, "retry_after", seconds)
		return max(100*time.Millisecond, time.Duration(seconds*float64(time.Second)))
	}
	lines, event := bufio.NewReader(resp.Body), ""
	for {
		line, err := lines.ReadString('\n')
		event += line
		if line == "\n" {
			id, _, _ := strings.Cut(strings.TrimPrefix(event, "id: "), "\n")
			c.last, _ = strconv.Atoi(id)
			c.stream += event
			if c.first == "" {
				c.first = attempt
			}
			event = ""
		}
		if err != nil {
			c.isComplete = err.Error() == "EOF" && event == ""
			return 100 * time.Millisecond
		}
	}
}
