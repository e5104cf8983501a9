package claim

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"buckthornpick/internal/backend"
	"buckthornpick/internal/fault"
	"buckthornpick/internal/kv"
	"buckthornpick/internal/request"
)

const (
	modelNodes      = 3
	modelPartitions = 2
	modelRequests   = 4
)

// step is one action of the state machine.
type step struct {
	Action  string
	Node    int
	Request int
	Owner   int
	Wait    time.Duration
	Limit   time.Duration
}

func drawSteps(t *rapid.T) []step {
	stepGenerator := rapid.Custom(func(t *rapid.T) step {
		return step{
			Action: rapid.SampledFrom([]string{"commit", "commit", "commit", "amend", "release", "lookup", "lookup",
				"move", "move-untold", "tell", "pause", "wake", "lose", "late", "down", "up", "writer", "no-writer", "cut", "join"}).Draw(t, "action"),
			Node:    rapid.IntRange(0, modelNodes-1).Draw(t, "node"),
			Request: rapid.IntRange(0, modelRequests-1).Draw(t, "request"),
			Owner:   rapid.IntRange(0, modelNodes-1).Draw(t, "owner"),
			Wait:    time.Duration(rapid.SampledFrom([]int{0, 0, 1, 3, 20, 3000}).Draw(t, "wait")) * time.Millisecond,
			Limit:   time.Duration(rapid.SampledFrom([]int{3, 10, 100, 10000}).Draw(t, "limit")) * time.Millisecond,
		}
	})
	return rapid.SliceOfN(stepGenerator, 1, 60).Draw(t, "steps")
}

// model is the oracle: what took effect at the store, in order.
type model struct {
	*site
	mu                 sync.Mutex
	log                map[request.ID][]Claim
	reportedNotWritten map[backend.AttemptID]bool // reported as not written
	serial             int
	errs               []string
	calls              sync.WaitGroup
}

func (m *model) failf(format string, args ...any) {
	m.errs = append(m.errs, fmt.Sprintf(format, args...))
}

// applied checks each write as it takes effect; the store's lock is held, so
// the current owners are those of the table in the store.
func (m *model) onApplied(op kv.Op) {
	if op.Key == tableKey || len(op.Value) == 0 {
		return
	}
	claims, err := decodeClaims(op.Value)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.failf("%s: %v", op.Key, err)
	}
	for _, c := range claims {
		if owner := fmt.Sprint("n", m.owners[c.Request.Partition()]); owner != c.Owner {
			m.failf("%s wrote %s, owned by %s", c.Owner, c.Attempt, owner)
		}
		if m.reportedNotWritten[c.Attempt] {
			m.failf("%s took effect after it was reported as not written", c.Attempt)
		}
		past := m.log[c.Request]
		if len(past) > 0 {
			last := past[len(past)-1]
			if c.Number <= last.Number && !c.Released && !last.Released {
				m.failf("%s doubles the claim %s", c.Attempt, last.Attempt)
			}
		}
		m.log[c.Request] = append(past, c)
	}
}

func (m *model) claimsOf(id request.ID) []Claim {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.log[id]
}

// attempt runs one write and checks what it reports.
func (m *model) writeAndCheck(n *node, c Claim, limit time.Duration, f func(context.Context, Claim) error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	err := f(ctx, c)
	m.mu.Lock()
	defer m.mu.Unlock()
	written := false
	for _, d := range m.log[c.Request] {
		written = written || d.Attempt == c.Attempt && d.Released == c.Released
	}
	switch {
	case err == nil && !written:
		m.failf("%s reported as written, is not", c.Attempt)
	case fault.Is(err, fault.Conflict), fault.Is(err, fault.Unavailable):
		if written {
			m.failf("%s is written, reported: %v", c.Attempt, err)
		}
		m.reportedNotWritten[c.Attempt] = !c.Released
	case err != nil && !fault.Is(err, fault.Ambiguous):
		m.failf("%s: unexpected %v", c.Attempt, err)
	}
}

