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

// step is one randomly generated action of a model run.
type step struct {
	Action  string
	Node    int           // node that acts or gets the fault
	Request int           // request that the call is about
	Owner   int           // new owner or writer; for "lose" one less than the number of lost responses
	Wait    time.Duration // pause after the action
	Limit   time.Duration // timeout of the call; for "late" the delay of the write
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

// model is the test oracle: it records, per request, the claims that took effect
// in the store, in order, and checks the ledgers against them.
type model struct {
	*site
	mu                 sync.Mutex
	log                map[request.ID][]Claim
	reportedNotWritten map[backend.AttemptID]bool // attempts reported as not written
	serial             int
	errs               []string
	calls              sync.WaitGroup
}

func (m *model) failf(format string, args ...any) {
	m.errs = append(m.errs, fmt.Sprintf(format, args...))
}

// onApplied checks each write when it takes effect. The caller holds the store's
// lock, so m.owners matches the table in the store.
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
			m.failf("%s wrote %s, whose partition is owned by %s", c.Owner, c.Attempt, owner)
		}
		if m.reportedNotWritten[c.Attempt] {
			m.failf("%s took effect after it was reported as not written", c.Attempt)
		}
		past := m.log[c.Request]
		if len(past) > 0 {
			last := past[len(past)-1]
			if c.Number <= last.Number && !c.Released && !last.Released {
				m.failf("%s was written although %s holds the claim", c.Attempt, last.Attempt)
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

// writeAndCheck runs one write and checks its result against the store.
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
		m.failf("%s was reported as written but is not in the store", c.Attempt)
	case fault.Is(err, fault.Conflict), fault.Is(err, fault.Unavailable):
		if written {
			m.failf("%s is in the store but was reported as not written: %v", c.Attempt, err)
		}
		m.reportedNotWritten[c.Attempt] = !c.Released
	case err != nil && !fault.Is(err, fault.Ambiguous):
		m.failf("%s: unexpected %v", c.Attempt, err)
	}
}

// lookupAndCheck checks that a node that owns the partition, according to the
// current table, during the whole lookup finds the latest claim that took effect
// before the lookup or a later one.
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
	m.failf("owner %s found %v %s of %s, the store has %d claims", n.self.ID, found, c.Attempt, id, len(after))
	return nil
}

func (m *model) claim(n *node, id request.ID) Claim {
	m.mu.Lock()
	m.serial++
	c := n.claim(id, m.serial)
	m.mu.Unlock()
	return c
}

// amend amends or releases the claim that the node knows of.
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

// healAndCheck ends all faults and checks that afterwards every node, as owner
// of any partition, knows every claim.
func (m *model) healAndCheck() {
	for _, n := range m.nodes {
		m.pause(n, false)
		n.nodeStore.set(func(v *nodeStore) { v.down, v.loseAnswers, v.delayNextWrite = false, 0, 0 })
	}
	m.calls.Wait()
	m.store.lateWrites.Wait()
	time.Sleep(time.Minute)
	for shift := range modelNodes { // each node becomes the owner of each partition once
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

// runModel runs the steps and returns the violations found.
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
