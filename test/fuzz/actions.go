package fuzz

import (
	"time"

	"buckthornpick/internal/provider"
	"buckthornpick/internal/standin/cloud"
	"buckthornpick/internal/standin/site"
)

// performStep performs one step. A step without a suitable object, such as a
// running server or an open connection, has no effect.
func (h *harness) performStep(s Step) {
	switch s.Action {
	case actSend, actSendMany, actResend, actHangUp, actAttach:
		h.performCallerStep(s)
	case actEdit, actEditRace, actEditAgain:
		h.performOperatorStep(s)
	case actReclaimServer, actReclaimEntry, actReclaimZone, actStartServers, actStartEntry, actCloudOutage, actCloudHeal:
		h.performPlatformStep(s)
	case actStoreOutage, actStoreLapse, actStoreSlow, actStoreLose, actStoreLate, actStoreHeal:
		h.performStoreStep(s)
	case actCutZones, actCutPlatform, actIsolate, actCutEntry, actPauseEntry, actHealNetwork:
		h.performNetworkStep(s)
	case actStop, actKillEntry, actRestartEntry, actStopAndKill:
		h.performProcessStep(s)
	default:
		h.performServerStep(s)
	}
}

// pick returns the element that the selector chooses; ok is false for an empty
// list.
func pick[T any](list []T, selector int) (T, bool) {
	var none T
	if len(list) == 0 {
		return none, false
	}
	return list[selector%len(list)], true
}

// maxSimultaneousCalls bounds the calls that are sent at one instant.
const maxSimultaneousCalls = 5

func (h *harness) performCallerStep(s Step) {
	e, ok := pick(h.site.Entries(), s.A)
	if !ok {
		return
	}
	switch s.Action {
	case actSend:
		h.send(h.newCall(s.B, s.C), e)
	case actSendMany:
		for i := range 2 + s.C%(maxSimultaneousCalls-1) {
			if e, ok := pick(h.site.Entries(), s.A+i); ok {
				h.send(h.newCall(s.B+3*i, s.C+i), e)
			}
		}
	case actResend:
		if c, ok := pick(h.keyedCalls(), s.B); ok {
			h.send(c, e)
		}
	case actHangUp:
		h.mu.Lock()
		open, ok := pick(h.openConnections, s.B)
		h.mu.Unlock()
		if ok {
			open.cancel()
		}
	case actAttach:
		h.performAttach(e, s)
	}
}

func (h *harness) keyedCalls() []*call {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []*call
	for _, c := range h.calls {
		if c.key != "" {
			out = append(out, c)
		}
	}
	return out
}

func (h *harness) performAttach(e *site.Entry, s Step) {
	h.mu.Lock()
	earlier, ok := pick(h.endedConnections, s.B)
	h.mu.Unlock()
	if !ok || h.requestID(earlier.call) == "" {
		return
	}
	before := earlier.sub.allEvents()
	before = before[:s.C%(len(before)+1)]
	h.attach(earlier.call, e, before)
}

func (h *harness) performPlatformStep(s Step) {
	switch s.Action {
	case actReclaimServer:
		h.reclaimServer(s)
	case actReclaimEntry:
		if e, ok := pick(h.stableEntries(), s.A); ok && (!h.observations.IsGraceful || h.hasReadyEntryBesides(e)) {
			h.reclaim(e.ID, h.noticeDuration(s))
		}
	case actReclaimZone:
		h.reclaimZone(s)
	case actStartServers:
		zone, _ := pick(h.zones, s.A)
		h.startServers(zone)
	case actStartEntry:
		zone, _ := pick(h.zones, s.A)
		h.startEntry(zone)
	case actCloudOutage:
		h.updateFaults(func(f *faults) { f.isCloudDown = true })
		h.site.Cloud.SetFaults(cloud.Faults{Outage: true})
	case actCloudHeal:
		h.site.Cloud.SetFaults(cloud.Faults{})
		h.updateFaults(func(f *faults) { f.isCloudDown = false })
	}
}

// noticeDuration returns the time between a reclaim notice and the end of the
// VM.
func (h *harness) noticeDuration(s Step) time.Duration {
	if h.observations.IsGraceful {
		return 5*time.Second + time.Duration(s.C%5)*time.Second
	}
	return 500*time.Millisecond + time.Duration(s.C%16)*500*time.Millisecond
}

func (h *harness) reclaim(id string, notice time.Duration) {
	h.mu.Lock()
	if _, isKnown := h.noticedAt[id]; !isKnown {
		h.noticedAt[id] = time.Now()
	}
	h.mu.Unlock()
	h.trace("  reclaim %s in %v", id, notice)
	h.site.Cloud.Reclaim(id, notice)
}

func (h *harness) reclaimServer(s Step) {
	servers := h.liveServers()
	sv, ok := pick(servers, s.A)
	if !ok {
		return
	}
	if h.observations.IsGraceful && h.countServers(servers, sv.Service, "") < 2 {
		return
	}
	h.reclaim(sv.ID, h.noticeDuration(s))
}

