package claim

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"buckthornpick/internal/fault"
	"buckthornpick/internal/kv"
	"buckthornpick/internal/peer"
)

// States of a write.
const (
	writeQueued int32 = iota
	writeSent
	writeCancelled
)

// write is one claim that is queued or being written to the store.
type write struct {
	claim     Claim
	encoded   []byte
	partition *partition
	state     atomic.Int32
	abandoned atomic.Bool // the caller no longer waits
	done      chan error  // receives the result; capacity 1
}

// outcome is the known result of writing a batch. The values are sent between
// nodes.
type outcome string

const (
	outcomeWritten     outcome = "written"
	outcomeConflict    outcome = "conflict"    // not written and never will be: the table changed, or the key holds a tombstone
	outcomeUnavailable outcome = "unavailable" // not written and never will be
	outcomeAmbiguous   outcome = "ambiguous"   // may have been written or may still be
)

// record holds the encoded claims of one partition in a batch and their key.
type record struct {
	Key   string `msgpack:"k"`
	Value []byte `msgpack:"v"`
}

// batch is a node's request to the writer to write all records atomically, on
// condition that the table of members has the given revision and that the key of
// the first record does not exist. The key contains the operation ID, so the
// batch takes effect at most once, however often or late it is sent.
type batch struct {
	Table   int64    `msgpack:"t"`
	Records []record `msgpack:"r"`
}

type commitReply struct {
	Outcome outcome `msgpack:"f"`
}

func (b batch) size() int {
	n := 0
	for _, r := range b.Records {
		n += len(r.Key) + len(r.Value)
	}
	return n
}

// guard returns the condition that the batch was not written before.
func (b batch) guard() kv.Compare { return kv.Compare{Key: b.Records[0].Key} }

// nodeBatch is a batch with the writes that it contains.
type nodeBatch struct {
	batch
	bucket int64
	writes []*write
	keys   map[*partition]string // store key of each partition's record
}

// batchLoop sends batches. Whenever fewer than NodeInFlight batches are in
// flight, it sends one with all writes that are queued by then.
func (l *Ledger) batchLoop(ctx context.Context) {
	for {
		select {
		case l.inFlight <- struct{}{}:
		case <-ctx.Done():
			return
		}
		select {
		case w := <-l.queue:
			b := l.newBatch(l.gatherWrites(w))
			l.wg.Go(func() { l.send(ctx, b) })
		case <-ctx.Done():
			return
		}
	}
}

// gatherWrites returns first and the writes queued after it, up to the limits of
// one batch.
func (l *Ledger) gatherWrites(first *write) []*write {
	writes := []*write{first}
	size := len(first.encoded)
	partitions := map[*partition]bool{first.partition: true}
	for len(writes) < maxBatchClaims && size < maxBatchBytes && len(partitions) < maxBatchKeys {
		select {
		case w := <-l.queue:
			writes = append(writes, w)
			size += len(w.encoded)
			partitions[w.partition] = true
		default:
			return writes
		}
	}
	return writes
}

// newBatch builds a batch for the current table. It refuses writes to partitions
// that the node no longer owns, or has lost and acquired again since the write
// was checked. The table's revision is read before the ownership of the
// partitions: if the table changes in between, the batch carries the older
// revision and its guard fails.
func (l *Ledger) newBatch(writes []*write) *nodeBatch {
	table := l.ownership.TableRevision()
	var accepted []*write
	for _, w := range writes {
		if !w.state.CompareAndSwap(writeQueued, writeSent) {
			continue // cancelled by its caller
		}
		if since, ok := l.ownership.OwnedSince(w.partition.number); ok && since == w.partition.ownedSince {
			accepted = append(accepted, w)
		} else {
			l.complete(w, "", outcomeConflict)
		}
	}
	return l.encodeBatch(table, accepted)
}

// encodeBatch encodes the writes as one record per partition.
func (l *Ledger) encodeBatch(table int64, writes []*write) *nodeBatch {
	b := &nodeBatch{batch: batch{Table: table}, writes: writes, keys: map[*partition]string{}}
	b.bucket = bucketOf(time.Now(), l.config.BucketLength)
	operationID := l.nextOperationID()
	recordIndex := map[*partition]int{}
	for _, w := range writes {
		i, ok := recordIndex[w.partition]
		if !ok {
			i = len(b.Records)
			recordIndex[w.partition] = i
			key := claimKey(l.config.Prefix, w.partition.number, b.bucket, operationID)
			b.keys[w.partition] = key
			b.Records = append(b.Records, record{Key: key})
		}
		b.Records[i].Value = append(b.Records[i].Value, w.encoded...)
	}
	return b
}

