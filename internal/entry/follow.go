package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"buckthornpick/internal/fault"
	"buckthornpick/internal/gateway"
	"buckthornpick/internal/peer"
	"buckthornpick/internal/request"
	"buckthornpick/internal/wait"
)

// follower delivers one answer to the gateway. It follows the request when its
// owner changes: from the same event on, at the new owner.
type follower struct {
	node         *Node
	req          *request.Request // nil for an attach
	id           request.ID
	organisation string
	info         request.Info
	after        int
	// answer is the name of the answer of which the caller has events.
	answer string
	// received holds what came from a peer, so that a new owner can go on from
	// it if the old one is lost.
	received request.Received
	wasSent  bool
	// isAstray is set once the request may still run at an owner that was lost.
	isAstray bool
	src      source
	// searching is when the search for the owner began, zero while there is a
	// source. A search may take several calls of Next, each with a context of
	// its own.
	searching time.Time
}

// Info implements gateway.Answer.
func (f *follower) Info() request.Info { return f.info }

// Ready implements gateway.Answer.
func (f *follower) Ready() bool { return f.src.ready() }

// Close implements gateway.Answer.
func (f *follower) Close() {
	if f.src != nil {
		f.src.close()
	}
}

// Settle implements gateway.Answer. Submitting is idempotent, so the request
// is submitted again to the node that takes its partition now.
func (f *follower) EnsureHandover(ctx context.Context) {
	for f.req != nil && ctx.Err() == nil {
		owner, ok := f.node.ownerOf(f.id.Partition())
		if ok && owner.ID == f.node.cfg.Self.ID {
			return
		}
		f.wasSent = true
		src, _, err := f.node.openSubmit(ctx, f.submission(), f.received, f.after)
		if err == nil {
			src.close()
			return
		}
		wait.For(ctx, ownerPause)
	}
}

// Next implements gateway.Answer.
func (f *follower) Next(ctx context.Context) (request.Part, error) {
	var lost time.Time
	defer func() {
		if !lost.IsZero() {
			f.node.searches.Add(-1)
		}
	}()
	for {
		step, err := f.src.next(ctx)
		if err == nil && !step.HandedOver {
			step.End = f.honest(step.End)
			return step, f.note(step)
		}
		if ctx.Err() != nil {
			return request.Part{}, ctx.Err()
		}
		f.isAstray = f.isAstray || err != nil
		f.node.log.Log(EvOwnerLost, "request", f.id, "after", f.after, "error", err)
		if lost.IsZero() {
			lost = time.Now()
			f.node.searches.Add(1)
		} else if !f.mayFollow(ctx, lost) {
			return request.Part{}, f.ownerUnreachable(errNoOwner)
		}
		if err := f.connect(ctx); err != nil {
			return request.Part{}, err
		}
	}
}

// mayFollow paces the search for the owner of a request that no node keeps. It
// reports whether the search, begun at lost, may go on.
func (f *follower) mayFollow(ctx context.Context, lost time.Time) bool {
	wait.For(ctx, ownerPause)
	return time.Since(lost) < ownerWait
}

var errNoOwner = errors.New("its ownership is moving")

// note remembers what the caller gets. It refuses another answer than that of
// which the caller has events already.
func (f *follower) note(step request.Part) error {
	_, isRemote := f.src.(*remoteSource)
	keeps := isRemote && f.req != nil && f.req.Repeatable
	switch {
	case step.Head != nil:
		if f.after > 0 && f.answer != "" && step.Head.Answer != f.answer {
			return errAnswerLost
		}
		f.answer = step.Head.Answer
		if keeps {
			f.received.Head = step.Head
		}
	case step.Event != nil:
		f.after = step.Event.Sequence
		if keeps {
			f.received.Events = append(f.received.Events, *step.Event)
		}
	}
	return nil
}

// errAnswerLost refuses to mix two answers.
var errAnswerLost = &gateway.EndError{End: request.End{
	Outcome: request.Unknown, Problem: "answer_lost", Status: http.StatusConflict,
	Message: "the answer that you began to receive was lost and the request has run anew; " +
		"ask again without Last-Event-ID for the whole new answer",
}}

