package tunnel

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"buckthornpick/internal/netx"
	"buckthornpick/internal/peer"
	"buckthornpick/internal/standin/memnet"
	"buckthornpick/internal/standin/rawserver"
	"buckthornpick/internal/telemetry"
)

// noPath is the network of a node that reaches no server.
type noPath struct{ netx.Network }

func (noPath) Dial(context.Context, string) (net.Conn, error) { return nil, errors.New("no path") }

// newTunnels returns the network of a node that reaches the TCP server at an address only by
// way of another node.
func newTunnels(t *testing.T, address string) *Network {
	inner := memnet.New(1)
	nodes := []peer.Node{{ID: "a", Address: "a:1"}, {ID: "b", Address: "b:1"}}
	networks := []*Network{New(noPath{}), New(netx.TCP{})}
	for i, n := range networks {
		transport := peer.New(nodes[i], inner.Host(nodes[i].ID, "z"), telemetry.Discard(), metrics.NewRegistry(), peer.Options{Secret: []byte("secret"), Window: 2})
		n.Attach(Config{
			Transport: transport, Log: telemetry.Discard(), Servers: func() []string { return []string{address} },
			Others: func() []peer.Node { return []peer.Node{nodes[1-i]} },
		})
		go func() { _ = transport.Run(t.Context()) }()
		go func() { _ = n.Run(t.Context()) }()
	}
	return networks[0]
}

// exchangeWith sends an upload of a size by way of another node, and returns what the server
// sends meanwhile.
func exchangeWith(t *testing.T, tunnels *Network, address string, size int) (string, error) {
	var c net.Conn
	require.Eventually(t, func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		var err error
		c, err = tunnels.Dial(ctx, address)
		return err == nil
	}, 5*time.Second, 20*time.Millisecond)
	defer func() { _ = c.Close() }()
	go func() { _, _ = c.Write(append([]byte("POST / HTTP/1.1\r\nHost: h\r\n\r\n"), make([]byte, size)...)) }()
	time.Sleep(100 * time.Millisecond) // a slow reader, for which the other node holds what comes
	data, err := io.ReadAll(c)
	return string(data), err
}

func TestTunnelledAnswersAreWholeOrBrokenOff(t *testing.T) {
	const calls = 5
	for name, size := range map[string]int{"64 KB": 64 << 10, "4 MB": 4 << 20} {
		t.Run("reset during an upload of "+name, func(t *testing.T) {
			address := rawserver.Serve(t, func(c *rawserver.Conn) {
				_, _ = c.ReadRequest()
				c.Send("a part")
				time.Sleep(time.Millisecond)
				c.Reset()
			})
			tunnels := newTunnels(t, address)
			for range calls {
				text, err := exchangeWith(t, tunnels, address, size)
				require.Error(t, err, text)
			}
		})
		t.Run("whole before the end of an upload of "+name, func(t *testing.T) {
			answer := string(make([]byte, 62<<10))
			address := rawserver.Serve(t, func(c *rawserver.Conn) {
				_, _ = c.ReadRequest()
				c.Send(answer)
				_ = c.CloseWrite()
				time.Sleep(20 * time.Millisecond) // until all of it has arrived
			})
			tunnels := newTunnels(t, address)
			for range calls {
				text, err := exchangeWith(t, tunnels, address, size)
				require.NoError(t, err)
				require.Equal(t, len(answer), len(text))
			}
		})
	}
}
