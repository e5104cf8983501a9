package memnet

// CutZones stalls all traffic between zones a and b until HealZones.
func (n *Network) PartitionZones(a, b string) { n.setZones(a, b, true) }

// HealZones ends CutZones; stalled bytes arrive.
func (n *Network) HealZones(a, b string) { n.setZones(a, b, false) }

// CutHost stalls all traffic between the host and others until HealHost.
func (n *Network) PartitionHost(name string) {
	n.change(func() { n.host(name).cut = true })
}

// HealHost ends CutHost; stalled bytes arrive.
func (n *Network) HealHost(name string) {
	n.change(func() { n.host(name).cut = false })
}

// Isolate cuts the zone off from every other zone known to the network.
// HealAll ends it.
func (n *Network) IsolateZone(zone string) {
	n.change(func() {
		for _, h := range n.hosts {
			if h.zone != zone {
				n.cutZones[zonePair(zone, h.zone)] = true
			}
		}
	})
}

// HealAll ends all cuts of zones and hosts; paused hosts stay paused.
func (n *Network) HealAll() {
	n.change(func() {
		clear(n.cutZones)
		for _, h := range n.hosts {
			h.cut = false
		}
	})
}

// PauseHost stalls delivery to and from the host, loopback included, until
// ResumeHost.
func (n *Network) PauseHost(name string) {
	n.change(func() { n.host(name).paused = true })
}

// ResumeHost ends PauseHost; stalled bytes arrive.
func (n *Network) ResumeHost(name string) {
	n.change(func() { n.host(name).paused = false })
}

// ResetHost breaks all connections of the host with a reset. Its listeners
// stay, and new dials go through.
func (n *Network) ResetHost(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.resetConns(n.host(name))
}

// KillHost is the death of the host's process: its listeners close, all its
// connections are reset, and its views are dead. The other end of a connection
// learns of the reset when the path is open.
func (n *Network) KillHost(name string) {
	n.mu.Lock()
	h := n.host(name)
	h.life++
	n.resetConns(h)
	var closing []*listener
	for _, l := range n.listeners {
		if hostOf(l.address) == name {
			closing = append(closing, l)
		}
	}
	n.mu.Unlock()
	for _, l := range closing {
		l.Close()
	}
}

func (n *Network) resetConns(h *host) {
	for c := range n.conns {
		if c.host == h || c.peer == h {
			c.reset(h)
			// A stalled end must still learn of the reset when the path opens.
			if n.open(c.host, c.peer) {
				delete(n.conns, c)
			}
		}
	}
}

func (n *Network) setZones(a, b string, cut bool) {
	n.change(func() {
		if cut {
			n.cutZones[zonePair(a, b)] = true
		} else {
			delete(n.cutZones, zonePair(a, b))
		}
	})
}

// change applies f and then brings every connection and waiting dial in line
// with the new state.
func (n *Network) change(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
	for c := range n.conns {
		c.setStalled(!n.open(c.host, c.peer))
	}
	close(n.changed)
	n.changed = make(chan struct{})
}

func zonePair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

func hostOf(a addr) string {
	for i := len(a) - 1; i >= 0; i-- {
		if a[i] == ':' {
			return string(a[:i])
		}
	}
	return string(a)
}
