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

// Reasons for failing readiness.
var (
	errDraining   = errors.New("node is draining")
	errNoDocument = errors.New("node has no configuration yet")
)

// DrainConfig bounds a node's stop.
type DrainConfig struct {
	// Grace bounds a planned stop. Default 10 min.
	Grace time.Duration
	// RedirectMargin is the time before a reclaim at which callers are sent to
	// other nodes. Default 1500 ms.
	RedirectMargin time.Duration
	// LeaveWait bounds the removal from the table. Default 2 s.
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

// drainState tells how far a node's stop has come.
type drainState struct {
	// leaving is closed when callers must attach elsewhere.
	leaving chan struct{}
	// reclaim holds the deadline once this node's own VM is under notice.
	reclaim chan time.Time

	mu           sync.Mutex
	draining     bool
	reclaimed    bool
	hasSentAway  bool
	hasOwnNotice bool
}

func newDrainState() *drainState {
	return &drainState{leaving: make(chan struct{}), reclaim: make(chan time.Time, 1)}
}

func (s *drainState) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

func (s *drainState) isReclaimed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reclaimed
}

// start marks the drain. It reports whether there is something to do: a
// reclaim may follow a planned stop, but nothing follows a reclaim.
func (s *drainState) start(isReclaim bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	isNew := !s.draining || (isReclaim && !s.reclaimed)
	s.draining = true
	s.reclaimed = s.reclaimed || isReclaim
	return isNew
}

func (s *drainState) sendCallersAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.hasSentAway {
		s.hasSentAway = true
		close(s.leaving)
	}
}

// notice delivers the deadline of this node's own VM once.
func (s *drainState) notice(deadline time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.hasOwnNotice {
		s.hasOwnNotice = true
		s.reclaim <- deadline
	}
}

// Leaving implements gateway.Node.
func (n *Node) Leaving() <-chan struct{} { return n.drain.leaving }

// Reclaim delivers the deadline once this node's own VM is under notice.
func (n *Node) ReclaimDeadline() <-chan time.Time { return n.drain.reclaim }

func (n *Node) noticeOwnDeadline(view *inventory.View) {
	if deadline, isNoticed := view.Deadlines[n.cfg.Self.ID]; isNoticed {
		n.drain.notice(deadline)
	}
}

// Drain makes the node leave for a planned stop: it gives up its partitions,
// finishes every request and hands its recent answers over. It returns when no
// request is left or Grace is over.
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
	n.handOverLast(ctx)
	n.log.Log(EvDrained, "running", n.owner.Running())
}

// DrainBefore makes the node leave before its VM is taken back: requests are
// handed over at once, and callers are sent to other nodes shortly before the
// deadline.
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
	n.drain.sendCallersAway()
	n.handOver(ctx, true)
	n.awaitCalls(ctx, deadline)
	n.handOverLast(ctx)
	n.log.Log(EvDrained, "running", n.owner.Running())
}

func (n *Node) leaveTable(ctx context.Context, cfg DrainConfig) {
	ctx, cancel := context.WithTimeout(ctx, cfg.LeaveTimeout)
	defer cancel()
	n.askToDepart(ctx, departMsg{Incarnation: n.members.Incarnation()})
	if err := n.members.Leave(ctx); err != nil {
		n.log.Log(EvLeaveFailed, "error", err)
	}
	n.spreader.NotifyChanged()
}

const drainPoll = 50 * time.Millisecond

// awaitNoRequests waits until no request runs here and none of a caller's
// looks for its owner: before an owner has it, the caller can't attach to it.
func (n *Node) awaitNoRequests(ctx context.Context) {
	for (n.owner.Running() > 0 || n.searches.Load() > 0) && ctx.Err() == nil {
		wait.For(ctx, drainPoll)
	}
}

// Bounds of one message of transfers.
const (
	transferBatch = 64
	transferBytes = 1 << 20
)

// transferRounds bounds the heirs that are tried for one request.
const transferRounds = 4

// handOver sends every request to its new owner. What an heir cannot be given
// because it is gone already goes to the next one. isLast is true if this node
// runs nothing afterwards.
func (n *Node) handOver(ctx context.Context, isLast bool) (isComplete bool) {
	gone := map[string]bool{}
	transfers := n.owner.Export(isLast)
	for round := 0; round < transferRounds && len(transfers) > 0; round++ {
		transfers = n.transferAll(ctx, transfers, gone)
	}
	return len(transfers) == 0
}

// lastHandOver is the time kept for the last handover before the VM goes.
const lastHandOver = 200 * time.Millisecond

