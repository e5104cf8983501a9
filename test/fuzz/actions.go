package fuzz

import (
	"time"

	"buckthornpick/internal/provider"
	"buckthornpick/internal/standin/cloud"
	"buckthornpick/internal/standin/site"
)

// take performs one step. A step that finds nothing to act on has no effect.
func (w *world) take(s Step) {
	switch s.Action {
	case actSend, actSendMany, actResend, actHangUp, actAttach:
		w.takeCaller(s)
	case actEdit, actEditRace, actEditAgain:
		w.takeOperator(s)
	case actReclaimServer, actReclaimEntry, actReclaimZone, actStartServers, actStartEntry, actCloudOutage, actCloudHeal:
		w.takePlatform(s)
	case actStoreOutage, actStoreLapse, actStoreSlow, actStoreLose, actStoreLate, actStoreHeal:
		w.takeStore(s)
	case actCutZones, actCutPlatform, actIsolate, actCutEntry, actPauseEntry, actHealNetwork:
		w.takeNetwork(s)
	case actStop, actKillEntry, actRestartEntry, actStopAndKill:
		w.takeProcess(s)
	default:
		w.takeServer(s)
	}
}

func pick[T any](list []T, selector int) (T, bool) {
	var none T
	if len(list) == 0 {
		return none, false
	}
	return list[selector%len(list)], true
}

// maxTogether bounds the calls that are sent at one instant.
const maxTogether = 5

func (w *world) takeCaller(s Step) {
	e, ok := pick(w.site.Entries(), s.A)
	if !ok {
		return
	}
	switch s.Action {
	case actSend:
		w.send(w.newCall(s.B, s.C), e)
	case actSendMany:
		for i := range 2 + s.C%(maxTogether-1) {
			if e, ok := pick(w.site.Entries(), s.A+i); ok {
				w.send(w.newCall(s.B+3*i, s.C+i), e)
			}
		}
	case actResend:
		if c, ok := pick(w.keyedCalls(), s.B); ok {
			w.send(c, e)
		}
	case actHangUp:
		w.mu.Lock()
		open, ok := pick(w.open, s.B)
		w.mu.Unlock()
		if ok {
			open.cancel()
		}
	case actAttach:
		w.takeAttach(e, s)
	}
}

func (w *world) keyedCalls() []*call {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*call
	for _, c := range w.calls {
		if c.key != "" {
			out = append(out, c)
		}
	}
	return out
}

func (w *world) takeAttach(e *site.Entry, s Step) {
	w.mu.Lock()
	earlier, ok := pick(w.ended, s.B)
	w.mu.Unlock()
	if !ok || w.idOf(earlier.call) == "" {
		return
	}
	before := earlier.sub.all()
	before = before[:s.C%(len(before)+1)]
	w.attach(earlier.call, e, before)
}

func (w *world) takePlatform(s Step) {
	switch s.Action {
	case actReclaimServer:
		w.reclaimServer(s)
	case actReclaimEntry:
		if e, ok := pick(w.staying(), s.A); ok && (!w.seen.IsGraceful || w.servesWithout(e)) {
			w.reclaim(e.ID, w.notice(s))
		}
	case actReclaimZone:
		w.reclaimZone(s)
	case actStartServers:
		zone, _ := pick(w.zones, s.A)
		w.startServers(zone)
	case actStartEntry:
		zone, _ := pick(w.zones, s.A)
		w.startEntry(zone)
	case actCloudOutage:
		w.change(func(f *faults) { f.cloudOutage = true })
		w.site.Cloud.SetFaults(cloud.Faults{Outage: true})
	case actCloudHeal:
		w.site.Cloud.SetFaults(cloud.Faults{})
		w.change(func(f *faults) { f.cloudOutage = false })
	}
}

// notice returns the time between a notice and the end of the VM.
func (w *world) notice(s Step) time.Duration {
	if w.seen.IsGraceful {
		return 5*time.Second + time.Duration(s.C%5)*time.Second
	}
	return 500*time.Millisecond + time.Duration(s.C%16)*500*time.Millisecond
}

func (w *world) reclaim(id string, notice time.Duration) {
	w.mu.Lock()
	if _, again := w.noticed[id]; !again {
		w.noticed[id] = time.Now()
	}
	w.mu.Unlock()
	w.trace("  reclaim %s in %v", id, notice)
	w.site.Cloud.Reclaim(id, notice)
}

func (w *world) reclaimServer(s Step) {
	servers := w.liveServers()
	sv, ok := pick(servers, s.A)
	if !ok {
		return
	}
	if w.seen.IsGraceful && w.countService(servers, sv.Service, "") < 2 {
		return
	}
	w.reclaim(sv.ID, w.notice(s))
}

