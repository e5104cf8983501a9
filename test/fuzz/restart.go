package fuzz

import (
	"net/http"
	"sort"
	"time"

	"buckthornpick/internal/provider"
	"buckthornpick/internal/standin/site"
)

// restartServers restarts the crashed servers whose VMs are live.
func (h *harness) restartServers() {
	state := map[string]provider.VMState{}
	for _, vm := range h.site.Cloud.VMs() {
		state[vm.ID] = vm.State
	}
	servers := h.site.Servers()
	sort.Slice(servers, func(i, j int) bool { return servers[i].ID < servers[j].ID })
	for _, sv := range servers {
		if isCrashed(sv) && !h.isKilledServer(sv) && state[sv.ID] == provider.VMLive {
			h.restartServer(sv)
		}
	}
}

// restartServer restarts the server's process; its records are kept.
func (h *harness) restartServer(sv *site.Server) {
	l, err := h.network.Host(sv.ID, sv.Zone).Listen(sv.Address)
	if err != nil {
		h.trace("  restart server: %v", err)
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
	h.mu.Lock()
	h.restartedServers = append(h.restartedServers, server)
	h.mu.Unlock()
	h.background(func() { _ = server.Serve(l) })
}
