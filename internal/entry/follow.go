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

// answerStream delivers one answer to the gateway. When the request's owner
// changes it reconnects to the new owner and resumes after the last event
// delivered. It implements gateway.Answer.
type answerStream struct {
	node         *Node
	req          *request.Request // nil for an attach
	id           request.ID
	organisation string
	info         request.Info
	// after is the sequence number of the last event that the caller has received.
	after int
	// answerName identifies the answer of which the caller has received events.
	answerName string
	// received holds what a peer has sent, so that a new owner can continue the
	// answer if the old one is lost.
	received request.Received
	// wasSent is set once the request may have reached an owner.
	wasSent bool
	// mayRunElsewhere is set once the request may be running at an owner with which
	// this node has lost contact.
	mayRunElsewhere bool
	src             source
	// searchStarted is when the search for the owner began; zero while there is a
	// source. A search may span several calls of Next, each with its own context.
	searchStarted time.Time
}

// Info implements gateway.Answer.
func (a *answerStream) Info() request.Info { return a.info }

// Ready implements gateway.Answer.
func (a *answerStream) Ready() bool { return a.src.ready() }

// Close implements gateway.Answer.
func (a *answerStream) Close() {
	if a.src != nil {
		a.src.close()
	}
}

// EnsureHandover implements gateway.Answer. It submits the request again to the node that
// now accepts requests of its partition; submitting is idempotent.
func (a *answerStream) EnsureHandover(ctx context.Context) {
	for a.req != nil && ctx.Err() == nil {
		owner, ok := a.node.ownerOf(a.id.Partition())
		if ok && owner.ID == a.node.cfg.Self.ID {
			return
		}
		a.wasSent = true
		src, _, err := a.node.openSubmit(ctx, a.submission(), a.received, a.after)
		if err == nil {
			src.close()
			return
		}
		wait.For(ctx, ownerRetryPause)
	}
}

// Next implements gateway.Answer.
func (a *answerStream) Next(ctx context.Context) (request.Part, error) {
	var lostAt time.Time
	defer func() {
		if !lostAt.IsZero() {
			a.node.ownerSearches.Add(-1)
		}
	}()
	for {
		part, err := a.src.next(ctx)
		if err == nil && !part.HandedOver {
			part.End = a.downgradeNotRun(part.End)
			return part, a.recordPart(part)
		}
		if ctx.Err() != nil {
			return request.Part{}, ctx.Err()
		}
		// A transfer to another owner may still be under way, and may arrive late.
		a.mayRunElsewhere = true
		a.node.log.Log(EvOwnerLost, "request", a.id, "after", a.after, "error", err)
		if lostAt.IsZero() {
			lostAt = time.Now()
			a.node.ownerSearches.Add(1)
		} else if !a.waitToRetry(ctx, lostAt) {
			return request.Part{}, a.ownerUnreachable(errNoOwner)
		}
		if err := a.connect(ctx); err != nil {
			return request.Part{}, err
		}
	}
}

// waitToRetry pauses before another attempt to find the request's owner. It reports
// whether a search that began at lostAt may continue.
func (a *answerStream) waitToRetry(ctx context.Context, lostAt time.Time) bool {
	wait.For(ctx, ownerRetryPause)
	return time.Since(lostAt) < ownerSearchTimeout
}

var errNoOwner = errors.New("its ownership is moving")

// recordPart records a part of the answer before it is delivered to the caller. It
// returns errAnswerLost if the part belongs to another answer than the one of which the
// caller already has events.
func (a *answerStream) recordPart(part request.Part) error {
	_, isRemote := a.src.(*remoteSource)
	isRecorded := isRemote && a.req != nil && a.req.Repeatable
	switch {
	case part.Head != nil:
		if a.after > 0 && a.answerName != "" && part.Head.Answer != a.answerName {
			return errAnswerLost
		}
		a.answerName = part.Head.Answer
		if isRecorded {
			a.received.Head = part.Head
		}
	case part.Event != nil:
		a.after = part.Event.Sequence
		if isRecorded {
			a.received.Events = append(a.received.Events, *part.Event)
		}
	}
	return nil
}

// errAnswerLost is returned instead of mixing the events of two answers.
var errAnswerLost = &gateway.EndError{End: request.End{
	Outcome: request.Unknown, Problem: "answer_lost", Status: http.StatusConflict,
	Message: "the answer that you began to receive was lost and the request has run anew; " +
		"ask again without Last-Event-ID for the whole new answer",
}}

