package quarantine

import (
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"buckthornpick/internal/blame"
	"buckthornpick/internal/dispatch"
	"buckthornpick/internal/fault"
	"buckthornpick/internal/peer"
)

// minRestartTime is the least time between two crashes of a server that is restarted at
// once.
const minRestartTime = 200 * time.Millisecond

// permitParts refuses an attempt with a blocked part with fault.Exhausted, unless the
// coordinator permits it as the trial of that part.
func (q *Quarantine) permitParts(ctx context.Context, c dispatch.AttemptRef) error {
	verdict := q.parts.Judge(&blame.Content{Parts: c.Parts})
	if !verdict.IsBlocked {
		return nil
	}
	if verdict.CanTry && q.requestPartTrial(ctx, verdict.Key) {
		q.log.Log(blame.EvTried, "attempt", c.Attempt, "key", verdict.Key)
		return nil
	}
	q.refusals.Inc(1)
	return fault.New(fault.Exhausted, "quarantine.permit", "",
		"a part of this request's prompt crashed several backend servers and is refused (part %016x)", uint64(verdict.Key))
}

// requestPartTrial asks the coordinator for the permission to try a blocked part.
func (q *Quarantine) requestPartTrial(ctx context.Context, part blame.Key) bool {
	coordinator, ok := q.cfg.Coordinator()
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, q.cfg.PropagationTimeout)
	defer cancel()
	reply, err := peer.Call[partTrialReply](ctx, q.transport, coordinator, peer.PartTrial, partTrialMsg{part})
	if err != nil || !reply.IsGranted {
		return false
	}
	q.mergeParts([]blame.Record{reply.Record})
	return true
}

func (q *Quarantine) handlePartTrial(_ context.Context, _ peer.Node, m partTrialMsg) (partTrialReply, error) {
	record, isGranted := q.parts.PermitTrial(m.Part)
	if isGranted {
		q.raisePartsVersion(time.Now().UnixMicro())
	}
	return partTrialReply{isGranted, record}, nil
}

// recordPartsCrash records a crash for the parts of the request that ran there.
func (q *Quarantine) recordPartsCrash(m crashMsg) {
	if len(m.Parts) > 0 && len(q.parts.RecordCrash(m.Crash, time.Duration(m.AgeMillis)*time.Millisecond, m.Parts)) > 0 {
		q.raisePartsVersion(time.Now().UnixMicro())
	}
}

// mergeParts adds evidence that another node has sent.
func (q *Quarantine) mergeParts(records []blame.Record) {
	if len(q.parts.Merge(records)) > 0 {
		q.raisePartsVersion(time.Now().UnixMicro())
	}
}

func (q *Quarantine) raisePartsVersion(version int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.partsVersion = max(q.partsVersion, version)
}

// partsPermit is the permit of an attempt with parts that other requests share.
type partsPermit struct {
	dispatch.Permit
	q     *Quarantine
	parts []blame.Key
}

// Succeeded implements dispatch.Permit. It clears the parts on all nodes; the peers do
// not confirm the message.
func (p *partsPermit) Succeeded() {
	p.Permit.Succeeded()
	cleared := p.q.parts.RecordAnswered(&blame.Content{Parts: p.parts})
	if len(cleared) == 0 {
		return
	}
	p.q.raisePartsVersion(time.Now().UnixMicro())
	for _, node := range p.q.cfg.Peers() {
		_ = p.q.transport.Notify(node, peer.CrashClear, clearMsg{Parts: cleared})
	}
}

// PartsTopic replicates the evidence against parts of prompts to all nodes, so that a
// node that started after a crash or missed its message gets it too. It implements
// spread.Topic.
type PartsTopic struct{ Quarantine *Quarantine }

// encodedParts is the evidence as exchanged between nodes.
type encodedParts struct {
	Version int64          `msgpack:"v"`
	Records []blame.Record `msgpack:"r"`
}

// Version implements spread.Topic. It is the time of the latest change in
// microseconds.
func (t PartsTopic) Version() int64 {
	t.Quarantine.mu.Lock()
	defer t.Quarantine.mu.Unlock()
	return t.Quarantine.partsVersion
}

// Encode implements spread.Topic.
func (t PartsTopic) Encode() ([]byte, int64, error) {
	version := t.Version() // read first: evidence that is newer does no harm
	data, err := msgpack.Marshal(encodedParts{Version: version, Records: t.Quarantine.parts.Records()})
	return data, version, err
}

// Merge implements spread.Topic. If this node has evidence that the sender lacks and
// would take, its version rises above the sender's. It does not for a mere difference,
// which two nodes may not be able to settle: they would pass their evidence to and fro.
func (t PartsTopic) Merge(value []byte) (bool, error) {
	var received encodedParts
	if err := msgpack.Unmarshal(value, &received); err != nil {
		return false, err
	}
	q := t.Quarantine
	before := t.Version()
	q.parts.Merge(received.Records)
	version := received.Version
	if q.parts.HasNewsFor(received.Records) {
		version = max(version+1, before+1, time.Now().UnixMicro())
	}
	q.raisePartsVersion(version)
	return t.Version() > before, nil
}
