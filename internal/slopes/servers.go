package slopes

import (
	"context"
	"fmt"
	"time"

	"buckthornpick/internal/backend"
	"buckthornpick/internal/route"
	"buckthornpick/internal/wait"
)

const (
	fewServers       = 13
	fewOrganisations = 5
	serverNodes      = 12
	reclaimCount     = 3
	reclaimPause     = 1500 * time.Millisecond
	startCount       = 3
	// startsPause is long enough for the nodes to read the VM list again.
	startsPause   = 1500 * time.Millisecond
	reclaimNotice = time.Minute
)

// measureServers measures reclaim notices and new VMs against the number of
// backend servers.
func measureServers(ctx context.Context, o Options, out *Results) error {
	for _, n := range o.Servers {
		if err := measureServersAt(ctx, n, out); err != nil {
			return err
		}
	}
	return nil
}

func measureServersAt(ctx context.Context, n int, out *Results) error {
	add := func(quantity, unit string, y float64) {
		out.Add("servers", quantity, unit, "servers", float64(n), y)
	}
	before := liveBytes()
	ts, err := startTestSite(ctx, serverNodes, n, document(fewOrganisations))
	if err != nil {
		return err
	}
	defer ts.site.Close()
	wait.For(ctx, settleTime)
	baseline := ts.measureDuring(func() { wait.For(ctx, idlePeriod/2) })
	add("idle: bytes with the cloud API, busiest node", "B/s", baseline.maxPerHost.cloud/baseline.seconds)
	add("idle: processor time per node, stand-ins included", "share of a core", baseline.cpu.Seconds()/serverNodes/baseline.seconds)
	add("memory per node, stand-ins included", "B", (liveBytes()-before)/serverNodes)
	used := ts.measureDuring(func() {
		for i := range reclaimCount {
			ts.site.Cloud.Reclaim(ts.servers[2*i], reclaimNotice)
			wait.For(ctx, reclaimPause)
		}
	})
	add("VM under notice: bytes to peers per event and node", "B", used.peerBytesAbove(baseline)/serverNodes/reclaimCount)
	used = ts.measureDuring(func() {
		for i := range startCount {
			ts.addServer(n + i)
			wait.For(ctx, startsPause)
		}
	})
	add("VM new in the list: bytes to peers per event and node", "B", used.peerBytesAbove(baseline)/serverNodes/startCount)
	return nil
}

const pickCount = 2000

// measurePicker measures the processor time of one request's routing decisions
// and the memory of a picker against the number of servers.
func measurePicker(_ context.Context, o Options, out *Results) error {
	for _, n := range o.Servers {
		now := time.Now()
		before := liveBytes()
		p := route.NewPicker(route.Config{Self: "entry-1", Zone: "a"})
		p.SetServers(now, routeServers(n))
		memory := liveBytes() - before
		began := processorTime()
		for i := range pickCount {
			query := route.Query{Now: now, Service: "chat", Context: uint64(i) + 1, PromptTokens: 500, MaxTokens: 300}
			choice, err := p.Pick(query)
			if err != nil {
				return err
			}
			p.RecordDispatch(now, choice.Server.ID, query)
			p.RecordFinish(now, choice.Server.ID, query, backend.Usage{}, true)
		}
		spent := processorTime() - began
		x := float64(n)
		out.Add("picker", "choice, start and end of a request: processor time", "µs", "servers", x, float64(spent.Microseconds())/pickCount)
		out.Add("picker", "memory of a picker's servers", "B", "servers", x, memory)
	}
	return nil
}

func routeServers(n int) []route.Server {
	out := make([]route.Server, 0, n)
	for i := range n {
		out = append(out, route.Server{ID: fmt.Sprintf("server-%05d", i), Zone: zoneName(i), Class: "accelerator-4",
			Address: "10.0.0.1:8000", Price: 4.25, Accelerators: 4, State: route.Live})
	}
	return out
}
