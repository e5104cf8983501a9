package planner

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"buckthornpick/internal/backend"
	"buckthornpick/internal/fault"
)

// Values of engineOrder.Action.
const (
	actionLoadModel   = "load_model"
	actionLoadAdapter = "load_adapter"
)

// engineOrder is the body of POST /v1/orders.
type engineOrder struct {
	// FencingNumber is the fencing token of the zone's lease.
	FencingNumber int64 `json:"fencingNumber"`
	// Action is one of the action constants.
	Action  string `json:"action"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
}

// maxResponseBytes limits how much of a server's response is read.
const maxResponseBytes = 1 << 20

// readLoad reads the load report of a server.
func (p *Planner) readLoad(ctx context.Context, address string) (backend.Load, error) {
	var load backend.Load
	err := p.callServer(ctx, "planner.load", http.MethodGet, address, "/metrics/load", nil, &load)
	return load, err
}

// readModels reads the IDs of the models that an engine has loaded.
func (p *Planner) readModels(ctx context.Context, address string) (map[string]bool, error) {
	var list struct {
		Data []struct {
			ID string `json:"id"`
		} `json:"data"`
	}
	if err := p.callServer(ctx, "planner.models", http.MethodGet, address, "/v1/models", nil, &list); err != nil {
		return nil, err
	}
	out := make(map[string]bool, len(list.Data))
	for _, m := range list.Data {
		out[m.ID] = true
	}
	return out, nil
}

// sendOrder sends an order to an engine. fault.Conflict means that the engine
// has seen a higher fencing token.
func (p *Planner) sendOrder(ctx context.Context, address string, o engineOrder) error {
	return p.callServer(ctx, "planner.order", http.MethodPost, address, "/v1/orders", o, nil)
}

func (p *Planner) callServer(ctx context.Context, step, method, address, path string, body, response any) error {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return fault.Wrap(err, fault.Invalid, step, address, "encode")
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return fault.Wrap(err, fault.Invalid, step, address, "request")
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := p.deps.Engines.Do(req)
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, step, address, "no response")
	}
	defer resp.Body.Close()
	data, err = io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	switch {
	case err != nil:
		return fault.Wrap(err, fault.Unavailable, step, address, "incomplete response")
	case resp.StatusCode == http.StatusConflict:
		return fault.New(fault.Conflict, step, address, "the server has seen a higher fencing number")
	case resp.StatusCode >= http.StatusMultipleChoices:
		return fault.New(fault.Unavailable, step, address, "status %d", resp.StatusCode)
	case response == nil:
		return nil
	}
	return fault.Wrap(json.Unmarshal(data, response), fault.Protocol, step, address, "answer")
}
