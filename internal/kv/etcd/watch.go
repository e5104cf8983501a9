package etcd

import (
	"context"
	"encoding/json"
	"io"
	"time"

	"buckthornpick/internal/fault"
	"buckthornpick/internal/kv"
	"buckthornpick/internal/kv/etcd/wire"
)

// watchBuffer is the number of batches buffered for the caller. When the buffer is
// full, reading of the stream pauses.
const watchBuffer = 16

// Watch implements kv.Store. The channel is closed when ctx ends, when the stream
// breaks, or after a batch with Compacted set. The caller must then open a new
// watch.
func (s *Store) Watch(ctx context.Context, prefix string, after int64) (<-chan kv.WatchBatch, error) {
	ctx, cancel := context.WithCancel(ctx)
	openTimer := time.AfterFunc(s.cfg.Timeout, cancel)
	req := wire.WatchRequest{Create: wire.WatchCreate{
		Key: []byte(prefix), RangeEnd: wire.PrefixEnd([]byte(prefix)), StartRevision: after + 1,
	}}
	resp, err := s.send(ctx, "watch", wire.PathWatch, req)
	if err != nil {
		cancel()
		return nil, err
	}
	decoder := json.NewDecoder(resp.Body)
	var created wire.WatchResponse
	err = decoder.Decode(&created)
	if !openTimer.Stop() || err != nil {
		cancel()
		resp.Body.Close()
		return nil, fault.New(fault.Unavailable, "kv.watch", s.cfg.Endpoint, "watch not opened: %v", err)
	}
	batches := make(chan kv.WatchBatch, watchBuffer)
	go func() {
		defer cancel()
		defer close(batches)
		decodeStream(ctx, decoder, resp.Body, batches)
	}()
	return batches, nil
}

// decodeStream sends the batches of the stream to the channel until the stream
// breaks or ctx ends. It closes body.
func decodeStream(ctx context.Context, decoder *json.Decoder, body io.Closer, batches chan<- kv.WatchBatch) {
	defer body.Close()
	for {
		var line wire.WatchResponse
		if decoder.Decode(&line) != nil {
			return
		}
		select {
		case batches <- toBatch(line.Result):
		case <-ctx.Done():
			return
		}
		if line.Result.Canceled {
			return
		}
	}
}

func toBatch(r wire.WatchResult) kv.WatchBatch {
	batch := kv.WatchBatch{Revision: r.Header.Revision, Compacted: r.CompactRevision > 0}
	for _, e := range r.Events {
		batch.Events = append(batch.Events, kv.Event{Entry: toEntry(e.Kv), Deleted: e.Type == wire.EventDelete})
	}
	return batch
}
