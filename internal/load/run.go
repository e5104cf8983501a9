package load

import (
	"context"
	"sync"
	"time"

	"buckthornpick/internal/wait"
)

// Run makes the workload's calls and waits for all answers. The load is open loop:
// each call starts at its arrival time, regardless of the progress of the others.
// progress may be nil; it is called after each call with the number of calls that
// have ended and the total.
func Run(ctx context.Context, w *Workload, seed uint64, c *Client, progress func(ended, all int)) ([]Result, error) {
	if err := w.Check(); err != nil {
		return nil, err
	}
	calls := w.Schedule(seed)
	results := make([]Result, len(calls))
	var mu sync.Mutex
	ended := 0
	var work sync.WaitGroup
	started := time.Now()
	for i, call := range calls {
		wait.For(ctx, time.Until(started.Add(call.At)))
		if ctx.Err() != nil {
			break
		}
		work.Add(1)
		go func() {
			defer work.Done()
			results[i] = c.Do(ctx, call)
			mu.Lock()
			defer mu.Unlock()
			ended++
			if progress != nil {
				progress(ended, len(calls))
			}
		}()
	}
	work.Wait()
	return results, ctx.Err()
}