func (h *harness) reclaimZone(s Step) {
	zone, _ := pick(h.zones, s.A)
	servers := h.liveServers()
	if h.observations.IsGraceful {
		remaining := 0
		for _, e := range h.stableEntries() {
			if e.Zone != zone && e.Node.Ready() == nil && h.isMember(e) {
				remaining++
			}
		}
		if remaining == 0 || h.countServers(servers, "audit", zone) == 0 || h.countServers(servers, "report", zone) == 0 {
			return
		}
	}
	h.mu.Lock()
	for _, sv := range servers {
		if _, again := h.noticedAt[sv.ID]; sv.Zone == zone && !again {
			h.noticedAt[sv.ID] = time.Now()
		}
	}
	for _, e := range h.site.Entries() {
		if _, again := h.noticedAt[e.ID]; e.Zone == zone && !again {
			h.noticedAt[e.ID] = time.Now()
		}
	}
	h.mu.Unlock()
	h.site.Cloud.ReclaimZone(zone, h.noticeDuration(s))
}

// countServers counts the servers of a service outside excludedZone.
func (h *harness) countServers(servers []*site.Server, service, excludedZone string) int {
	n := 0
	for _, sv := range servers {
		if sv.Service == service && sv.Zone != excludedZone {
			n++
		}
	}
	return n
}

func (h *harness) startServers(zone string) {
	for _, service := range []string{"audit", "report"} {
		if _, err := h.site.StartServer(h.specOf(service), zone); err != nil {
			h.trace("  start server: %v", err)
		}
	}
}

// maxEntriesPerZone bounds the entries that actions start in a zone.
const maxEntriesPerZone = 3

func (h *harness) startEntry(zone string) {
	count := 0
	for _, e := range h.site.Entries() {
		if e.Zone == zone {
			count++
		}
	}
	if count >= maxEntriesPerZone {
		return
	}
	if _, err := h.site.StartEntry(zone); err != nil {
		h.trace("  start entry: %v", err)
	}
}

// stableEntries returns the running entries that are neither stopping nor about
// to be reclaimed.
func (h *harness) stableEntries() []*site.Entry {
	entries := h.site.Entries()
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []*site.Entry
	for _, e := range entries {
		_, isStopping := h.stoppedAt[e]
		_, isNoticed := h.noticedAt[e.ID]
		if !isStopping && !isNoticed {
			out = append(out, e)
		}
	}
	return out
}

// hasReadyEntryBesides reports whether a stable entry other than the given one
// is ready and a member.
func (h *harness) hasReadyEntryBesides(excluded *site.Entry) bool {
	for _, e := range h.stableEntries() {
		if e != excluded && e.Node.Ready() == nil && h.isMember(e) {
			return true
		}
	}
	return false
}

// isMember reports whether every running entry lists the entry in its membership
// table.
func (h *harness) isMember(e *site.Entry) bool {
	for _, other := range h.site.Entries() {
		if _, ok := other.Node.Members().Table().Find(e.ID); !ok {
			return false
		}
	}
	return true
}

// liveServers returns the running servers without a reclaim notice, in the order
// of their IDs.
func (h *harness) liveServers() []*site.Server {
	var out []*site.Server
	for _, vm := range h.site.Cloud.VMs() {
		sv, ok := h.site.Server(vm.ID)
		if ok && vm.State == provider.VMLive && !isCrashed(sv) && !h.isKilledServer(sv) {
			out = append(out, sv)
		}
	}
	return out
}

// isKilledServer reports whether the server's process was killed and will not be
// restarted.
func (h *harness) isKilledServer(sv *site.Server) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.killedServers[sv]
}

func isCrashed(sv *site.Server) bool {
	if sv.Engine != nil {
		return sv.Engine.Crashed()
	}
	return sv.Plain.Crashed()
}

func (h *harness) performProcessStep(s Step) {
	switch s.Action {
	case actStop:
		if e, ok := pick(h.stableEntries(), s.A); ok && (!h.observations.IsGraceful || h.hasReadyEntryBesides(e)) {
			h.stop(e)
		}
	case actKillEntry:
		if e, ok := pick(h.site.Entries(), s.A); ok {
			h.kill(e)
		}
	case actStopAndKill:
		e, ok := pick(h.site.Entries(), s.A)
		if !ok {
			return
		}
		h.stop(e)
		h.background(func() {
			time.Sleep(time.Duration(s.B%3000) * time.Millisecond)
			h.kill(e)
		})
	case actRestartEntry:
		h.restartEntry(s)
	}
}

func (h *harness) stop(e *site.Entry) {
	h.mu.Lock()
	if _, isKnown := h.stoppedAt[e]; !isKnown {
		h.stoppedAt[e] = time.Now()
	}
	h.mu.Unlock()
	h.trace("  stop %s", e.ID)
	if h.options.Stop != nil {
		h.options.Stop(e)
		return
	}
	e.Stop()
}

func (h *harness) kill(e *site.Entry) {
	h.mu.Lock()
	h.killedEntries[e] = true
	h.mu.Unlock()
	h.trace("  kill %s", e.ID)
	e.Kill()
}

// wasKilledOrReclaimed reports whether the entry's process was killed or its VM
// received a reclaim notice.
func (h *harness) wasKilledOrReclaimed(e *site.Entry) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, isNoticed := h.noticedAt[e.ID]
	return h.killedEntries[e] || isNoticed
}

// restartEntry kills an entry's process and starts a new one on the same VM,
// unless the VM is about to be reclaimed.
func (h *harness) restartEntry(s Step) {
	e, ok := pick(h.site.Entries(), s.A)
	if !ok {
		return
	}
	h.mu.Lock()
	_, isNoticed := h.noticedAt[e.ID]
	h.mu.Unlock()
	h.kill(e)
	if isNoticed {
		return
	}
	if _, err := h.site.StartEntryOn(e.ID, e.Zone); err != nil {
		h.trace("  restart entry: %v", err)
	}
}
