package confstore

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/fault"
	"buckthornpick/internal/telemetry"
)

const (
	schedules        = 150
	nodesPerSchedule = 4
	changesPerNode   = 6
)

// schedule is one simulated run of several nodes, each with an operator, against
// a store that loses responses, delays transactions and has outages.
type schedule struct {
	t    *testing.T
	fake *fakeStore

	mu sync.Mutex
	// accepted and refused hold the outcomes reported to operators, by operation
	// ID: the revision of an accepted change, the error of a refused one. unknown
	// counts changes whose outcome stayed ambiguous.
	accepted map[string]int64
	refused  map[string]error
	unknown  int
}

func newRand(seed, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }

func (c *schedule) newNode(name string, r *rand.Rand) *Store {
	s := New(Config{Self: name}, c.fake, telemetry.Discard(), nil)
	var mu sync.Mutex
	s.random = func(d time.Duration) time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return time.Duration(r.Int64N(int64(d)))
	}
	return s
}

// runOperator proposes changes at s, and proposes some of the ambiguous ones again.
func (c *schedule) runOperator(s *Store, name string, r *rand.Rand) {
	for i := range changesPerNode {
		time.Sleep(time.Duration(r.IntN(2000)) * time.Millisecond)
		expected := currentRevision(s)
		id := fmt.Sprint(name, "-", i)
		err := c.propose(s, newChange(id, expected, id), r)
		for fault.Is(err, fault.Ambiguous) && r.IntN(3) > 0 {
			err = c.propose(s, newChange(id, expected, id), r)
		}
		c.mu.Lock()
		switch {
		case fault.Is(err, fault.Ambiguous):
			c.unknown++
		case fault.Is(err, fault.Conflict):
			c.refused[id] = err
		}
		c.mu.Unlock()
	}
}

func (c *schedule) propose(s *Store, change Change, r *rand.Rand) error {
	ctx, cancel := context.WithTimeout(c.t.Context(), time.Duration(1+r.IntN(3000))*time.Millisecond)
	defer cancel()
	result, err := s.Propose(ctx, change)
	if err == nil {
		c.mu.Lock()
		c.accepted[change.OperationID] = result.Revision
		c.mu.Unlock()
	}
	return err
}

// injectFaults starts and ends outages and applies delayed transactions until
// stop is closed; then it ends the outage and applies the rest.
func (c *schedule) injectFaults(r *rand.Rand, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			c.fake.setDown(false)
			c.fake.applyDelayed()
			return
		case <-time.After(time.Duration(50+r.IntN(1500)) * time.Millisecond):
		}
		switch r.IntN(4) {
		case 0:
			c.fake.setDown(true)
		case 1:
			c.fake.applyDelayed()
		default:
			c.fake.setDown(false)
		}
	}
}

// requireRisingRevisions fails the test if a subscriber gets a revision that is
// not higher than the previous one.
func (c *schedule) requireRisingRevisions(s *Store, stop <-chan struct{}) {
	latest, unsubscribe := s.Subscribe()
	defer unsubscribe()
	last := int64(0)
	for {
		select {
		case <-stop:
			return
		case next := <-latest:
			if next.Revision <= last {
				c.t.Errorf("revision went from %d to %d", last, next.Revision)
			}
			last = next.Revision
		}
	}
}

func (c *schedule) run(seed uint64) {
	faults := newRand(seed, 0)
	c.fake.nextFault = func() txnFault {
		if faults.IntN(2) == 0 {
			return answered
		}
		return txnFault(faults.IntN(4))
	}
	var operators, background sync.WaitGroup
	stop := make(chan struct{})
	var nodes []*Store
	for i := range nodesPerSchedule {
		name := fmt.Sprint("n", i)
		s := c.newNode(name, newRand(seed, uint64(100+i)))
		startStore(c.t, s)
		nodes = append(nodes, s)
		background.Go(func() { c.requireRisingRevisions(s, stop) })
		operators.Go(func() { c.runOperator(s, name, newRand(seed, uint64(200+i))) })
	}
	background.Go(func() { c.injectFaults(newRand(seed, 1), stop) })
	operators.Wait()
	close(stop)
	background.Wait()
	time.Sleep(refreshInterval + maxBackoff)
	synctest.Wait()
	c.check(nodes)
}

// check compares the reported outcomes with the history in the store.
func (c *schedule) check(nodes []*Store) {
	t := c.t
	history, err := nodes[0].History(t.Context(), 0)
	require.NoError(t, err)
	written := map[string]int64{}
	for i, e := range history {
		require.EqualValues(t, len(history)-i, e.Revision, "revisions have no gaps")
		require.NotContains(t, written, e.OperationID, "a change is written once")
		written[e.OperationID] = e.Revision
	}
	for id, revision := range c.accepted {
		require.Equal(t, revision, written[id], "accepted change %s", id)
	}
	for id, err := range c.refused {
		require.NotContains(t, written, id, "refused: %v", err)
	}
	for _, s := range nodes {
		require.EqualValues(t, len(history), currentRevision(s), "the latest change is in force everywhere")
	}
}

// Under lost responses, delayed transactions and outages, each change reported as
// accepted is in the history once under the reported revision, each refused one is
// absent, and all nodes end with the latest revision.
func TestOperatorsGetTheActualOutcome(t *testing.T) {
	accepted, refused, unknown := 0, 0, 0
	for seed := range uint64(schedules) {
		synctest.Test(t, func(t *testing.T) {
			c := &schedule{t: t, fake: newFake(), accepted: map[string]int64{}, refused: map[string]error{}}
			c.run(seed)
			accepted, refused, unknown = accepted+len(c.accepted), refused+len(c.refused), unknown+c.unknown
		})
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
	t.Logf("accepted %d, refused %d, unknown %d", accepted, refused, unknown)
	require.NotZero(t, accepted)
	require.NotZero(t, refused)
	require.NotZero(t, unknown)
}
