package peer

import (
	"context"
	"net"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"

	"buckthornpick/internal/netx"
	"buckthornpick/internal/telemetry"
)

func newLoopbackPair(b *testing.B) (*Transport, *Transport) {
	var out [2]*Transport
	for i, id := range []string{"a", "b"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		address := l.Addr().String()
		_ = l.Close()
		out[i] = New(Node{ID: id, Zone: "z", Address: address}, netx.TCP{}, telemetry.Discard(),
			metrics.NewRegistry(), Options{Secret: []byte("secret")})
	}
	return out[0], out[1]
}

func BenchmarkStream200Bytes(b *testing.B) {
	from, to := newLoopbackPair(b)
	msg := strings.Repeat("x", 200)
	to.Handle(Attach, func(ctx context.Context, _ Node, s *Stream) error {
		for range b.N {
			if err := s.Send(ctx, msg); err != nil {
				return err
			}
		}
		return nil
	})
	start(b, from, to)
	if _, err := from.connect(context.Background(), to.self); err != nil {
		b.Fatal(err)
	}
	b.ResetTimer()
	s, err := from.Open(context.Background(), to.self, Attach, 1)
	if err != nil {
		b.Fatal(err)
	}
	var got string
	for range b.N {
		if err := s.Recv(context.Background(), &got); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "messages/s")
}

func BenchmarkCall(b *testing.B) {
	from, to := newLoopbackPair(b)
	to.Handle(Submit, HandleCall(echo))
	start(b, from, to)
	for range b.N {
		if _, err := Call[string](context.Background(), from, to.self, Submit, "x"); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkCallParallel(b *testing.B) {
	from, to := newLoopbackPair(b)
	to.Handle(Submit, HandleCall(echo))
	start(b, from, to)
	b.SetParallelism(16)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := Call[string](context.Background(), from, to.self, Submit, "x"); err != nil {
				b.Error(err)
				return
			}
		}
	})
}
