package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"buckthornpick/internal/dispatch"
	"buckthornpick/internal/fault"
	"buckthornpick/internal/inventory"
	"buckthornpick/internal/member"
	"buckthornpick/internal/peer"
	"buckthornpick/internal/wait"
)

// Reasons why a node is not ready.
var (
	errDraining   = errors.New("node is draining")
	errNoDocument = errors.New("node has no configuration yet")
)

// DrainConfig bounds the phases of a node's shutdown.
type DrainConfig struct {
	// Grace is the grace period of a planned shutdown. Default 10 min.
	Grace time.Duration
	// RedirectMargin is how long before the reclaim deadline callers are redirected
	// to other nodes. Default 1500 ms.
	RedirectMargin time.Duration
	// LeaveTimeout bounds the removal from the table. Default 2 s.
	LeaveTimeout time.Duration
}

func (c DrainConfig) withDefaults() DrainConfig {
	if c.Grace == 0 {
		c.Grace = 10 * time.Minute
	}
	if c.RedirectMargin == 0 {
		c.RedirectMargin = 1500 * time.Millisecond
	}
	if c.LeaveTimeout == 0 {
		c.LeaveTimeout = 2 * time.Second
	}
	return c
}

// drainState holds the progress of a node's shutdown.
type drainState struct {
	// leaving is closed when callers must attach at another node.
	leaving chan struct{}
	// reclaimDeadline receives the deadline once this node's own VM is under a
	// reclaim notice.
	reclaimDeadline chan time.Time

	mu                  sync.Mutex
	draining            bool
	reclaimed           bool
	isRedirecting       bool
	isDeadlineDelivered bool
}

func newDrainState() *drainState {
	return &drainState{leaving: make(chan struct{}), reclaimDeadline: make(chan time.Time, 1)}
}

func (s *drainState) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// start marks the node as draining. It reports whether the caller has to perform
// the drain: a reclaim may follow a planned shutdown, but nothing follows a
// reclaim.
func (s *drainState) start(isReclaim bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	isNew := !s.draining || (isReclaim && !s.reclaimed)
	s.draining = true
	s.reclaimed = s.reclaimed || isReclaim
	return isNew
}

// redirectCallers closes leaving, once.
func (s *drainState) redirectCallers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isRedirecting {
		s.isRedirecting = true
		close(s.leaving)
	}
}

// deliverDeadline delivers the reclaim deadline of this node's own VM, once.
func (s *drainState) deliverDeadline(deadline time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isDeadlineDelivered {
		s.isDeadlineDelivered = true
		s.reclaimDeadline <- deadline
	}
}

// Leaving implements gateway.Node.
func (n *Node) Leaving() <-chan struct{} { return n.drain.leaving }

// ReclaimDeadline returns a channel that receives the deadline once this node's
// own VM is under a reclaim notice.
func (n *Node) ReclaimDeadline() <-chan time.Time { return n.drain.reclaimDeadline }

// deliverOwnDeadline delivers the reclaim deadline of this node's own VM if the view
// holds one.
func (n *Node) deliverOwnDeadline(view *inventory.View) {
	if deadline, hasNotice := view.Deadlines[n.cfg.Self.ID]; hasNotice {
		n.drain.deliverDeadline(deadline)
	}
}

// Drain performs a planned shutdown: the node leaves the table and so gives up its
// partitions, finishes every request and hands its recent answers over. It returns
// when no request is left or the grace period has ended.
func (n *Node) Drain(ctx context.Context) {
	if !n.drain.start(false) {
		return
	}
	cfg := n.cfg.Drain.withDefaults()
	n.log.Log(EvDraining, "grace", cfg.Grace)
	ctx, cancel := context.WithTimeout(ctx, cfg.Grace)
	defer cancel()
	n.leaveTable(ctx, cfg)
	n.handOver(ctx, false)
	n.awaitNoRequests(ctx)
	n.handOverRemaining(ctx)
	n.log.Log(EvDrained, "running", n.dispatcher.Running())
}

