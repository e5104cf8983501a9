package devsite

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"buckthornpick/internal/load"
	"buckthornpick/internal/netx"
	"buckthornpick/internal/planner"
	"buckthornpick/internal/provider"
	"buckthornpick/internal/standin/cloud"
	"buckthornpick/internal/standin/site"
	"buckthornpick/internal/telemetry"
	"buckthornpick/internal/wait"
)

// Options describe a run of a site.
type Options struct {
	Profile Profile
	Seed    uint64
	// Duration is how long requests arrive; 0 keeps the workload's duration.
	Duration time.Duration
	// Out receives the progress lines and the result table.
	Out io.Writer
	// Log returns the logger of an entry; nil discards its logs.
	Log func(node, zone string) *telemetry.Logger
}

const (
	// entryMemory is the memory of an entry's VM in bytes, and maxCallers the number of
	// callers' connections to it.
	entryMemory = 512 << 20
	maxCallers  = 1024
)

// Start starts the profile's site on loopback, applies its document and waits
// until every entry is ready.
func Start(ctx context.Context, o Options) (*site.Site, error) {
	p := o.Profile
	s, err := site.Start(site.Options{
		Seed: o.Seed, Fabric: site.Loopback(), Entries: EntryZones, Servers: p.Servers,
		Document: p.Document, Older: &p.Older, Log: o.Log,
		Cloud:    cloud.Settings{StartTime: time.Second, Offers: offers(p)},
		Planners: true, TunePlanner: tunePlanner,
		MemoryBytes: entryMemory, MaxCallers: maxCallers,
	})
	if err != nil {
		return nil, err
	}
	if err := applyDocument(ctx, s, o); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// offers returns the offers of the stand-in platform: each VM class of the
// profile in each zone.
func offers(p Profile) []provider.Offer {
	var out []provider.Offer
	for _, spec := range p.Servers {
		for _, zone := range Zones {
			out = append(out, provider.Offer{Zone: zone, Class: spec.Class, Reclaimable: true,
				PricePerHour: spec.PricePerHour, Accelerators: site.AcceleratorsOf(spec)})
		}
	}
	return out
}

// requestsPerAccelerator is the number of running requests per accelerator for
// which the planners size the site's small engines.
const requestsPerAccelerator = 6

const (
	// loadSmoothingTime is the time over which the planners average the load; it
	// is short compared with a run.
	loadSmoothingTime = 2 * time.Second
	// reclaimBackoff is how long the planners start no VM in a zone after a
	// reclaim.
	reclaimBackoff = 2 * time.Second
)

func tunePlanner(c *planner.Config) {
	c.Demand.RequestsPerAccelerator = requestsPerAccelerator
	c.Demand.SmoothingTime = loadSmoothingTime
	c.ReclaimBackoff = reclaimBackoff
	c.Interval = time.Second
}

const (
	readyWait = 30 * time.Second
	readyPoll = 50 * time.Millisecond
)

// applyDocument waits until every entry is a member, proposes the profile's
// document and waits until every entry is ready.
func applyDocument(ctx context.Context, s *site.Site, o Options) error {
	ctx, cancel := context.WithTimeout(ctx, readyWait)
	defer cancel()
	if err := waitUntil(ctx, "every entry is a member", func() bool { return allMembers(s) }); err != nil {
		return err
	}
	if _, err := s.Propose(ctx, s.Entries()[0], o.Profile.Document, 0, "first document"); err != nil {
		return err
	}
	return waitUntil(ctx, "every entry is ready", func() bool { return allReady(s) })
}

// waitUntil polls condition until it holds or ctx ends. description completes the
// error "timed out waiting until ...".
func waitUntil(ctx context.Context, description string, condition func() bool) error {
	for !condition() {
		if ctx.Err() != nil {
			return fmt.Errorf("timed out waiting until %s: %w", description, ctx.Err())
		}
		time.Sleep(readyPoll)
	}
	return nil
}

// allMembers reports whether every entry has all entries in its member table.
func allMembers(s *site.Site) bool {
	entries := s.Entries()
	for _, e := range entries {
		if len(e.Node.Members().Table().Members) != len(entries) {
			return false
		}
	}
	return true
}

// allReady reports whether every entry is ready and sees all backend servers in
// its VM list.
func allReady(s *site.Site) bool {
	for _, e := range s.Entries() {
		if e.Node.Ready() != nil || len(e.Node.Inventory().View().VMs) < len(s.Servers()) {
			return false
		}
	}
	return true
}

// Run starts the site, runs its workload while one backend server and later one
// zone are reclaimed, and writes a report to o.Out. It returns an error if a
// request was lost, executed twice, answered wrongly or its connection closed
// before the end of the answer.
func Run(ctx context.Context, o Options) error {
	if o.Duration > 0 {
		o.Profile.Workload.DurationSeconds = o.Duration.Seconds()
	}
	s, err := Start(ctx, o)
	if err != nil {
		return err
	}
	defer s.Close()
	_, _ = fmt.Fprintf(o.Out, "site %s: %d entries and %d backend servers in %d zones\n",
		o.Profile.Name, len(s.Entries()), len(s.Servers()), len(Zones))
	client := newLoadClient(s)
	defer client.HTTP.CloseIdleConnections()
	started := time.Now()
	stopReclaims := startReclaims(ctx, s, o)
	results, err := load.Run(ctx, &o.Profile.Workload, o.Seed, client, printProgress(o.Out, started))
	stopReclaims()
	if err != nil {
		return err
	}
	took := time.Since(started)
	report := load.Summarise(o.Profile.Name, took, results)
	counts := countExecutions(s)
	report.WriteTable(o.Out, counts.rows(o.Profile, report)...)
	return checkReport(report, counts)
}

func newLoadClient(s *site.Site) *load.Client {
	return &load.Client{
		HTTP:     netx.HTTPClient(netx.TCP{}, netx.HTTPOptions{MaxIdlePerHost: 256}),
		Balancer: roundRobinBalancer(s),
	}
}

// roundRobinBalancer distributes connections round robin over the ready entries.
func roundRobinBalancer(s *site.Site) load.Balancer {
	return func(call, attempt int) string {
		entries := s.Entries()
		for i := range entries {
			e := entries[(call+attempt+i)%len(entries)]
			if e.Node.Ready() == nil {
				return e.URL
			}
		}
		return entries[(call+attempt)%len(entries)].URL
	}
}

const (
	// serverNotice and zoneNotice are the times between the reclaim notice and
	// the end of the VMs.
	serverNotice = 4 * time.Second
	zoneNotice   = 6 * time.Second
	// serverReclaimAt and zoneReclaimAt are the times of the notices, as fractions
	// of the run.
	serverReclaimAt = 0.25
	zoneReclaimAt   = 0.5
)

// startReclaims reclaims one backend server and later a whole zone in the
// background, and replaces the entries of that zone. The returned function cancels
// the rest and waits for the goroutine.
func startReclaims(ctx context.Context, s *site.Site, o Options) func() {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	runTime := time.Duration(o.Profile.Workload.DurationSeconds * float64(time.Second))
	go func() {
		defer close(done)
		if !wait.For(ctx, time.Duration(serverReclaimAt*float64(runTime))) {
			return
		}
		serverID := pickServer(s, o)
		_, _ = fmt.Fprintf(o.Out, "notice: backend server %s goes in %s\n", serverID, serverNotice)
		s.Cloud.Reclaim(serverID, serverNotice)
		if !wait.For(ctx, time.Duration((zoneReclaimAt-serverReclaimAt)*float64(runTime))) {
			return
		}
		zone := Zones[len(Zones)-1]
		reclaimed := s.Cloud.ReclaimZone(zone, zoneNotice)
		_, _ = fmt.Fprintf(o.Out, "notice: zone %s goes in %s with %d VMs\n", zone, zoneNotice, len(reclaimed))
		replaceEntries(s, reclaimed)
	}()
	return func() {
		cancel()
		<-done
	}
}

// pickServer returns a random backend server of the first service outside the
// zone that is reclaimed later.
func pickServer(s *site.Site, o Options) string {
	rng := rand.New(rand.NewPCG(o.Seed, 2))
	var ids []string
	for _, vm := range s.Cloud.VMs() {
		if vm.Service == o.Profile.Servers[0].Service && vm.Zone != Zones[len(Zones)-1] && vm.State == provider.VMLive {
			ids = append(ids, vm.ID)
		}
	}
	return ids[rng.IntN(len(ids))]
}

// replaceEntries starts a new entry in the remaining zones for each reclaimed one,
// as the platform does. The planners replace the backend servers.
func replaceEntries(s *site.Site, reclaimed []string) {
	remainingZones := Zones[:len(Zones)-1]
	for i, id := range reclaimed {
		if _, isEntry := s.Entry(id); isEntry {
			_, _ = s.StartEntry(remainingZones[i%len(remainingZones)])
		}
	}
}

const progressInterval = 2 * time.Second

// printProgress returns a progress function that prints at most one line per
// progressInterval.
func printProgress(out io.Writer, started time.Time) func(ended, all int) {
	last := started
	return func(ended, all int) {
		if now := time.Now(); now.Sub(last) >= progressInterval {
			last = now
			_, _ = fmt.Fprintf(out, "%5.1f s: %d of %d calls ended\n", now.Sub(started).Seconds(), ended, all)
		}
	}
}
