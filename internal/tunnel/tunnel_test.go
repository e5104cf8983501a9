package tunnel

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"buckthornpick/internal/peer"
	"buckthornpick/internal/standin/memnet"
	"buckthornpick/internal/telemetry"
)

// A connection by way of another node must tell the server's regular end from a break, and
// no address but a server's may be reached.
func TestTunnelEndsAsTheServersConnectionDoes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		network := memnet.New(1)
		nodes := map[string]peer.Node{"a": {ID: "a", Address: "a:1"}, "b": {ID: "b", Address: "b:1"}}
		var dialler *Network
		for id, self := range nodes {
			n := New(network.Host(id, "z"))
			transport := peer.New(self, network.Host(id, "z"), telemetry.Discard(), metrics.NewRegistry(), peer.Options{Secret: []byte("secret")})
			n.Attach(Config{
				Transport: transport, Log: telemetry.Discard(), Servers: func() []string { return []string{"s:1"} },
				Others: func() []peer.Node { return []peer.Node{nodes[map[string]string{"a": "b", "b": "a"}[id]]} },
			})
			go func() { _ = transport.Run(ctx) }()
			go func() { _ = n.Run(ctx) }()
			if id == "a" {
				dialler = n
			}
		}
		for _, address := range []string{"s:1", "other:1"} {
			l, err := network.Host(address[:len(address)-2], "servers").Listen(address)
			require.NoError(t, err)
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					_, _ = io.WriteString(c, "whole")
					_ = c.Close()
				}
			}()
			defer func() { _ = l.Close() }()
		}
		time.Sleep(time.Second) // until the nodes listen
		network.CutHost("a", "servers", memnet.CutRefusesNew)
		for _, address := range []string{"s:1", "other:1"} { // the only server loses the path
			dialCtx, cancel := context.WithTimeout(ctx, time.Second)
			c, err := dialler.Dial(dialCtx, address)
			cancel()
			if address == "other:1" || !dialler.path.IsLost() {
				require.Error(t, err)
				continue
			}
			require.NoError(t, err)
			data, err := io.ReadAll(c)
			require.NoError(t, err)
			require.Equal(t, "whole", string(data))
			require.NoError(t, c.Close())
		}
		network.HealAll()
		time.Sleep(time.Second)
		_, _ = dialler.Dial(ctx, "s:1")
		time.Sleep(time.Second)
		require.False(t, dialler.path.IsLost())
	})
}
