package bench

import (
	"context"
	"fmt"
	"net/http"
	"runtime/pprof"
	"time"

	"buckthornpick/internal/config"
	"buckthornpick/internal/load"
	"buckthornpick/internal/netx"
	"buckthornpick/internal/request"
	"buckthornpick/internal/standin/engine"
	"buckthornpick/internal/standin/site"
	"buckthornpick/internal/wait"
)

const (
	organisation = "bench"
	bearerKey    = "sk-bench"
	model        = "bench-model"
	service      = "bench"
	// answerTokens is the length of each answer, in tokens.
	answerTokens = 360
	promptWords  = 100

	numEngines = 10
	// decodeTokensPerSecond is the generation rate of one answer, independent
	// of the batch size.
	decodeTokensPerSecond  = 100
	prefillTokensPerSecond = 1_000_000
	maxBatch               = 1024
	kvCacheTokens          = 16 << 20

	maxIdlePerHost = 4096
	// ProfileLabel is the label of the entries' goroutines in profiles; its
	// value there is "entry".
	ProfileLabel = "part"
)

// bench is a running site with two entries, and the client that calls it.
type bench struct {
	site    *site.Site
	client  *http.Client
	rec     *recorder
	engines []string
}

// start starts a site with all engines and two ready entries.
func start(ctx context.Context, seed uint64) (*bench, error) {
	b := &bench{rec: newRecorder(), client: netx.HTTPClient(netx.TCP{}, netx.HTTPOptions{
		MaxIdle: maxIdlePerHost, MaxIdlePerHost: maxIdlePerHost})}
	zones := make([]string, numEngines)
	for i := range zones {
		zones[i] = "a"
	}
	doc := document()
	var err error
	b.site, err = site.Start(site.Options{Seed: seed, Fabric: site.Loopback(), Document: doc,
		Servers: []site.ServerSpec{{Service: service, Kind: config.ModelService, Zones: zones, Class: "gpu",
			Engine: engine.Settings{Models: []string{model}, PrefillTokensPerSecond: prefillTokensPerSecond, MaxBatch: maxBatch,
				MaxWaiting: maxBatch, KVTokens: kvCacheTokens, DecodeTokensPerSecond: func(int) float64 { return decodeTokensPerSecond },
				Observe: b.rec.observe}}}})
	if err != nil {
		return nil, err
	}
	for _, sv := range b.site.Servers() {
		b.engines = append(b.engines, "http://"+sv.Address)
	}
	if err := b.startEntries(ctx, doc); err != nil {
		b.close()
		return nil, err
	}
	return b, nil
}

func (b *bench) close() {
	b.site.Close()
	b.client.CloseIdleConnections()
}

func document() *config.Document {
	return &config.Document{
		Organisations: []config.Organisation{{Name: organisation, KeyHashes: []string{site.KeyHash(bearerKey)}}},
		Services:      []config.Service{{Name: service, Kind: config.ModelService, Models: []string{model}}},
		Rules: []config.Rule{{Name: "all", When: config.When{Services: []string{service}},
			Then: config.Then{Service: service}}},
	}
}

// startEntries starts two entries with labelled goroutines and waits until they are
// ready with the document.
func (b *bench) startEntries(ctx context.Context, doc *config.Document) error {
	var err error
	pprof.Do(ctx, pprof.Labels(ProfileLabel, "entry"), func(context.Context) {
		for range 2 {
			if err == nil {
				_, err = b.site.StartEntry("a")
			}
		}
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := b.await(ctx, b.areMembers); err != nil {
		return err
	}
	if _, err := b.site.Propose(ctx, b.site.Entries()[0], doc, 0, "bench"); err != nil {
		return err
	}
	return b.await(ctx, b.areReady)
}

const (
	readyTimeout      = 30 * time.Second
	readyPollInterval = 20 * time.Millisecond
)

// await polls ok until it is true; it returns an error when the context ends.
func (b *bench) await(ctx context.Context, ok func() bool) error {
	for !ok() {
		if !wait.For(ctx, readyPollInterval) {
			return fmt.Errorf("the site did not become ready: %w", ctx.Err())
		}
	}
	return nil
}

func (b *bench) areMembers() bool {
	for _, e := range b.site.Entries() {
		if len(e.Node.Members().Table().Members) < len(b.site.Entries()) {
			return false
		}
	}
	return true
}

func (b *bench) areReady() bool {
	for _, e := range b.site.Entries() {
		if e.Node.Ready() != nil {
			return false
		}
	}
	return true
}

// toEngines distributes the calls over the engines in round-robin order.
func (b *bench) toEngines() target {
	return target{isEngine: true, url: func(c *load.Call) string { return b.engines[c.Number%len(b.engines)] }}
}

// toEntry sends all calls to the first entry.
func (b *bench) toEntry() target {
	url := b.site.Entries()[0].URL
	return target{url: func(*load.Call) string { return url }}
}

// calls returns the calls of a phase; rate is in requests per second.
func calls(seed uint64, rate float64, duration time.Duration) []load.Call {
	w := load.Workload{
		Name: "bench", RequestsPerSecond: rate, DurationSeconds: duration.Seconds(),
		Callers: []load.CallerSpec{{Organisation: organisation, Key: bearerKey, Weight: 1}},
		Classes: []load.Class{{Name: "chat", Weight: 1, Model: model, PromptWords: promptWords,
			MaxTokens: answerTokens, Stream: true}},
	}
	return w.Schedule(seed)
}

// withoutKeys returns the calls without idempotency keys, so that the entry
// generates the keys itself.
func withoutKeys(calls []load.Call) []load.Call {
	out := append([]load.Call(nil), calls...)
	for i := range out {
		out[i].Key = ""
	}
	return out
}

// withKeysOwnedElsewhere returns the calls with keys that another entry than the
// first owns, so that the first entry relays them.
func (b *bench) withKeysOwnedElsewhere(calls []load.Call) []load.Call {
	ingress := b.site.Entries()[0]
	table := ingress.Node.Members().Table()
	out := append([]load.Call(nil), calls...)
	for i := range out {
		for n := 0; ; n++ {
			key := fmt.Sprintf("%s-%d", out[i].Key, n)
			owner, ok := table.Owner(request.NewID(organisation, key).Partition())
			if ok && owner.ID != ingress.ID {
				out[i].Key = key
				break
			}
		}
	}
	return out
}
