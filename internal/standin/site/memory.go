package site

import (
	"buckthornpick/internal/netx"
	"buckthornpick/internal/standin/memnet"
)

// memory is a Fabric on an in-memory network.
type memory struct{ network *memnet.Network }

// Memory returns a Fabric on the in-memory network n, which works in
// testing/synctest bubbles.
func Memory(n *memnet.Network) Fabric { return memory{network: n} }

func (m memory) Host(name, zone string) netx.Network { return m.network.Host(name, zone) }

func (m memory) Kill(host string) { m.network.KillHost(host) }

// Address implements Fabric. Each kind of listener has a fixed port.
func (m memory) Address(host, listener string) string {
	if listener == "peer" {
		return host + ":7070"
	}
	return host + ":8080"
}