// connect finds the request's owner and opens the source of its answer. It retries
// while partitions move between owners.
func (a *answerStream) connect(ctx context.Context) error {
	a.node.ownerSearches.Add(1)
	defer a.node.ownerSearches.Add(-1)
	if a.searchStarted.IsZero() {
		a.searchStarted = time.Now()
	}
	for {
		err := a.connectOnce(ctx)
		if err == nil {
			return nil
		}
		if final := a.finalError(err); final != nil {
			return final
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if a.mayRunLocally(a.searchStarted) {
			return a.runLocally(ctx)
		}
		if time.Since(a.searchStarted) > ownerSearchTimeout {
			return a.ownerUnreachable(err)
		}
		wait.For(ctx, ownerRetryPause)
	}
}

// connectOnce makes one attempt to open the source of the answer.
func (a *answerStream) connectOnce(ctx context.Context) error {
	var src source
	var info request.Info
	var err error
	if a.req == nil {
		src, info, err = a.node.openAttach(ctx, a.organisation, a.id, a.after)
	} else {
		src, info, err = a.node.openSubmit(ctx, a.submission(), a.received, a.after)
	}
	if !fault.Is(err, fault.Unavailable) {
		a.wasSent = true
	}
	if err != nil {
		a.mayRunElsewhere = a.mayRunElsewhere || a.req != nil && mayHaveArrived(err)
		return err
	}
	a.setSource(src, info)
	return nil
}

// mayHaveArrived reports whether a submission that failed with err may
// nevertheless reach its owner, now or later, and run there.
func mayHaveArrived(err error) bool {
	var refused *peer.RemoteError
	_, isAnswer := remoteEnd(err)
	return !isAnswer && !errors.As(err, &refused) && !fault.Is(err, fault.Unavailable) && !fault.Is(err, fault.Invalid)
}

// downgradeNotRun replaces the outcome "not-run" by "unknown" if the request may
// be running at another node.
func (a *answerStream) downgradeNotRun(end *request.End) *request.End {
	if end == nil || end.Outcome != request.NotRun || !a.mayRunElsewhere {
		return end
	}
	downgraded := *end
	downgraded.Outcome = request.Unknown
	return &downgraded
}

// submission returns the request to submit. Once the request may have reached an
// owner, its HasGeneratedKey is cleared, since an earlier submission may exist.
func (a *answerStream) submission() *request.Request {
	if !a.wasSent || !a.req.HasGeneratedKey {
		return a.req
	}
	again := *a.req
	again.HasGeneratedKey = false
	return &again
}

// setSource replaces the source and ends the search for the owner.
func (a *answerStream) setSource(src source, info request.Info) {
	if a.src != nil {
		a.src.close()
	}
	a.src, a.info, a.searchStarted = src, info, time.Time{}
}

// mayRunLocally reports whether this node may run the request in place of its
// owner, which cannot be reached. The request must be repeatable and this node must
// have every event that the caller has.
func (a *answerStream) mayRunLocally(searchStarted time.Time) bool {
	if a.req == nil || !a.req.Repeatable || time.Since(searchStarted) < localFallbackDelay {
		return false
	}
	return a.after == len(a.received.Events)
}

// runLocally runs the request at this node, from the events received so far.
func (a *answerStream) runLocally(ctx context.Context) error {
	a.node.log.Log(EvRunsAtIngress, "request", a.id, "after", a.after)
	rec, err := a.node.dispatcher.Submit(a.submission(), a.received)
	if err != nil {
		return submitError(err)
	}
	a.setSource(localSource{rec.Cursor(a.after)}, rec.Request.Info())
	return nil
}

// finalError returns the answer for an error that is not worth a retry, else nil.
func (a *answerStream) finalError(err error) error {
	if end, ok := remoteEnd(err); ok {
		return &gateway.EndError{End: *a.downgradeNotRun(&end.End)}
	}
	var remote *peer.RemoteError
	isRemoteInvalid := errors.As(err, &remote) && fault.Is(err, fault.Invalid)
	switch {
	case a.req != nil && isRemoteInvalid:
		return submitError(fault.New(fault.Invalid, "entry.submit", remote.Peer, "%s", remote.Message))
	case a.req == nil && fault.Is(err, fault.Invalid) && time.Since(a.searchStarted) >= a.node.attachWait():
		return &gateway.EndError{End: request.End{Outcome: request.Unknown, Problem: "not_found_error",
			Message: "no such request: it ended too long ago, or its owner was lost; send it again with its Idempotency-Key",
			Status:  http.StatusNotFound}}
	}
	return nil
}

// ownerUnreachable returns the answer for a request whose owner cannot be reached.
// The outcome is "not-run" only if no owner can have received the request.
func (a *answerStream) ownerUnreachable(err error) error {
	end := request.End{Outcome: request.Unknown, Problem: "owner_unreachable",
		Message: "the node that owns this request cannot be reached: " + fault.Text(err),
		Status:  http.StatusServiceUnavailable, RetryAfter: time.Second}
	if a.req != nil && a.req.HasGeneratedKey && !a.wasSent {
		end.Outcome = request.NotRun
	}
	return &gateway.EndError{End: end}
}