// DrainBefore performs a shutdown before the node's VM is reclaimed at the
// deadline: requests are handed over at once, and callers are redirected to other
// nodes shortly before the deadline.
func (n *Node) DrainBefore(ctx context.Context, deadline time.Time) {
	if !n.drain.start(true) {
		return
	}
	cfg := n.cfg.Drain.withDefaults()
	n.log.Log(EvDraining, "deadline", deadline)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	n.leaveTable(ctx, cfg)
	n.handOver(ctx, false)
	redirectAt, stop := context.WithDeadline(ctx, deadline.Add(-cfg.RedirectMargin))
	defer stop()
	n.awaitNoRequests(redirectAt)
	n.drain.redirectCallers()
	n.handOver(ctx, true)
	n.awaitUntransferableCalls(ctx, deadline)
	n.handOverRemaining(ctx)
	n.log.Log(EvDrained, "running", n.dispatcher.Running())
}

// leaveTable removes this node from the table. It asks another member first, so
// that the removals of many nodes are batched, and then makes sure itself.
func (n *Node) leaveTable(ctx context.Context, cfg DrainConfig) {
	ctx, cancel := context.WithTimeout(ctx, cfg.LeaveTimeout)
	defer cancel()
	n.requestDeparture(ctx, departMsg{Incarnation: n.members.Incarnation()})
	if err := n.members.Leave(ctx); err != nil {
		n.log.Log(EvLeaveFailed, "error", err)
	}
	n.spreader.NotifyChanged()
}

const drainPollInterval = 50 * time.Millisecond

// awaitNoRequests waits until no request runs at this node and no owner is being
// searched for: a caller cannot attach to a request before an owner has it.
func (n *Node) awaitNoRequests(ctx context.Context) {
	for (n.dispatcher.Running() > 0 || n.ownerSearches.Load() > 0) && ctx.Err() == nil {
		wait.For(ctx, drainPollInterval)
	}
}

// Bounds of one transfer message.
const (
	maxTransferBatch = 64
	maxTransferBytes = 1 << 20
)

// maxTransferRounds bounds the successors that are tried for one request.
const maxTransferRounds = 4

// handOver transfers every request to its new owner. If a successor cannot be
// reached, its requests go to the next one. isFinal is true if this node runs no
// requests afterwards. isComplete is true if successors confirmed the receipt of
// every exported request.
func (n *Node) handOver(ctx context.Context, isFinal bool) (isComplete bool) {
	unreachable := map[string]bool{}
	transfers := n.dispatcher.Export(isFinal)
	for round := 0; round < maxTransferRounds && len(transfers) > 0; round++ {
		transfers = n.transferRound(ctx, transfers, unreachable)
	}
	n.dispatcher.EndHandover(transfers)
	return len(transfers) == 0
}

// finalHandoverTime is reserved for the last handover before the VM is reclaimed.
const finalHandoverTime = 200 * time.Millisecond

// awaitUntransferableCalls waits for the calls that no other node can take over:
// non-repeatable calls to plain services.
func (n *Node) awaitUntransferableCalls(ctx context.Context, deadline time.Time) {
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(-finalHandoverTime))
	defer cancel()
	n.awaitNoRequests(ctx)
}

// handOverRemaining hands over the remaining requests. If none stays at this node,
// it has the table record that no request of this node was lost.
func (n *Node) handOverRemaining(ctx context.Context) {
	if !n.handOver(ctx, true) || n.dispatcher.Running() > 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, departTimeout)
	defer cancel()
	m := departMsg{Incarnation: n.members.Incarnation(), IsHandedOver: true}
	if n.requestDeparture(ctx, m) {
		return
	}
	self := member.Member{ID: n.cfg.Self.ID, Incarnation: m.Incarnation}
	if err := n.members.CloseGaps(ctx, []member.Member{self}); err != nil {
		n.log.Log(EvLeaveFailed, "error", err)
	}
}

