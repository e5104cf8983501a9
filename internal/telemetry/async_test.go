package telemetry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

// blockingWriter is a buffer whose writes block until open is closed.
type blockingWriter struct {
	open chan struct{}
	bytes.Buffer
}

func (g *blockingWriter) Write(p []byte) (int, error) {
	<-g.open
	return g.Buffer.Write(p)
}

func TestAsyncWriterKeepsOrderAndFlushesOnStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		a := NewAsyncWriter(&out, 100, 1000)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		var want strings.Builder
		line := func(n int) { _, _ = io.WriteString(io.MultiWriter(a, &want), fmt.Sprintln("line", n)) }
		line(0)
		go func() { done <- a.Run(ctx, func(_ io.Writer, n int) { t.Errorf("%d lines were dropped", n) }) }()
		line(1)
		a.Flush()
		require.Equal(t, want.String(), out.String())
		line(2)
		cancel()
		require.NoError(t, <-done)
		line(3)
		require.Equal(t, want.String(), out.String())
	})
}

func TestAsyncWriterDropsLinesWhenFull(t *testing.T) {
	for _, tc := range []struct {
		name               string
		maxLines, maxBytes int
	}{{"lines", 3, 1000}, {"bytes", 1000, len("line 0\n") * 3}} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				out := &blockingWriter{open: make(chan struct{})}
				a := NewAsyncWriter(out, tc.maxLines, tc.maxBytes)
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan error, 1)
				for i := range 8 {
					_, err := fmt.Fprintln(a, "line", i)
					require.NoError(t, err)
				}
				go func() {
					done <- a.Run(ctx, func(w io.Writer, n int) { NewLogger(w, slog.LevelInfo, "n", "z").Log(EvLinesDropped, "lines", n) })
				}()
				synctest.Wait()
				close(out.open)
				a.Flush()
				cancel()
				require.NoError(t, <-done)
				lines := strings.Split(strings.TrimSpace(out.String()), "\n")
				require.Equal(t, []string{"line 0", "line 1", "line 2"}, lines[:3])
				require.Len(t, lines, 4)
				require.Contains(t, lines[3], `"event":1010,"lines":5`)
			})
		})
	}
}

// BenchmarkLog logs one event with as many attributes as a routing decision has.
func BenchmarkLog(b *testing.B) {
	ev := Event{Number: 9999, Name: "bench", Level: slog.LevelInfo}
	log := NewLogger(io.Discard, slog.LevelInfo, "n", "z")
	b.ReportAllocs()
	for b.Loop() {
		log.Log(ev, "request", "00112233445566778899aabbccddeeff", "rule", "all", "server", "s", "reason", "load")
	}
}
