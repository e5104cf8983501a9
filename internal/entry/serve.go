package entry

import (
	"context"

	"buckthornpick/internal/dispatch"
	"buckthornpick/internal/fault"
	"buckthornpick/internal/peer"
	"buckthornpick/internal/request"
)

// handlePeers registers the handlers of the protocol between nodes.
func (n *Node) handlePeers() {
	n.transport.Handle(peer.Submit, n.serveSubmit)
	n.transport.Handle(peer.Attach, n.serveAttach)
	n.transport.Handle(peer.Locate, peer.HandleCall(n.serveLocate))
	n.transport.Handle(peer.Transfer, n.serveTransfer)
	n.transport.Handle(peer.Depart, peer.HandleCall(n.departures.serve))
	n.transport.Handle(peer.DemandPull, peer.HandleCall(n.serveDemand))
}

// serveSubmit handles peer.Submit: it accepts a request that this node owns and
// streams its answer.
func (n *Node) serveSubmit(ctx context.Context, from peer.Node, s *peer.Stream) error {
	var m submitMsg
	if err := s.DecodeOpening(&m); err != nil {
		return err
	}
	if m.Request == nil || !m.Request.ID.Valid() {
		return fault.New(fault.Protocol, "entry.submit", from.ID, "submission without a valid request")
	}
	if _, isKnown := n.dispatcher.Find(m.Request.ID); !isKnown && !n.acceptsPartition(m.Request.ID.Partition()) {
		return fault.New(fault.Conflict, "entry.submit", n.cfg.Self.ID, "this node does not own partition %d",
			m.Request.ID.Partition())
	}
	src, info, err := n.submitLocally(ctx, m.Request, m.Received, m.After)
	if err != nil {
		return remoteSubmitError(err)
	}
	return n.streamAnswer(ctx, s, src, info)
}

// remoteSubmitError converts a refused submission to a fault, whose type is kept on
// the wire.
func remoteSubmitError(err error) error {
	if end, ok := remoteEnd(err); ok {
		return fault.New(fault.Invalid, "entry.submit", "", "%s", end.End.Message)
	}
	return err
}

// serveAttach handles peer.Attach: it streams the answer of a request that this node
// has a record of or owns.
func (n *Node) serveAttach(ctx context.Context, _ peer.Node, s *peer.Stream) error {
	var m attachMsg
	if err := s.DecodeOpening(&m); err != nil {
		return err
	}
	src, info, ok := n.attachLocally(m.Organisation, m.ID, m.After)
	if ok {
		return n.streamAnswer(ctx, s, src, info)
	}
	if m.IsLocal || !n.acceptsPartition(m.ID.Partition()) {
		return fault.New(fault.Invalid, "entry.attach", n.cfg.Self.ID, "no such request")
	}
	src, info, err := n.openAttach(ctx, m.Organisation, m.ID, m.After)
	if err != nil {
		return err
	}
	return n.streamAnswer(ctx, s, src, info)
}

// maxEventsPerMessage bounds the events in one message of an answer.
const maxEventsPerMessage = 32

// streamAnswer sends an answer to a peer until its end. Events that are already
// available share a message.
func (n *Node) streamAnswer(ctx context.Context, s *peer.Stream, src source, info request.Info) error {
	defer src.close()
	if err := s.Send(ctx, answerMsg{Info: &info}); err != nil {
		return err
	}
	for {
		m, err := collectParts(ctx, src)
		if err != nil {
			return err
		}
		if err := s.Send(ctx, m); err != nil {
			return err
		}
		if m.End != nil || m.HandedOver {
			return nil
		}
	}
}

// collectParts waits for one part of the answer and adds the parts that are already
// available.
func collectParts(ctx context.Context, src source) (answerMsg, error) {
	var m answerMsg
	for {
		part, err := src.next(ctx)
		if err != nil {
			return m, err
		}
		m.Head = firstNonNil(m.Head, part.Head)
		m.End = part.End
		m.HandedOver = part.HandedOver
		if part.Event != nil {
			m.Events = append(m.Events, *part.Event)
		}
		if m.End != nil || m.HandedOver || len(m.Events) >= maxEventsPerMessage || !src.ready() {
			return m, nil
		}
	}
}

func firstNonNil(a, b *request.Head) *request.Head {
	if a != nil {
		return a
	}
	return b
}

// serveTransfer handles peer.Transfer: it adopts the requests of a leaving node. A
// node that is leaving itself refuses them, since it may have made its last
// handover; the sender goes on to the next successor.
func (n *Node) serveTransfer(ctx context.Context, from peer.Node, s *peer.Stream) error {
	var m transferMsg
	if err := s.DecodeOpening(&m); err != nil {
		return err
	}
	if n.drain.isDraining() {
		return fault.New(fault.Unavailable, "entry.transfer", n.cfg.Self.ID, "this node is leaving too")
	}
	reply := transferReply{}
	for _, t := range m.Transfers {
		if err := n.adopt(t); err != nil {
			n.log.Log(EvTransferRefused, "peer", from.ID, "request", t.Request.ID, "error", err)
			continue
		}
		reply.Adopted++
	}
	return s.Send(ctx, reply)
}

func (n *Node) adopt(t dispatch.Transfer) error {
	if t.Request == nil || !t.Request.ID.Valid() {
		return fault.New(fault.Protocol, "entry.transfer", "", "transfer without a valid request")
	}
	return n.dispatcher.Adopt(t)
}
