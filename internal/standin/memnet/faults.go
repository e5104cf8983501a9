package memnet

// PartitionZones stalls all traffic between zones a and b until HealZones or
// HealAll.
func (n *Network) PartitionZones(a, b string) { n.setZonesPartitioned(a, b, true) }

// HealZones ends PartitionZones; stalled bytes are delivered.
func (n *Network) HealZones(a, b string) { n.setZonesPartitioned(a, b, false) }

// PartitionHost stalls all traffic between the host and other hosts until
// HealHost or HealAll.
func (n *Network) PartitionHost(name string) {
	n.update(func() { n.host(name).partitioned = true })
}

// HealHost ends PartitionHost; stalled bytes are delivered.
func (n *Network) HealHost(name string) {
	n.update(func() { n.host(name).partitioned = false })
}

// IsolateZone partitions the zone from every other zone known to the network,
// until HealAll.
func (n *Network) IsolateZone(zone string) {
	n.update(func() {
		for _, h := range n.hosts {
			if h.zone != zone {
				n.partitionedZones[zonePair(zone, h.zone)] = true
			}
		}
	})
}

// HealAll ends all partitions of zones and hosts; paused hosts stay paused.
func (n *Network) HealAll() {
	n.update(func() {
		clear(n.partitionedZones)
		clear(n.cuts)
		for _, h := range n.hosts {
			h.partitioned = false
		}
	})
}

// CutKind is what happens to the connections across a cut.
type CutKind int

const (
	// CutHangs stalls open connections and dials.
	CutHangs CutKind = iota + 1
	// CutResets resets open connections and dials.
	CutResets
	// CutRefusesNew keeps open connections and refuses dials.
	CutRefusesNew
)

// cut is a host that is cut off from another one, or from all of a zone.
type cut struct{ host, from string }

// CutHost cuts the host off from another one, or from all hosts of a zone, until HealCut or
// HealAll.
func (n *Network) CutHost(host, from string, kind CutKind) {
	n.update(func() { n.cuts[cut{host, from}] = kind })
	if kind != CutResets {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if n.cutOf(c.host, c.peer) == CutResets {
			c.reset(c.host)
			delete(n.conns, c)
		}
	}
}

// HealCut ends CutHost; stalled bytes are delivered.
func (n *Network) HealCut(host, from string) {
	n.update(func() { delete(n.cuts, cut{host, from}) })
}

// cutOf returns the cut between two hosts, 0 if there is none. Callers hold n.mu.
func (n *Network) cutOf(a, b *host) CutKind {
	return max(n.cuts[cut{a.name, b.zone}], n.cuts[cut{b.name, a.zone}], n.cuts[cut{a.name, b.name}], n.cuts[cut{b.name, a.name}])
}

// SilenceConnections stalls the open connections between a host and a zone for good.
// New connections work.
func (n *Network) SilenceConnections(host, zone string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.host.name == host && c.peer.zone == zone || c.peer.name == host && c.host.zone == zone {
			c.isSilent = true
			c.setStalled(true)
		}
	}
}

// PauseHost stalls delivery to and from the host, including its loopback
// traffic, until ResumeHost.
func (n *Network) PauseHost(name string) {
	n.update(func() { n.host(name).paused = true })
}

// ResumeHost ends PauseHost; stalled bytes are delivered.
func (n *Network) ResumeHost(name string) {
	n.update(func() { n.host(name).paused = false })
}

// ResetHost resets all connections of the host. Its listeners stay open and new
// dials succeed.
func (n *Network) ResetHost(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.resetConns(n.host(name))
}

// KillHost simulates that the host's process is killed: its listeners close, all
// its connections are reset and the views that Host returned for it fail. The
// other end of a connection sees the reset only while the path is not stalled.
func (n *Network) KillHost(name string) {
	n.mu.Lock()
	h := n.host(name)
	h.incarnation++
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

// resetConns resets all connections of h. Callers hold n.mu.
func (n *Network) resetConns(h *host) {
	for c := range n.conns {
		if c.host == h || c.peer == h {
			c.reset(h)
			// A stalled connection is kept, so that the other end sees the reset when
			// the path is open again.
			if n.open(c.host, c.peer) {
				delete(n.conns, c)
			}
		}
	}
}

func (n *Network) setZonesPartitioned(a, b string, partitioned bool) {
	n.update(func() {
		if partitioned {
			n.partitionedZones[zonePair(a, b)] = true
		} else {
			delete(n.partitionedZones, zonePair(a, b))
		}
	})
}

// update applies f, which changes the state of paths, and then updates every
// connection and wakes waiting dials.
func (n *Network) update(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
	for c := range n.conns {
		c.setStalled(c.isSilent || !n.open(c.host, c.peer))
	}
	close(n.changed)
	n.changed = make(chan struct{})
}

// zonePair returns the pair of zones in a fixed order, as a map key.
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