func (w *world) reclaimZone(s Step) {
	zone, _ := pick(w.zones, s.A)
	servers := w.liveServers()
	if w.seen.IsGraceful {
		stay := 0
		for _, e := range w.staying() {
			if e.Zone != zone && e.Node.Ready() == nil && w.isMember(e) {
				stay++
			}
		}
		if stay == 0 || w.countService(servers, "audit", zone) == 0 || w.countService(servers, "report", zone) == 0 {
			return
		}
	}
	w.mu.Lock()
	for _, sv := range servers {
		if _, again := w.noticed[sv.ID]; sv.Zone == zone && !again {
			w.noticed[sv.ID] = time.Now()
		}
	}
	for _, e := range w.site.Entries() {
		if _, again := w.noticed[e.ID]; e.Zone == zone && !again {
			w.noticed[e.ID] = time.Now()
		}
	}
	w.mu.Unlock()
	w.site.Cloud.ReclaimZone(zone, w.notice(s))
}

// countService counts the servers of a service outside the zone.
func (w *world) countService(servers []*site.Server, service, outside string) int {
	n := 0
	for _, sv := range servers {
		if sv.Service == service && sv.Zone != outside {
			n++
		}
	}
	return n
}

func (w *world) startServers(zone string) {
	for _, service := range []string{"audit", "report"} {
		if _, err := w.site.StartServer(w.specOf(service), zone); err != nil {
			w.trace("  start server: %v", err)
		}
	}
}

// maxEntries bounds the entries of a zone.
const maxEntries = 3

func (w *world) startEntry(zone string) {
	count := 0
	for _, e := range w.site.Entries() {
		if e.Zone == zone {
			count++
		}
	}
	if count >= maxEntries {
		return
	}
	if _, err := w.site.StartEntry(zone); err != nil {
		w.trace("  start entry: %v", err)
	}
}

// staying returns the running entries that are neither stopping nor under
// notice.
func (w *world) staying() []*site.Entry {
	entries := w.site.Entries()
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*site.Entry
	for _, e := range entries {
		_, isStopping := w.stopped[e]
		_, isNoticed := w.noticed[e.ID]
		if !isStopping && !isNoticed {
			out = append(out, e)
		}
	}
	return out
}

// servesWithout reports whether another entry that stays is a ready member.
func (w *world) servesWithout(not *site.Entry) bool {
	for _, e := range w.staying() {
		if e != not && e.Node.Ready() == nil && w.isMember(e) {
			return true
		}
	}
	return false
}

// isMember reports whether every running entry has the entry in its table.
func (w *world) isMember(e *site.Entry) bool {
	for _, other := range w.site.Entries() {
		if _, ok := other.Node.Members().Table().Find(e.ID); !ok {
			return false
		}
	}
	return true
}

// liveServers returns the servers that run and are not under notice, in the
// order of their IDs.
func (w *world) liveServers() []*site.Server {
	var out []*site.Server
	for _, vm := range w.site.Cloud.VMs() {
		sv, ok := w.site.Server(vm.ID)
		if ok && vm.State == provider.VMLive && !isCrashed(sv) && !w.isDead(sv) {
			out = append(out, sv)
		}
	}
	return out
}

// isDead reports whether the server's process was killed for good.
func (w *world) isDead(sv *site.Server) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dead[sv]
}

func isCrashed(sv *site.Server) bool {
	if sv.Engine != nil {
		return sv.Engine.Crashed()
	}
	return sv.Plain.Crashed()
}

func (w *world) takeProcess(s Step) {
	switch s.Action {
	case actStop:
		if e, ok := pick(w.staying(), s.A); ok && (!w.seen.IsGraceful || w.servesWithout(e)) {
			w.stop(e)
		}
	case actKillEntry:
		if e, ok := pick(w.site.Entries(), s.A); ok {
			w.kill(e)
		}
	case actStopAndKill:
		e, ok := pick(w.site.Entries(), s.A)
		if !ok {
			return
		}
		w.stop(e)
		w.background(func() {
			time.Sleep(time.Duration(s.B%3000) * time.Millisecond)
			w.kill(e)
		})
	case actRestartEntry:
		w.restartEntry(s)
	}
}

func (w *world) stop(e *site.Entry) {
	w.mu.Lock()
	if _, again := w.stopped[e]; !again {
		w.stopped[e] = time.Now()
	}
	w.mu.Unlock()
	w.trace("  stop %s", e.ID)
	if w.options.Stop != nil {
		w.options.Stop(e)
		return
	}
	e.Stop()
}

func (w *world) kill(e *site.Entry) {
	w.mu.Lock()
	w.killed[e] = true
	w.mu.Unlock()
	w.trace("  kill %s", e.ID)
	e.Kill()
}

// wasKilled reports whether the entry's process was killed or its VM was taken
// back.
func (w *world) wasKilled(e *site.Entry) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, isNoticed := w.noticed[e.ID]
	return w.killed[e] || isNoticed
}

// restartEntry kills an entry's process and starts it again on its VM.
func (w *world) restartEntry(s Step) {
	e, ok := pick(w.site.Entries(), s.A)
	if !ok {
		return
	}
	w.mu.Lock()
	_, isNoticed := w.noticed[e.ID]
	w.mu.Unlock()
	w.kill(e)
	if isNoticed {
		return
	}
	if _, err := w.site.StartEntryOn(e.ID, e.Zone); err != nil {
		w.trace("  restart entry: %v", err)
	}
}