// connect finds the request's owner and the answer's source. It tries again
// while ownership moves.
func (f *follower) connect(ctx context.Context) error {
	f.node.searches.Add(1)
	defer f.node.searches.Add(-1)
	if f.searching.IsZero() {
		f.searching = time.Now()
	}
	for {
		err := f.connectOnce(ctx)
		if err == nil {
			return nil
		}
		if final := f.finalError(err); final != nil {
			return final
		}
		if f.mayRunHere(f.searching) {
			return f.runHere(ctx)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if time.Since(f.searching) > ownerWait {
			return f.ownerUnreachable(err)
		}
		wait.For(ctx, ownerPause)
	}
}

func (f *follower) connectOnce(ctx context.Context) error {
	var src source
	var info request.Info
	var err error
	if f.req == nil {
		src, info, err = f.node.openAttach(ctx, f.organisation, f.id, f.after)
	} else {
		src, info, err = f.node.openSubmit(ctx, f.submission(), f.received, f.after)
	}
	if !fault.Is(err, fault.Unavailable) {
		f.wasSent = true
	}
	if err != nil {
		f.isAstray = f.isAstray || f.req != nil && mayHaveArrived(err)
		return err
	}
	f.use(src, info)
	return nil
}

// mayHaveArrived reports whether a submission that failed may reach its owner,
// now or later, and run there.
func mayHaveArrived(err error) bool {
	var refused *peer.RemoteError
	_, isAnswer := remoteEnd(err)
	return !isAnswer && !errors.As(err, &refused) && !fault.Is(err, fault.Unavailable) && !fault.Is(err, fault.Invalid)
}

// honest returns an end that does not say not-run of a request that may still
// run elsewhere.
func (f *follower) honest(end *request.End) *request.End {
	if end == nil || end.Outcome != request.NotRun || !f.isAstray {
		return end
	}
	unsure := *end
	unsure.Outcome = request.Unknown
	return &unsure
}

// submission returns the request; once it may have reached an owner it no
// longer counts as never submitted before.
func (f *follower) submission() *request.Request {
	if !f.wasSent || !f.req.HasGeneratedKey {
		return f.req
	}
	again := *f.req
	again.HasGeneratedKey = false
	return &again
}

func (f *follower) use(src source, info request.Info) {
	if f.src != nil {
		f.src.close()
	}
	f.src, f.info, f.searching = src, info, time.Time{}
}

// mayRunHere reports whether this node runs the request although its owner is
// another node, which cannot be reached.
func (f *follower) mayRunHere(started time.Time) bool {
	if f.req == nil || !f.req.Repeatable || time.Since(started) < localFallback {
		return false
	}
	return f.after == len(f.received.Events)
}

func (f *follower) runHere(ctx context.Context) error {
	f.node.log.Log(EvRunsAtIngress, "request", f.id, "after", f.after)
	rec, err := f.node.owner.Submit(f.submission(), f.received)
	if err != nil {
		return submitError(err)
	}
	f.use(localSource{rec.Cursor(f.after)}, rec.Request.Info())
	return nil
}

// finalError returns the answer for an error that trying again cannot mend,
// else nil.
func (f *follower) finalError(err error) error {
	if end, ok := remoteEnd(err); ok {
		return &gateway.EndError{End: *f.honest(&end.End)}
	}
	var remote *peer.RemoteError
	isRemoteInvalid := errors.As(err, &remote) && fault.Is(err, fault.Invalid)
	switch {
	case f.req != nil && isRemoteInvalid:
		return submitError(fault.New(fault.Invalid, "entry.submit", remote.Peer, "%s", remote.Message))
	case f.req == nil && fault.Is(err, fault.Invalid) && time.Since(f.searching) >= f.node.attachWait():
		return &gateway.EndError{End: request.End{Outcome: request.Unknown, Problem: "not_found_error",
			Message: "no such request: it ended too long ago, or its owner was lost; send it again with its Idempotency-Key",
			Status:  http.StatusNotFound}}
	}
	return nil
}

// ownerUnreachable tells the caller that the request's owner cannot be asked.
// Only a request that no owner can have seen is "not-run".
func (f *follower) ownerUnreachable(err error) error {
	end := request.End{Outcome: request.Unknown, Problem: "owner_unreachable",
		Message: "the node that owns this request cannot be reached: " + fault.Text(err),
		Status:  http.StatusServiceUnavailable, RetryAfter: time.Second}
	if f.req != nil && f.req.HasGeneratedKey && !f.wasSent {
		end.Outcome = request.NotRun
	}
	return &gateway.EndError{End: end}
}
