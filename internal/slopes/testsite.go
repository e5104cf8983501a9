package slopes

import (
	"context"
	"fmt"
	"slices"
	"time"

	"buckthornpick/internal/config"
	"buckthornpick/internal/fault"
	"buckthornpick/internal/provider"
	"buckthornpick/internal/standin/cloud"
	"buckthornpick/internal/standin/site"
	"buckthornpick/internal/wait"
)

const (
	entryPrefix = "entry-"
	zoneCount   = 3
	// readyWait limits the wait until all entries reach a state.
	readyWait = 60 * time.Second
	readyPoll = 2 * time.Millisecond
)

// testSite is a site of real entry nodes. Its backend servers exist only in the
// VM list; no process runs behind them.
type testSite struct {
	meter   *meter
	site    *site.Site
	doc     *config.Document
	servers []string
}

func zoneName(i int) string { return string(rune('a' + i%zoneCount)) }

// startTestSite starts entry nodes with a list of servers and waits until each
// node has all members in its table and the document applied.
func startTestSite(ctx context.Context, nodes, servers int, doc *config.Document) (*testSite, error) {
	ts := &testSite{meter: newMeter(1), doc: doc}
	s, err := site.Start(site.Options{Seed: 1, Fabric: ts.meter, Cloud: cloud.Settings{ListLag: time.Millisecond}})
	if err != nil {
		return nil, err
	}
	ts.site = s
	for i := range servers {
		ts.addServer(i)
	}
	if err := ts.startEntries(ctx, nodes); err != nil {
		s.Close()
		return nil, err
	}
	if err := ts.proposeChange(ctx); err != nil {
		s.Close()
		return nil, err
	}
	return ts, nil
}

func (ts *testSite) addServer(i int) {
	id := fmt.Sprintf("server-%s-%05d", zoneName(i), i)
	ts.servers = append(ts.servers, id)
	ts.site.Cloud.Add(provider.VM{
		ID: id, Zone: zoneName(i), Class: "accelerator-4", Service: "chat", State: provider.VMLive,
		Address: fmt.Sprintf("10.%d.%d.%d:8000", i/65536, i/256%256, i%256), Reclaimable: i%2 == 0,
		PricePerHour: 4.25, Accelerators: 4,
	})
}

func (ts *testSite) startEntries(ctx context.Context, n int) error {
	for i := range n {
		if _, err := ts.site.StartEntry(zoneName(i)); err != nil {
			return err
		}
	}
	return ts.awaitMembers(ctx, len(ts.site.Entries()))
}

func (ts *testSite) awaitMembers(ctx context.Context, n int) error {
	return ts.awaitEntries(ctx, "members", func(e *site.Entry) bool { return len(e.Node.Members().Table().Members) == n })
}

// awaitEntries waits until each entry satisfies condition, at most readyWait.
func (ts *testSite) awaitEntries(ctx context.Context, description string, condition func(*site.Entry) bool) error {
	ctx, cancel := context.WithTimeout(ctx, readyWait)
	defer cancel()
	for _, e := range ts.site.Entries() {
		for !condition(e) {
			if !wait.For(ctx, readyPoll) {
				return fault.New(fault.Unavailable, "slopes.await", e.ID, "timed out waiting for condition: %s", description)
			}
		}
	}
	return nil
}

// proposeChange changes one rule and waits until every entry has applied the new
// document.
func (ts *testSite) proposeChange(ctx context.Context) error {
	next := *ts.doc
	next.Rules = slices.Clone(ts.doc.Rules)
	next.Rules[len(next.Rules)/2].Then.DeadlineMillis = float64(ts.doc.Revision + 1)
	ts.doc.Rules = next.Rules
	revision, err := ts.site.Propose(ctx, ts.site.Entries()[0], &next, ts.doc.Revision,
		fmt.Sprintf("change-%d", ts.doc.Revision+1))
	if err != nil {
		return err
	}
	ts.doc.Revision = revision
	return ts.awaitEntries(ctx, "document", func(e *site.Entry) bool {
		current, ok := e.Node.Documents().Current()
		return ok && current.Revision >= revision
	})
}

// document returns a document with the given number of organisations, each with
// one key and one rule.
func document(organisations int) *config.Document {
	doc := &config.Document{Services: []config.Service{{Name: "chat", Kind: config.ModelService, Models: []string{"chat-1"}}}}
	for i := range organisations {
		name := fmt.Sprintf("organisation-%04d", i)
		doc.Organisations = append(doc.Organisations, config.Organisation{Name: name,
			KeyHashes: []string{site.KeyHash(name)}, RequestsPerSecond: 50, MaxConcurrent: 200})
		doc.Rules = append(doc.Rules, config.Rule{Name: name, When: config.When{Organisations: []string{name}},
			Then: config.Then{Service: "chat"}})
	}
	return doc
}
