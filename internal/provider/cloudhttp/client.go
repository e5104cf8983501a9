// Package cloudhttp speaks HTTP to the platform's cloud API: VM list, reclaim
// notices, offers, VM starts and stops.
package cloudhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"buckthornpick/internal/fault"
	"buckthornpick/internal/provider"
	"buckthornpick/internal/telemetry"
)

// DefaultNoticeWait is how long one call waits for notices.
const DefaultNoticeWait = 10 * time.Second

// maxAnswerBytes bounds one answer: the VM list of a large region fits.
const maxResponseBytes = 16 << 20

// typeCapacity is the error type of a start that the platform refuses.
const typeCapacity = "capacity"

// Client is the adapter. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
	log  *telemetry.Logger
	// NoticeWait is how long one call of Notices waits, in whole
	// milliseconds; default DefaultNoticeWait. Set it before the first call.
	NoticeWait time.Duration

	// mu guards the last VM list and its entity tag.
	mu   sync.Mutex
	etag string
	vms  []provider.VM
}

var (
	_ provider.Lister       = (*Client)(nil)
	_ provider.NoticeSource = (*Client)(nil)
	_ provider.Cloud        = (*Client)(nil)
)

// New returns an adapter for the cloud API at base ("http://host:port").
func New(base string, httpClient *http.Client, log *telemetry.Logger) *Client {
	return &Client{base: strings.TrimSuffix(base, "/"), http: httpClient, log: log, NoticeWait: DefaultNoticeWait}
}

// ListVMs implements provider.Lister. The list must not be changed. If the
// platform gives it an entity tag, an unchanged list is not sent again.
func (c *Client) ListVMs(ctx context.Context) ([]provider.VM, error) {
	var list struct {
		VMs []provider.VM `json:"vms"`
	}
	c.mu.Lock()
	cached, etag := c.vms, c.etag
	c.mu.Unlock()
	k := apiCall{step: "cloud.list", method: http.MethodGet, path: "/v1/vms", response: &list, etag: etag, newETag: new(string)}
	err := c.call(ctx, k)
	if errors.Is(err, errNotModified) {
		return cached, nil
	}
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.vms, c.etag = list.VMs, *k.newETag
	return list.VMs, nil
}

// Notices implements provider.NoticeSource. It returns no notice and no error
// if none came within NoticeWait.
func (c *Client) Notices(ctx context.Context, after int64) ([]provider.Notice, error) {
	query := url.Values{
		"after": {strconv.FormatInt(after, 10)},
		"wait":  {strconv.FormatInt(c.NoticeWait.Milliseconds(), 10)},
	}
	var list struct {
		Notices []provider.Notice `json:"notices"`
	}
	path := "/v1/notices?" + query.Encode()
	err := c.call(ctx, apiCall{step: "cloud.notices", method: http.MethodGet, path: path, response: &list})
	return list.Notices, err
}

// Offers implements provider.Cloud.
func (c *Client) Offers(ctx context.Context) ([]provider.Offer, error) {
	var list struct {
		Offers []provider.Offer `json:"offers"`
	}
	err := c.call(ctx, apiCall{step: "cloud.offers", method: http.MethodGet, path: "/v1/offers", response: &list})
	return list.Offers, err
}

// StartVM implements provider.Cloud. After fault.Ambiguous the VM may have
// been started; the same spec with the same OperationID finds out.
func (c *Client) StartVM(ctx context.Context, spec provider.VMSpec) (provider.VM, error) {
	var vm provider.VM
	err := c.call(ctx, apiCall{
		step: "cloud.start", method: http.MethodPost, path: "/v1/vms", body: spec, response: &vm, mutates: true,
	})
	if fault.Is(err, fault.Exhausted) {
		c.log.Log(EvStartRefused, "zone", spec.Zone, "class", spec.Class, "operation", spec.OperationID)
	}
	if err != nil {
		return provider.VM{}, err
	}
	c.log.Log(EvVMStarted, "vm", vm.ID, "zone", vm.Zone, "class", vm.Class, "operation", spec.OperationID)
	return vm, nil
}

// StopVM implements provider.Cloud. Stopping an ended VM is no error.
func (c *Client) StopVM(ctx context.Context, id string) error {
	return c.call(ctx, apiCall{
		step: "cloud.stop", method: http.MethodDelete, path: "/v1/vms/" + url.PathEscape(id), mutates: true,
	})
}

// call is one call of the cloud API.
type apiCall struct {
	step     string
	method   string
	path     string
	body     any // nil sends none
	response any // nil ignores it
	// writes is true if the call may take effect though its answer is lost.
	mutates bool
	// tag is the entity tag of the answer that the client has, empty for none;
	// the call is then errNotModified if it is still the answer.
	etag string
	// newTag takes the answer's entity tag; nil ignores it.
	newETag *string
}

// errNotModified says that the answer is the one that the client has.
var errNotModified = errors.New("not modified")

func (c *Client) call(ctx context.Context, k apiCall) error {
	err := c.send(ctx, k)
	if err != nil && !errors.Is(err, errNotModified) && ctx.Err() == nil {
		c.log.Log(EvCallFailed, "step", k.step, "peer", c.base, "error", err)
	}
	return err
}

func (c *Client) send(ctx context.Context, k apiCall) error {
	req, err := c.newRequest(ctx, k)
	if err != nil {
		return fault.Wrap(err, fault.Invalid, k.step, c.base, "request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return c.noResponseError(k, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return c.noResponseError(k, err)
	}
	if resp.StatusCode == http.StatusNotModified && k.etag != "" {
		return errNotModified
	}
	if resp.StatusCode >= 300 {
		return c.statusError(k, resp.StatusCode, data)
	}
	if len(data) > maxResponseBytes {
		return fault.New(fault.Protocol, k.step, c.base, "answer exceeds %d bytes", maxResponseBytes)
	}
	if k.response == nil {
		return nil
	}
	if err := json.Unmarshal(data, k.response); err != nil {
		return fault.Wrap(err, fault.Protocol, k.step, c.base, "answer")
	}
	if k.newETag != nil {
		*k.newETag = resp.Header.Get("ETag")
	}
	return nil
}

func (c *Client) newRequest(ctx context.Context, k apiCall) (*http.Request, error) {
	if k.body == nil {
		req, err := http.NewRequestWithContext(ctx, k.method, c.base+k.path, nil)
		if err == nil && k.etag != "" {
			req.Header.Set("If-None-Match", k.etag)
		}
		return req, err
	}
	data, err := json.Marshal(k.body)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, k.method, c.base+k.path, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

// lost is a call without a whole answer.
func (c *Client) noResponseError(k apiCall, err error) error {
	t := fault.Unavailable
	if k.mutates {
		t = fault.Ambiguous
	}
	return fault.Wrap(err, t, k.step, c.base, "no answer")
}

func (c *Client) statusError(k apiCall, status int, data []byte) error {
	var problem struct {
		Error struct {
			Type    string `json:"type"`
			Message string `json:"message"`
		} `json:"error"`
	}
	text := "no reason given"
	if json.Unmarshal(data, &problem) == nil && problem.Error.Message != "" {
		text = problem.Error.Message
	}
	t := fault.Invalid
	switch {
	case problem.Error.Type == typeCapacity:
		t = fault.Exhausted
	case status == http.StatusConflict:
		t = fault.Conflict
	case status >= 500, status == http.StatusTooManyRequests:
		t = fault.Unavailable
	}
	return fault.New(t, k.step, c.base, "status %d: %s", status, text)
}
