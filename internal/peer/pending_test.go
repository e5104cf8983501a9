package peer

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestStrangersThatStayGiveTheirPlaceToNodes(t *testing.T) {
	p := pendingHandshakes{max: 2}
	now := time.Unix(0, 0)
	strangers := make([]net.Conn, 3)
	for i := range strangers {
		strangers[i], _ = net.Pipe()
		require.Equal(t, i < 2, p.add(strangers[i], now))
	}
	node, _ := net.Pipe()
	require.True(t, p.add(node, now.Add(handshakePatience)))
	_, err := strangers[0].Write([]byte{1})
	require.Error(t, err, "the oldest is closed")
	p.remove(node)
	p.remove(strangers[1])
	require.Empty(t, p.list)
}