// transferRound sends each request to its successor once. It returns the requests
// whose receipt was not confirmed, and adds the successors that could not be reached
// to unreachable.
func (n *Node) transferRound(ctx context.Context, transfers []dispatch.Transfer, unreachable map[string]bool) []dispatch.Transfer {
	bySuccessor, left := n.groupBySuccessor(transfers, unreachable)
	for successor, transfers := range bySuccessor {
		for len(transfers) > 0 {
			batch := nextBatch(transfers)
			transfers = transfers[len(batch):]
			if err := n.transferTo(ctx, nodeOf(successor), batch); err != nil {
				unreachable[successor.ID] = fault.Is(err, fault.Unavailable)
				left = append(left, batch...)
				continue
			}
			n.dispatcher.EndHandover(batch)
		}
	}
	return left
}

// nextBatch returns the first transfers that fit into one message, but at least one.
func nextBatch(transfers []dispatch.Transfer) []dispatch.Transfer {
	size := 0
	for i, t := range transfers {
		size += t.Size()
		if i > 0 && (i == maxTransferBatch || size > maxTransferBytes) {
			return transfers[:i]
		}
	}
	return transfers
}

// groupBySuccessor groups the transfers by their successors, not counting
// unreachable nodes. Transfers without a successor are returned in left.
func (n *Node) groupBySuccessor(transfers []dispatch.Transfer, unreachable map[string]bool) (groups map[member.Member][]dispatch.Transfer, left []dispatch.Transfer) {
	groups = map[member.Member][]dispatch.Transfer{}
	successors := tableWithout(n.successors(), unreachable)
	for _, t := range transfers {
		successor, ok := successors.Owner(t.Request.ID.Partition())
		if !ok {
			left = append(left, t)
			continue
		}
		groups[successor] = append(groups[successor], t)
	}
	return groups, left
}

// tableWithout returns the table without the members with these IDs.
func tableWithout(t member.Table, ids map[string]bool) member.Table {
	var rest []member.Member
	for _, m := range t.Members {
		if !ids[m.ID] {
			rest = append(rest, m)
		}
	}
	return member.NewTable(t.Revision, rest, nil)
}

// transferToOwner transfers a request of a partition that this node no longer owns
// to the present owner. There may be no caller left whose answerStream would submit
// it there, since the caller may have been redirected.
func (n *Node) transferToOwner(ctx context.Context, t dispatch.Transfer) {
	ctx, cancel := context.WithTimeout(ctx, ownerSearchTimeout)
	defer cancel()
	for wait.For(ctx, ownerRetryPause) {
		owner, ok := n.ownerOf(t.Request.ID.Partition())
		if ok && n.adoptOrTransfer(ctx, owner, t) == nil {
			return
		}
	}
}

// adoptOrTransfer transfers the request to its owner. If the owner is this node,
// it adopts the request only once it owns the partition by the table: as a mere
// successor it could not claim the request, and would transfer it to itself again.
func (n *Node) adoptOrTransfer(ctx context.Context, owner peer.Node, t dispatch.Transfer) error {
	partition := t.Request.ID.Partition()
	if owner.ID == n.cfg.Self.ID && !n.ownership.OwnsPartition(partition) {
		return fault.New(fault.Conflict, "entry.pass-on", "", "partition %d has no owner that may claim", partition)
	}
	if owner.ID == n.cfg.Self.ID {
		return n.dispatcher.Adopt(t)
	}
	return n.transferTo(ctx, owner, []dispatch.Transfer{t})
}

const transferTimeout = 2 * time.Second

// transferTo sends one batch of requests to the node to.
func (n *Node) transferTo(ctx context.Context, to peer.Node, batch []dispatch.Transfer) error {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	_, err := peer.Call[transferReply](ctx, n.transport, to, peer.Transfer, transferMsg{Transfers: batch})
	if err != nil {
		n.log.Log(EvTransferFailed, "peer", to.ID, "requests", len(batch), "error", err)
	}
	return err
}
