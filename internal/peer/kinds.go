package peer

import "strconv"

// Kind is the kind of a stream or notification; it selects the handler on the
// receiving node. The numbers are part of the protocol and must not change.
type Kind uint16

// Kinds of the inner protocol.
const (
	// Submit forwards an accepted request to its owner, the entry that runs it.
	Submit Kind = 1
	// Attach streams the answer of a request from its owner.
	Attach Kind = 2
	// Transfer hands running requests over to a new owner.
	Transfer Kind = 3
	// Gossip disseminates load reports and counters.
	Gossip Kind = 4
	// ConfigPull fetches the operators' document from a peer.
	ConfigPull Kind = 5
	// ClaimCommit sends a batch of claims to the node that writes the claims of
	// the zone to the store.
	ClaimCommit Kind = 6
	// Locate asks a node whether it knows a request.
	Locate Kind = 7
	// Cancel cancels a request at its owner.
	Cancel Kind = 8
	// ConfigAnnounce announces the sender's revision of the operators' document.
	ConfigAnnounce Kind = 9
	// InventoryPull fetches the VM list and reclaim notices from a peer.
	InventoryPull Kind = 10
	// InventoryAnnounce announces the sender's version of the VM list.
	InventoryAnnounce Kind = 11
	// TableAnnounce announces the sender's revision of the table of members.
	TableAnnounce Kind = 12
	// TablePull fetches the table of members from a peer.
	TablePull Kind = 13
	// GossipCompare exchanges the versions of the gossiped values
	// (anti-entropy).
	GossipCompare Kind = 14
	// CrashMark reports that a request's content crashed a backend server.
	CrashMark Kind = 15
	// CrashClear reports that marked content was processed without a crash.
	CrashClear Kind = 16
	// TrialBegin asks the coordinator for permission to run marked content.
	TrialBegin Kind = 17
	// TrialEnd releases the permission granted by TrialBegin.
	TrialEnd Kind = 18
	// Depart asks a node to remove the sender from the table of members.
	Depart Kind = 19
	// DemandPull asks a member of the zone for its load by service.
	DemandPull Kind = 20
	// RelayState disseminates a relay's totals and loads.
	RelayState Kind = 21
	// RelayCrash reports to relays that content crashed a backend server.
	RelayCrash Kind = 22
	// RelayCleared reports to relays that marked content was processed without a
	// crash.
	RelayCleared Kind = 23
	// RelayPoll asks a watcher, an entry that polls the store for others in its zone,
	// for the changes that it has read.
	RelayPoll Kind = 24
	// RelaySums disseminates the sums of several relays' totals and loads.
	RelaySums Kind = 25
	// RelayOrigins reports which servers began streams, to entries that keep it.
	RelayOrigins Kind = 26
	// RelayOriginQuery asks which servers began a stream.
	RelayOriginQuery Kind = 27
	// RelayEvidence passes on the evidence against content that crashes backend servers.
	RelayEvidence Kind = 28
	// RelayTrial asks for the permission to try content that has crashed servers.
	RelayTrial Kind = 29
	// PartTrial asks the coordinator for permission to try a blocked part of prompts.
	PartTrial Kind = 30
	// RelayPermit asks for the permission to send a request to a server with a limit.
	RelayPermit Kind = 31
	// RelayDetour asks an entry to make a call to a backend server for the sender.
	RelayDetour Kind = 32
	// RelayBrittle reports that servers of a service fall over if they turn requests away.
	RelayBrittle Kind = 33
	// RelayPlace gives a place at a brittle server back.
	RelayPlace Kind = 34
	// Tunnel asks a node to open a connection to a backend server.
	Tunnel Kind = 35
)

var kindNames = map[Kind]string{
	Submit: "submit", Attach: "attach", Transfer: "transfer", Gossip: "gossip",
	ConfigPull: "config-pull", ClaimCommit: "claim-commit", Locate: "locate",
	Cancel: "cancel", ConfigAnnounce: "config-announce", InventoryPull: "inventory-pull",
	InventoryAnnounce: "inventory-announce", TableAnnounce: "table-announce", TablePull: "table-pull",
	GossipCompare: "gossip-compare", CrashMark: "crash-mark", CrashClear: "crash-clear",
	TrialBegin: "trial-begin", TrialEnd: "trial-end", Depart: "depart",
	DemandPull: "demand-pull", RelayState: "relay-state", RelayCrash: "relay-crash",
	RelayCleared: "relay-cleared", RelayPoll: "relay-poll", RelaySums: "relay-sums",
	RelayOrigins: "relay-origins", RelayOriginQuery: "relay-origin-query",
	RelayEvidence: "relay-evidence", RelayTrial: "relay-trial", PartTrial: "part-trial",
	RelayPermit: "relay-permit", RelayDetour: "relay-detour", RelayBrittle: "relay-brittle", RelayPlace: "relay-place", Tunnel: "tunnel",
}

// String returns the kind's name, or its number if it has none.
func (k Kind) String() string {
	if name, ok := kindNames[k]; ok {
		return name
	}
	return "kind-" + strconv.Itoa(int(k))
}
