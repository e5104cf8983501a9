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
	// Duration is how long requests arrive; 0 keeps the workload's own.
	Duration time.Duration
	// Out gets progress and the table.
	Out io.Writer
	// Log returns an entry's logger; nil discards.
	Log func(node, zone string) *telemetry.Logger
}

// Start starts the profile's site on loopback and puts its document in force.
func Start(ctx context.Context, o Options) (*site.Site, error) {
	p := o.Profile
	s, err := site.Start(site.Options{
		Seed: o.Seed, Fabric: site.Loopback(), Entries: EntryZones, Servers: p.Servers,
		Document: p.Document, Older: &p.Older, Log: o.Log,
		Cloud:    cloud.Settings{StartTime: time.Second, Offers: offers(p)},
		Planners: true, TunePlanner: tunePlanner,
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

// offers returns what the stand-in platform sells: each kind of the profile's
// VMs in each zone.
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

// requestsPerAccelerator is the running requests for which the planners hold
// one of the site's small engines.
const requestsPerAccelerator = 6

const (
	// smoothOver is the planners' mean over the load, short enough for a run.
	loadSmoothingTime = 2 * time.Second
	// reclaimBackoff is how long after a reclaim its zone gets no start.
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

func waitUntil(ctx context.Context, description string, condition func() bool) error {
	for !condition() {
		if ctx.Err() != nil {
			return fmt.Errorf("gave up waiting until %s: %w", description, ctx.Err())
		}
		time.Sleep(readyPoll)
	}
	return nil
}

func allMembers(s *site.Site) bool {
	entries := s.Entries()
	for _, e := range entries {
		if len(e.Node.Members().Table().Members) != len(entries) {
			return false
		}
	}
	return true
}

func allReady(s *site.Site) bool {
	for _, e := range s.Entries() {
		if e.Node.Ready() != nil || len(e.Node.Inventory().View().VMs) < len(s.Servers()) {
			return false
		}
	}
	return true
}

// Run starts the site, drives its workload with a reclaimed backend server and
// a reclaimed zone on the way, and reports. It returns an error if a request
// was lost, doubled, cut off or wrongly answered.
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
	stopEvents := startReclaims(ctx, s, o)
	results, err := load.Run(ctx, &o.Profile.Workload, o.Seed, client, printProgress(o.Out, started))
	stopEvents()
	if err != nil {
		return err
	}
	took := time.Since(started)
	report := load.Summarise(o.Profile.Name, took, results)
	tally := countExecutions(s)
	report.WriteTable(o.Out, tally.rows(o.Profile, report)...)
	return checkReport(report, tally)
}

func newLoadClient(s *site.Site) *load.Client {
	return &load.Client{
		HTTP:     netx.HTTPClient(netx.TCP{}, netx.HTTPOptions{MaxIdlePerHost: 256}),
		Balancer: roundRobinBalancer(s),
	}
}

// balancer gives connections to ready entries in turn.
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
	// serverNotice and zoneNotice are the times between notice and end.
	serverNotice = 4 * time.Second
	zoneNotice   = 6 * time.Second
	// serverAt and zoneAt are the parts of the run at which notices come.
	serverReclaimAt = 0.25
	zoneReclaimAt   = 0.5
)

// startEvents reclaims one backend server and later a whole zone, and starts
// entries in the place of those that go. The returned function waits for it.
func startReclaims(ctx context.Context, s *site.Site, o Options) func() {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	whole := time.Duration(o.Profile.Workload.DurationSeconds * float64(time.Second))
	go func() {
		defer close(done)
		if !wait.For(ctx, time.Duration(serverReclaimAt*float64(whole))) {
			return
		}
		victim := pickServer(s, o)
		_, _ = fmt.Fprintf(o.Out, "notice: backend server %s goes in %s\n", victim, serverNotice)
		s.Cloud.Reclaim(victim, serverNotice)
		if !wait.For(ctx, time.Duration((zoneReclaimAt-serverReclaimAt)*float64(whole))) {
			return
		}
		zone := Zones[len(Zones)-1]
		gone := s.Cloud.ReclaimZone(zone, zoneNotice)
		_, _ = fmt.Fprintf(o.Out, "notice: zone %s goes in %s with %d VMs\n", zone, zoneNotice, len(gone))
		replaceEntries(s, gone)
	}()
	return func() {
		cancel()
		<-done
	}
}

// pickServer returns a backend server of the first service outside the zone
// that goes later.
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

// replaceEntries starts new entries in the remaining zones, as the platform
// does. The planners replace the backend servers.
func replaceEntries(s *site.Site, gone []string) {
	rest := Zones[:len(Zones)-1]
	for i, id := range gone {
		if _, isEntry := s.Entry(id); isEntry {
			_, _ = s.StartEntry(rest[i%len(rest)])
		}
	}
}

const progressInterval = 2 * time.Second

// printProgress returns a progress function that prints now and then.
func printProgress(out io.Writer, started time.Time) func(ended, all int) {
	last := started
	return func(ended, all int) {
		if now := time.Now(); now.Sub(last) >= progressInterval {
			last = now
			_, _ = fmt.Fprintf(out, "%5.1f s: %d of %d calls ended\n", now.Sub(started).Seconds(), ended, all)
		}
	}
}