// lookup checks that a true owner knows all that took effect before it asked.
func (m *model) lookupAndCheck(n *node, id request.ID, limit time.Duration) error {
	owner := func() bool {
		m.site.mu.Lock()
		defer m.site.mu.Unlock()
		return m.nodes[m.owners[id.Partition()]] == n && n.TableRevision() == m.table
	}
	before, began := m.claimsOf(id), owner()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	c, found, err := n.Lookup(ctx, id)
	if err != nil || !began || !owner() {
		return err
	}
	after := m.claimsOf(id)
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := len(before) - 1; i < len(after); i++ {
		if i < 0 && !found || i >= 0 && found && after[i].sameAttempt(c) {
			return nil
		}
	}
	m.failf("owner %s knows %v %s of %s, the store has %d claims", n.self.ID, found, c.Attempt, id, len(after))
	return nil
}

func (m *model) claim(n *node, id request.ID) Claim {
	m.mu.Lock()
	m.serial++
	c := n.claim(id, m.serial)
	m.mu.Unlock()
	return c
}

// amend follows the claim that the node knows.
func (m *model) amend(n *node, id request.ID, limit time.Duration, release bool) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	old, found, err := n.Lookup(ctx, id)
	if err != nil || !found {
		return
	}
	c := m.claim(n, id)
	c.Number, c.Released = old.Number+1, release
	if release {
		c.Number = old.Number
	}
	m.writeAndCheck(n, c, limit, n.Amend)
}

func (m *model) run(s step) {
	n := m.nodes[s.Node]
	partition := s.Request % modelPartitions
	id := testID(partition, s.Request)
	switch s.Action {
	case "commit":
		c := m.claim(n, id)
		if past := m.claimsOf(id); len(past) > 0 {
			c.Number = past[len(past)-1].Number
		}
		m.calls.Go(func() { m.writeAndCheck(n, c, s.Limit, n.Commit) })
	case "amend", "release":
		m.calls.Go(func() { m.amend(n, id, s.Limit, s.Action == "release") })
	case "lookup":
		m.calls.Go(func() { _ = m.lookupAndCheck(n, id, s.Limit) })
	case "move":
		m.assign(partition, s.Owner, m.nodes...)
	case "move-untold":
		m.assign(partition, s.Owner, m.nodes[s.Owner])
	case "tell":
		m.site.mu.Lock()
		m.deliver(n, 0)
		m.site.mu.Unlock()
	case "pause", "wake":
		m.pause(n, s.Action == "pause")
	case "lose":
		n.nodeStore.set(func(v *nodeStore) { v.loseAnswers = 1 + s.Owner })
	case "late":
		n.nodeStore.set(func(v *nodeStore) { v.delayNextWrite = s.Limit })
	case "down", "up":
		n.nodeStore.set(func(v *nodeStore) { v.down = s.Action == "down" })
	case "writer":
		n.setWriter(m.nodes[s.Owner])
	case "no-writer":
		n.setWriter(nil)
	case "cut", "join":
		m.net.setPartitioned(s.Action == "cut")
	}
	time.Sleep(s.Wait)
}

// heal ends all faults; afterwards every owner must know every claim.
func (m *model) healAndCheck() {
	for _, n := range m.nodes {
		m.pause(n, false)
		n.nodeStore.set(func(v *nodeStore) { v.down, v.loseAnswers, v.delayNextWrite = false, 0, 0 })
	}
	m.calls.Wait()
	m.store.lateWrites.Wait()
	time.Sleep(time.Minute)
	for shift := range modelNodes { // each node becomes the owner of each partition
		for p := range modelPartitions {
			m.assign(p, (p+shift)%modelNodes, m.nodes...)
		}
		for r := range modelRequests {
			p := r % modelPartitions
			if err := m.lookupAndCheck(m.nodes[(p+shift)%modelNodes], testID(p, r), time.Minute); err != nil {
				m.failf("lookup of %d after all faults: %v", r, err)
			}
		}
	}
}

// runModel returns the violations of one run.
func runModel(t *testing.T, steps []step) []string {
	var errs []string
	synctest.Test(t, func(*testing.T) {
		m := &model{site: newSite(modelNodes, Config{}), log: map[request.ID][]Claim{}, reportedNotWritten: map[backend.AttemptID]bool{}}
		m.store.onApplied = m.onApplied
		for p := range modelPartitions {
			m.assign(p, p, m.nodes...)
		}
		for _, s := range steps {
			m.run(s)
		}
		m.healAndCheck()
		m.stop()
		errs = m.errs
	})
	return errs
}

func TestModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := drawSteps(rt)
		if errs := runModel(t, steps); len(errs) > 0 {
			rt.Fatalf("%v", errs)
		}
	})
}
