package claim

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// BenchmarkOpenLoop commits claims at a fixed total rate, spread over all nodes
// of one zone, for three seconds of real time. The store latency is 2 ms.
func BenchmarkOpenLoop(b *testing.B) {
	for _, nodes := range []int{1, 10, 50, 100} {
		for _, rate := range []int{100, 1125, 5000} {
			b.Run(fmt.Sprintf("nodes=%d/rate=%d", nodes, rate), func(b *testing.B) {
				for range b.N {
					openLoop(b, nodes, rate, 3*time.Second)
				}
			})
		}
	}
}

func openLoop(b *testing.B, nodes, rate int, length time.Duration) {
	s := newSite(nodes, Config{})
	defer s.stop()
	for i, n := range s.nodes {
		n.setWriter(s.nodes[0])
		s.assign(i, i)
	}
	for i, n := range s.nodes {
		s.deliver(n, 0)
		if _, _, err := n.Lookup(context.Background(), testID(i, 0)); err != nil {
			b.Fatal(err)
		}
	}
	var mu sync.Mutex
	latency := hdrhistogram.New(1, int64(10*time.Second), 3)
	txns, began := s.store.txns, time.Now()
	var wg sync.WaitGroup
	sent := 0
	for time.Since(began) < length {
		for due := int(time.Since(began).Seconds() * float64(rate)); sent < due; sent++ {
			n, i, id := s.nodes[sent%nodes], sent%nodes, sent
			wg.Go(func() {
				start := time.Now()
				err := n.Commit(context.Background(), n.claim(testID(i, id), 1))
				took := time.Since(start)
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					b.Error(err)
				}
				_ = latency.RecordValue(int64(took))
			})
		}
		time.Sleep(time.Millisecond)
	}
	wg.Wait()
	took := time.Since(began).Seconds()
	ms := func(q float64) float64 { return float64(latency.ValueAtQuantile(q)) / 1e6 }
	b.ReportMetric(float64(sent)/took, "claims/s")
	b.ReportMetric(float64(s.store.txns-txns)/took, "writes/s")
	b.ReportMetric(ms(50), "p50-ms")
	b.ReportMetric(ms(99), "p99-ms")
	b.ReportMetric(float64(entriesSize(s.store.list("claims/").Entries))/float64(sent), "bytes/claim")
}
