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
	// before this one sends its own, and between two times of sending it. Notices under
	// way take less.
	mismatchGrace = 400 * time.Millisecond
	// evidenceOverlap is how much older evidence is sent than what this entry has learned
	// since the evidence was last equal or sent.
	evidenceOverlap = time.Second
	// sendAllEvery: one in so many times, everything since the evidence was equal is sent.
	sendAllEvery = 5
	// maxRecordsPerMessage limits the evidence in one message.
	maxRecordsPerMessage = 250
)

// crashMessage reports the content of the runs at a server that has crashed. Earlier
// software versions know the whole content of one run only.
type crashMessage struct {
	Whole  blame.Key `msgpack:"c"`
	Server string    `msgpack:"s"`
	// RunID identifies the crash to entries of earlier versions.
	RunID    string          `msgpack:"r"`
	Crash    blame.Crash     `msgpack:"i"`
	Contents []blame.Content `msgpack:"k,omitempty"`
}

// clearedMessage reports that a request was answered, so that the crashes against its
// content no longer count. Earlier software versions know one key without its records.
type clearedMessage struct {
	Key     blame.Key      `msgpack:"c"`
	Records []blame.Record `msgpack:"r,omitempty"`
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
		Whole: n.Contents[0].Whole, Server: n.Server, RunID: strconv.FormatUint(uint64(n.Crash), 36), Crash: n.Crash, Contents: n.Contents,
	}, peer.Node{})
}

// NotifyCleared implements relay.Peers.
func (x *Exchange) NotifyCleared(records []blame.Record) {
	x.propagate(peer.RelayCleared, clearedMessage{records[0].Key, records}, peer.Node{})
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
	if len(m.Contents) == 0 {
		m.Contents = []blame.Content{{Whole: m.Whole}}
	}
	isNew, crashes := false, 0
	for _, content := range m.Contents {
		isNew = len(x.Crashes.RecordCrash(m.Crash, 0, content.Keys())) > 0 || isNew
		crashes = max(crashes, x.Crashes.MaxCrashCount(&content))
	}
	if !isNew {
		return
	}
	x.Log.Log(relay.EvContentCrashed, "server", m.Server, "runs", len(m.Contents), "crashes", crashes, "told_by", from.ID)
	x.propagate(peer.RelayCrash, m, from)
}

func (x *Exchange) receiveCleared(from peer.Node, decode func(any) error) {
	var m clearedMessage
	if decode(&m) != nil {
		return
	}
	if len(m.Records) == 0 {
		m.Records = x.Crashes.RecordAnswered(&blame.Content{Whole: m.Key})
	} else {
		m.Records = x.Crashes.Merge(m.Records)
	}
	if len(m.Records) > 0 {
		x.propagate(peer.RelayCleared, m, from)
	}
}

// compareEvidence compares the digest of another entry's evidence with this one's. If
// they have differed for longer than notices take, it sends what that entry may lack: what
// this one has learned since they were equal, and everything to an entry that has just
// started.
func (x *Exchange) compareEvidence(from peer.Node, run string, digest uint64) {
	isEqual := digest == x.Crashes.Digest()
	now := x.Clock()
	x.mu.Lock()
	compared := x.evidence[from.ID]
	if compared == nil || compared.run != run {
		compared = &comparedEvidence{run: run}
		x.evidence[from.ID] = compared
	}
	since, isDue := compared.update(now, isEqual)
	x.mu.Unlock()
	if !isDue {
		return
	}
	for chunk := range slices.Chunk(x.Crashes.RecordsSince(since), maxRecordsPerMessage) {
		x.send(from, peer.RelayEvidence, evidenceMessage{chunk})
	}
}

// comparedEvidence is the result of comparisons with another entry.
type comparedEvidence struct {
	run string
	// equalAt is when the evidence was last equal, sentAt when this entry last sent its
	// own, and sendCount how often it has since equalAt. Times are 0 if never.
	equalAt, sentAt time.Duration
	sendCount       int
}

// update records a comparison. If evidence has to be sent it returns true and the time
// since which this entry has learned it.
func (c *comparedEvidence) update(now time.Duration, isEqual bool) (since time.Duration, isDue bool) {
	if isEqual {
		c.equalAt, c.sendCount = now, 0
		return 0, false
	}
	if last := max(c.equalAt, c.sentAt); last > 0 && now-last < mismatchGrace {
		return 0, false
	}
	since = c.equalAt
	if c.sendCount%sendAllEvery > 0 {
		since = c.sentAt // the rest was sent before
	}
	c.sentAt = now
	c.sendCount++
	return max(0, since-evidenceOverlap), true
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