// awaitCalls waits for the calls that no other node can take over: those of
// plain services that must not be repeated.
func (n *Node) awaitCalls(ctx context.Context, deadline time.Time) {
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(-lastHandOver))
	defer cancel()
	n.awaitNoRequests(ctx)
}

// handOverLast hands over what is left and, if nothing stays here, notes in the
// table that no request of this node is lost.
func (n *Node) handOverLast(ctx context.Context) {
	if !n.handOver(ctx, true) || n.owner.Running() > 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, departTimeout)
	defer cancel()
	m := departMsg{Incarnation: n.members.Incarnation(), IsHandedOver: true}
	if n.askToDepart(ctx, m) {
		return
	}
	self := member.Member{ID: n.cfg.Self.ID, Incarnation: m.Incarnation}
	if err := n.members.HandedOver(ctx, []member.Member{self}); err != nil {
		n.log.Log(EvLeaveFailed, "error", err)
	}
}

// transferAll makes one round. It returns what was not taken and adds the heirs
// that could not be reached to gone.
func (n *Node) transferAll(ctx context.Context, transfers []dispatch.Transfer, gone map[string]bool) []dispatch.Transfer {
	byHeir, left := n.byHeir(transfers, gone)
	for heir, transfers := range byHeir {
		for len(transfers) > 0 {
			batch := nextBatch(transfers)
			transfers = transfers[len(batch):]
			if err := n.transferTo(ctx, nodeOf(heir), batch); err != nil {
				gone[heir.ID] = fault.Is(err, fault.Unavailable)
				left = append(left, batch...)
			}
		}
	}
	return left
}

// nextBatch returns the first transfers that fit into one message, at least
// one.
func nextBatch(transfers []dispatch.Transfer) []dispatch.Transfer {
	size := 0
	for i, t := range transfers {
		size += t.Size()
		if i > 0 && (i == transferBatch || size > transferBytes) {
			return transfers[:i]
		}
	}
	return transfers
}

// byHeir sorts the transfers by the nodes that own them next. Without any node
// they are left.
func (n *Node) byHeir(transfers []dispatch.Transfer, gone map[string]bool) (sorted map[member.Member][]dispatch.Transfer, left []dispatch.Transfer) {
	sorted = map[member.Member][]dispatch.Transfer{}
	heirs := without(n.heirs(), gone)
	for _, t := range transfers {
		heir, ok := heirs.Owner(t.Request.ID.Partition())
		if !ok {
			left = append(left, t)
			continue
		}
		sorted[heir] = append(sorted[heir], t)
	}
	return sorted, left
}

// without returns the table without the members with the IDs.
func without(t member.Table, ids map[string]bool) member.Table {
	var rest []member.Member
	for _, m := range t.Members {
		if !ids[m.ID] {
			rest = append(rest, m)
		}
	}
	return member.NewTable(t.Revision, rest, nil)
}

// passOn brings a request that this node has lost the ownership of to its
// present owner. Nobody may be following it: its caller may have been sent away.
func (n *Node) passOn(ctx context.Context, t dispatch.Transfer) {
	ctx, cancel := context.WithTimeout(ctx, ownerWait)
	defer cancel()
	for wait.For(ctx, ownerPause) {
		owner, ok := n.ownerOf(t.Request.ID.Partition())
		if ok && n.passTo(ctx, owner, t) == nil {
			return
		}
	}
}

// passTo gives the request to its owner. This node takes it back only once it
// owns the partition by the table: as an heir it could not claim, and would pass
// the request on to itself again.
func (n *Node) passTo(ctx context.Context, owner peer.Node, t dispatch.Transfer) error {
	partition := t.Request.ID.Partition()
	if owner.ID == n.cfg.Self.ID && !n.own.OwnsPartition(partition) {
		return fault.New(fault.Conflict, "entry.pass-on", "", "partition %d has no owner that may claim", partition)
	}
	if owner.ID == n.cfg.Self.ID {
		return n.owner.Adopt(t)
	}
	return n.transferTo(ctx, owner, []dispatch.Transfer{t})
}

const transferTimeout = 2 * time.Second

func (n *Node) transferTo(ctx context.Context, heir peer.Node, batch []dispatch.Transfer) error {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	_, err := peer.Call[transferReply](ctx, n.transport, heir, peer.Transfer, transferMsg{Transfers: batch})
	if err != nil {
		n.log.Log(EvTransferFailed, "peer", heir.ID, "requests", len(batch), "error", err)
	}
	return err
}