// send writes b, resolves an ambiguous outcome and completes the writes. The
// caller has acquired a slot of inFlight, which send releases.
func (l *Ledger) send(ctx context.Context, b *nodeBatch) {
	if len(b.writes) == 0 {
		<-l.inFlight
		return
	}
	l.batchClaims.Update(int64(len(b.writes)))
	o := l.deliver(ctx, b.batch)
	if o != outcomeAmbiguous {
		l.completeBatch(b, o)
		<-l.inFlight
		return
	}
	l.ambiguities.Inc(1)
	l.log.Log(EvAmbiguous, "key", b.Records[0].Key, "claims", len(b.writes))
	// Keep the slot of inFlight until a slot of unresolved is free. This bounds
	// the number of batches with an unknown outcome.
	select {
	case l.unresolved <- struct{}{}:
		<-l.inFlight
		defer func() { <-l.unresolved }()
	case <-ctx.Done():
		<-l.inFlight
	}
	o = l.resolve(ctx, b)
	l.log.Log(EvResolved, "key", b.Records[0].Key, "fate", string(o))
	l.completeBatch(b, o)
}

// deliver sends b to the zone's writer. It writes b from this node if there is
// no other writer, if the writer is in backoff after a failed call, or if the
// writer is known not to have written b.
func (l *Ledger) deliver(ctx context.Context, b batch) outcome {
	node, ok := l.ownership.Writer()
	if !ok || node.ID == l.transport.Self().ID || time.Now().UnixNano() < l.relayBackoffUntil.Load() {
		return l.writer.submit(ctx, b)
	}
	o := l.sendToWriter(ctx, node, b)
	if o == outcomeUnavailable {
		return l.writer.submit(ctx, b)
	}
	return o
}

// sendToWriter sends b to the writer. It returns outcomeUnavailable if the
// writer did not receive b or could not reach the store.
func (l *Ledger) sendToWriter(ctx context.Context, node peer.Node, b batch) outcome {
	ctx, cancel := context.WithTimeout(ctx, l.config.RelayTimeout)
	defer cancel()
	answer, err := peer.Call[commitReply](ctx, l.transport, node, peer.ClaimCommit, b)
	if err == nil && answer.Outcome != outcomeUnavailable {
		return answer.Outcome
	}
	l.relayBackoffUntil.Store(time.Now().Add(l.config.RelayBackoff).UnixNano())
	if err == nil {
		return outcomeUnavailable
	}
	l.log.Log(EvWriterUnreachable, "peer", node.ID, "error", err.Error())
	var remote *peer.RemoteError
	if fault.Is(err, fault.Unavailable) && !errors.As(err, &remote) {
		return outcomeUnavailable
	}
	return outcomeAmbiguous
}

// completeBatch records the outcome of b and completes its writes.
func (l *Ledger) completeBatch(b *nodeBatch, o outcome) {
	l.mu.Lock()
	for p, key := range b.keys {
		if o != outcomeUnavailable { // the key may exist, perhaps empty
			p.keys[b.bucket] = append(p.keys[b.bucket], key)
		}
	}
	l.mu.Unlock()
	for _, w := range b.writes {
		l.complete(w, b.keys[w.partition], o)
	}
}

// complete records the outcome of w and passes it to the waiting caller.
func (l *Ledger) complete(w *write, key string, o outcome) {
	var err error
	switch o {
	case outcomeWritten:
		l.committed.Inc(1)
	case outcomeConflict:
		err = conflict("the ownership of partition %d moved, or the write was given up", w.partition.number)
	case outcomeUnavailable:
		err = unavailable("the store refused the write")
	default:
		err = ambiguous("the write has no known end")
	}
	l.mu.Lock()
	delete(w.partition.pending, w.claim.Request)
	if o == outcomeWritten {
		bucket, _ := bucketOfKey(key, partitionPrefix(l.config.Prefix, w.partition.number)) // made by claimKey
		w.partition.claims[w.claim.Request] = storedClaim{w.claim, bucket}
	}
	l.mu.Unlock()
	if err != nil {
		l.refused.Inc(1)
	}
	w.done <- err
}
