package entry_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/load"
	"buckthornpick/internal/netx"
	"buckthornpick/internal/standin/memnet"
	"buckthornpick/internal/standin/site"
)

// Stops two entries, one after the other, while callers send a mixed workload to all
// entries. Every request must complete on its own connection.
func TestPlannedStopsUnderLoadTruncateNoAnswer(t *testing.T) {
	withSite(t, nil, func(s *testSite) {
		w := &load.Workload{
			Name: "stop", RequestsPerSecond: 30, DurationSeconds: 12,
			Callers: []load.CallerSpec{{Organisation: "delta", Key: testKey, Weight: 1}},
			Classes: []load.Class{
				{Name: "review", Weight: 2, Model: testModel, PromptWords: 30, MaxTokens: 120, Stream: true},
				{Name: "rewrite", Weight: 1, Model: testModel, PromptWords: 30, MaxTokens: 60, NonRepeatable: true},
				{Name: "export", Weight: 1, Method: "POST", Path: exportPath, PromptWords: 5, NonRepeatable: true},
			},
		}
		first, second := s.Entries()[0], s.Entries()[4]
		time.AfterFunc(3*time.Second, first.Stop)
		time.AfterFunc(6*time.Second, second.Stop)
		client := &load.Client{HTTP: s.client, Balancer: s.anyReady()}
		results, err := load.Run(s.t.Context(), w, 1, client, nil)
		require.NoError(t, err)
		report := load.Summarise("stop", 0, results)
		require.Greater(t, report.Counts.Sent, 250)
		require.Equal(t, report.Counts.Sent, report.Counts.Completed, "%v", report.Problems)
		require.Zero(t, report.Counts.CutOff)
		require.Zero(t, s.requestsRunTwice())
		for _, e := range []*site.Entry{first, second} {
			<-e.Done()
		}
	})
}

// anyReady returns a balancer that distributes connections over the ready entries in
// turn.
func (s *testSite) anyReady() load.Balancer {
	return func(call, attempt int) string {
		entries := s.Entries()
		for i := range entries {
			if e := entries[(call+attempt+i)%len(entries)]; e.Node.Ready() == nil {
				return e.URL
			}
		}
		return entries[0].URL
	}
}

// slowFabric delays the data that one entry reads from callers.
type slowFabric struct {
	site.Fabric
	entry string
	fault memnet.ReadFault
}

func (f *slowFabric) Host(name, zone string) netx.Network {
	n := f.Fabric.Host(name, zone)
	if name != f.entry {
		return n
	}
	return memnet.SlowReads{Network: n, Address: f.Address(name, "http"), Fault: &f.fault}
}

// Requests are sent on kept connections from the start of the stop until these are
// closed. Each one that was read must be answered.
func TestRequestReadDuringPlannedStopIsAnswered(t *testing.T) {
	const conns, interval = 60, 10 * time.Millisecond
	fabric := &slowFabric{entry: "slow"}
	slow := func(o *site.Options) { fabric.Fabric, o.Fabric = o.Fabric, fabric }
	withSite(t, slow, func(s *testSite) {
		e, err := s.StartEntryOn(fabric.entry, "a")
		require.NoError(t, err)
		s.eventually("the entry is ready", func() bool { return e.Node.Ready() == nil })
		request := func(c net.Conn) bool {
			_, err := fmt.Fprintf(c, "GET /v1/requests/none HTTP/1.1\r\nHost: e\r\nAuthorization: Bearer %s\r\n\r\n", testKey)
			if err != nil {
				return false
			}
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			return err == nil && resp.Body.Close() == nil
		}
		var answered atomic.Int64
		var callers sync.WaitGroup
		stopAt := time.Now().Add(time.Second)
		for i := range conns {
			c, err := s.network.Host("caller", "a").Dial(s.t.Context(), fabric.Address(fabric.entry, "http"))
			require.NoError(t, err)
			require.True(t, request(c))
			callers.Go(func() {
				time.Sleep(time.Until(stopAt.Add(time.Duration(i) * interval)))
				if request(c) {
					answered.Add(1)
				}
				_ = c.Close()
			})
		}
		time.Sleep(time.Until(stopAt))
		fabric.fault.Reads.Store(0)
		fabric.fault.Delay.Store(int64(2 * interval))
		e.Stop()
		callers.Wait()
		<-e.Done()
		require.Equal(t, fabric.fault.Reads.Load(), answered.Load())
		require.Greater(t, answered.Load(), int64(1))
	})
}
