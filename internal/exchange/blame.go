package exchange

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"time"

	"buckthornpick/internal/blame"
	"buckthornpick/internal/peer"
	"buckthornpick/internal/relay"
)

const (
	// mismatchGrace is how long the evidence of an entry may differ from that of this one
	// before this one sends its own. Notices under way take less.
	mismatchGrace = 400 * time.Millisecond
	// maxRecordsPerMessage limits the evidence in one message.
	maxRecordsPerMessage = 250
)

// crashMessage reports the content of one run at a server that has crashed.
type crashMessage struct {
	Whole  blame.Key `msgpack:"c"`
	Server string    `msgpack:"s"`
	// RunID identifies the crash to entries of software versions without Crash.
	RunID string      `msgpack:"r"`
	Crash blame.Crash `msgpack:"i"`
	Parts []blame.Key `msgpack:"k,omitempty"`
}

// clearedMessage reports that a request with the key was answered, so that its crashes
// no longer count.
type clearedMessage struct {
	Key blame.Key `msgpack:"c"`
	// Record is unset in messages of earlier software versions.
	Record *blame.Record `msgpack:"r,omitempty"`
}

// evidenceMessage holds evidence that the receiver may have missed.
type evidenceMessage struct {
	Records []blame.Record `msgpack:"r"`
}

// trialRequest asks for the permission to try blocked content.
type trialRequest struct {
	Key blame.Key `msgpack:"k"`
}

type trialReply struct {
	IsPermitted bool         `msgpack:"p"`
	Record      blame.Record `msgpack:"r"`
}

// NotifyCrash implements relay.Peers.
func (x *Exchange) NotifyCrash(n relay.CrashNotice) {
	x.propagate(peer.RelayCrash, crashMessage{
		Whole: n.Content.Whole, Server: n.Server, RunID: strconv.FormatUint(uint64(n.Crash), 36), Crash: n.Crash, Parts: n.Content.Parts,
	}, peer.Node{})
}

// NotifyCleared implements relay.Peers.
func (x *Exchange) NotifyCleared(records []blame.Record) {
	for _, r := range records {
		x.propagate(peer.RelayCleared, clearedMessage{r.Key, &r}, peer.Node{})
	}
}

// propagate sends a notice to the entries that this one exchanges messages with,
// except the sender. A zero from means that the notice is this entry's own.
func (x *Exchange) propagate(kind peer.Kind, message any, from peer.Node) {
	p := x.currentPosition()
	isOwn := from.ID == ""
	if isOwn {
		x.sendTo(p.uplinks, kind, message)
	}
	if !p.isHub {
		return
	}
	if isOwn || from.Zone == x.self.Zone {
		x.sendTo(p.remoteHubs, kind, message)
	}
	for _, node := range x.zoneEntries(p) {
		if node.ID != from.ID {
			x.send(node, kind, message)
		}
	}
}

func (x *Exchange) receiveCrash(from peer.Node, decode func(any) error) {
	var m crashMessage
	if decode(&m) != nil {
		return
	}
	if m.Crash == 0 {
		m.Crash = blame.NewCrash(m.RunID, 0, time.Unix(0, 0), time.Second)
	}
	content := blame.Content{Whole: m.Whole, Parts: m.Parts}
	if len(x.Crashes.RecordCrash(m.Crash, 0, content.Keys())) == 0 {
		return
	}
	x.Log.Log(relay.EvContentCrashed, "content", m.Whole, "parts", m.Parts, "server", m.Server,
		"crashes", x.Crashes.MaxCrashCount(&content), "told_by", from.ID)
	x.propagate(peer.RelayCrash, m, from)
}

func (x *Exchange) receiveCleared(from peer.Node, decode func(any) error) {
	var m clearedMessage
	if decode(&m) != nil {
		return
	}
	if m.Record == nil {
		cleared := x.Crashes.RecordAnswered(&blame.Content{Whole: m.Key})
		if len(cleared) == 0 {
			return
		}
		m.Record = &cleared[0]
	} else if len(x.Crashes.Merge([]blame.Record{*m.Record})) == 0 {
		return
	}
	x.propagate(peer.RelayCleared, m, from)
}

// compareEvidence compares the digest of another entry's evidence with this one's. It
// sends all evidence if they have differed for longer than notices take, and at once to
// an entry that has just started.
func (x *Exchange) compareEvidence(from peer.Node, run string, digest uint64) {
	isEqual := digest == x.Crashes.Digest()
	now := x.Clock()
	x.mu.Lock()
	known, isKnown := x.evidence[from.ID]
	isNewRun := !isKnown || known.run != run
	if isNewRun || isEqual {
		known = comparedEvidence{run: run}
	}
	if !isEqual && known.differsSince == 0 {
		known.differsSince = now
	}
	isDue := !isEqual && (isNewRun || now-known.differsSince >= mismatchGrace)
	if isDue {
		known.differsSince = now
	}
	x.evidence[from.ID] = known
	x.mu.Unlock()
	if isDue {
		for chunk := range slices.Chunk(x.Crashes.Records(), maxRecordsPerMessage) {
			x.send(from, peer.RelayEvidence, evidenceMessage{chunk})
		}
	}
}

// comparedEvidence is the result of the last comparison with another entry.
type comparedEvidence struct {
	run string
	// differsSince is when the digests began to differ, or when the evidence was last
	// sent; 0 if they were equal.
	differsSince time.Duration
}

// forgetEvidenceLocked drops the comparisons with entries that send no messages any
// more.
func (x *Exchange) forgetEvidenceLocked(others []peer.Node) {
	if len(x.evidence) <= 2*(len(others)+1) {
		return
	}
	clear(x.evidence)
}

func (x *Exchange) receiveEvidence(_ peer.Node, decode func(any) error) {
	var m evidenceMessage
	if decode(&m) == nil {
		x.Crashes.Merge(m.Records)
	}
}

// trialCoordinator returns the entry that permits the trials of the whole site: the
// first by name that is not known to be unreachable. During a network partition each
// part of the site has one.
func (x *Exchange) trialCoordinator() peer.Node {
	first := x.self
	for _, node := range x.Entries.Others() {
		if cmp.Compare(node.ID, first.ID) < 0 && !x.Transport.IsUnreachable(node.ID) {
			first = node
		}
	}
	return first
}

// RequestTrial implements relay.Peers.
func (x *Exchange) RequestTrial(ctx context.Context, key blame.Key) bool {
	coordinator := x.trialCoordinator()
	if coordinator.ID == x.self.ID {
		_, isPermitted := x.Crashes.PermitTrial(key)
		return isPermitted
	}
	reply, err := peer.Call[trialReply](ctx, x.Transport, coordinator, peer.RelayTrial, trialRequest{key})
	if err != nil || !reply.IsPermitted {
		return false
	}
	x.Crashes.Merge([]blame.Record{reply.Record})
	return true
}

func (x *Exchange) serveTrial(_ context.Context, _ peer.Node, request trialRequest) (trialReply, error) {
	record, isPermitted := x.Crashes.PermitTrial(request.Key)
	return trialReply{isPermitted, record}, nil
}
