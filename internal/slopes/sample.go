package slopes

import (
	"runtime"
	"syscall"
	"time"
)

// resourceSample is a snapshot of the process's processor time and of a site's
// store calls and traffic.
type resourceSample struct {
	at       time.Time
	cpu      time.Duration
	calls    map[string]int64
	readings map[string]reading
}

func (ts *testSite) sample() resourceSample {
	return resourceSample{at: time.Now(), cpu: processorTime(), calls: ts.site.Store.Calls(), readings: ts.meter.readings(entryPrefix)}
}

// usage is the difference between two samples.
type usage struct {
	seconds float64
	cpu     time.Duration
	calls   map[string]float64
	total   reading
	// maxPerHost holds, for each destination, the bytes of the node with the most.
	maxPerHost reading
}

func (p resourceSample) usageUntil(q resourceSample) usage {
	u := usage{seconds: q.at.Sub(p.at).Seconds(), cpu: q.cpu - p.cpu, calls: map[string]float64{}}
	for kind, n := range q.calls {
		u.calls[kind] = float64(n - p.calls[kind])
	}
	for host, now := range q.readings {
		then := p.readings[host]
		d := reading{now.peer - then.peer, now.store - then.store, now.cloud - then.cloud}
		u.total = reading{u.total.peer + d.peer, u.total.store + d.store, u.total.cloud + d.cloud}
		u.maxPerHost = reading{max(u.maxPerHost.peer, d.peer), max(u.maxPerHost.store, d.store), max(u.maxPerHost.cloud, d.cloud)}
	}
	return u
}

// writes returns the number of store calls that are writes.
func (u usage) writes() float64 {
	return u.calls["txn"] + u.calls["put"] + u.calls["deleterange"] + u.calls["grant"] +
		u.calls["revoke"] + u.calls["keepalive"]
}

// processorTime returns the user and system time of the process.
func processorTime() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// liveBytes returns the heap and stack memory in use after a garbage collection.
func liveBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
