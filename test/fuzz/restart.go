package fuzz

import (
	"net/http"
	"sort"
	"time"

	"buckthornpick/internal/provider"
	"buckthornpick/internal/standin/site"
)

// restartServers brings back the crashed servers whose VMs are still there.
func (w *world) restartServers() {
	state := map[string]provider.VMState{}
	for _, vm := range w.site.Cloud.VMs() {
		state[vm.ID] = vm.State
	}
	servers := w.site.Servers()
	sort.Slice(servers, func(i, j int) bool { return servers[i].ID < servers[j].ID })
	for _, sv := range servers {
		if isCrashed(sv) && !w.isDead(sv) && state[sv.ID] == provider.VMLive {
			w.restartServer(sv)
		}
	}
}

// restartServer starts the server's process again, with its old records.
func (w *world) restartServer(sv *site.Server) {
	l, err := w.network.Host(sv.ID, sv.Zone).Listen(sv.Address)
	if err != nil {
		w.trace("  restart server: %v", err)
		return
	}
	server := &http.Server{ReadHeaderTimeout: time.Minute}
	if sv.Engine != nil {
		sv.Engine.Restart()
		server.Handler = sv.Engine
	} else {
		sv.Plain.Restart()
		server.Handler = sv.Plain
	}
	w.mu.Lock()
	w.restarts = append(w.restarts, server)
	w.mu.Unlock()
	w.background(func() { _ = server.Serve(l) })
}
