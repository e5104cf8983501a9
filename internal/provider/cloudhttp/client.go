// Package cloudhttp is the HTTP client of the platform's cloud API. It implements
// the interfaces of package provider.
package cloudhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"buckthornpick/internal/fault"
	"buckthornpick/internal/jsonlist"
	"buckthornpick/internal/netx"
	"buckthornpick/internal/provider"
	"buckthornpick/internal/telemetry"
)

// DefaultNoticeWait is the default of Client.NoticeWait.
const DefaultNoticeWait = 10 * time.Second

// maxResponseBytes bounds a response body. The VM list of a large region fits.
const maxResponseBytes = 16 << 20

// typeCapacity is the platform's error type for a start that it refuses for lack
// of capacity.
const typeCapacity = "capacity"

// Client calls the cloud API. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
	log  *telemetry.Logger
	// NoticeWait is the long-poll timeout of Notices; New sets it to
	// DefaultNoticeWait. Fractions of a millisecond are ignored. It must not be
	// changed after the first call.
	NoticeWait time.Duration

	// mu guards etag and vms, the last VM list and its entity tag.
	mu   sync.Mutex
	etag string
	vms  []provider.VM
}

var (
	_ provider.Lister       = (*Client)(nil)
	_ provider.NoticeSource = (*Client)(nil)
	_ provider.Cloud        = (*Client)(nil)
)

// New returns a client of the cloud API at base ("http://host:port").
func New(base string, httpClient *http.Client, log *telemetry.Logger) *Client {
	return &Client{base: strings.TrimSuffix(base, "/"), http: httpClient, log: log, NoticeWait: DefaultNoticeWait}
}

// ListVMs implements provider.Lister. The caller must not modify the list. If
// the platform sends an entity tag with the list, an unchanged list is returned
// from the client's cache.
func (c *Client) ListVMs(ctx context.Context) ([]provider.VM, error) {
	var list []provider.VM
	c.mu.Lock()
	cached, etag := c.vms, c.etag
	c.mu.Unlock()
	k := apiCall{step: "cloud.list", method: http.MethodGet, path: "/v1/vms", decode: decodeList(c, "vms", isUsableVM, &list), etag: etag, newETag: new(string)}
	err := c.call(ctx, k)
	if errors.Is(err, errNotModified) {
		return cached, nil
	}
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.vms, c.etag = list, *k.newETag
	return list, nil
}

// Notices implements provider.NoticeSource by long polling. It returns no notice
// and no error if there is none within NoticeWait.
func (c *Client) Notices(ctx context.Context, after int64) ([]provider.Notice, error) {
	query := url.Values{
		"after": {strconv.FormatInt(after, 10)},
		"wait":  {strconv.FormatInt(c.NoticeWait.Milliseconds(), 10)},
	}
	var list []provider.Notice
	path := "/v1/notices?" + query.Encode()
	err := c.call(ctx, apiCall{step: "cloud.notices", method: http.MethodGet, path: path, decode: decodeList(c, "notices", isUsableNotice, &list)})
	return list, err
}

// Offers implements provider.Cloud.
func (c *Client) Offers(ctx context.Context) ([]provider.Offer, error) {
	var list []provider.Offer
	isUsable := func(o provider.Offer) bool { return o.Class != "" && o.PricePerHour >= 0 && o.Accelerators >= 0 }
	err := c.call(ctx, apiCall{step: "cloud.offers", method: http.MethodGet, path: "/v1/offers", decode: decodeList(c, "offers", isUsable, &list)})
	return list, err
}

// StartVM implements provider.Cloud. After fault.Ambiguous the VM may have been
// started; a retry with the same spec and OperationID returns it in that case.
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

// StopVM implements provider.Cloud. Stopping a terminated VM is not an error.
func (c *Client) StopVM(ctx context.Context, id string) error {
	return c.call(ctx, apiCall{
		step: "cloud.stop", method: http.MethodDelete, path: "/v1/vms/" + url.PathEscape(id), mutates: true,
	})
}

// apiCall describes one call of the cloud API.
type apiCall struct {
	step     string
	method   string
	path     string
	body     any // JSON request body; nil for none
	response any // receives the JSON response; nil to ignore it
	// decode reads the response in place of response, if it is not nil.
	decode func(data []byte) error
	// mutates is true if the call changes state, so that it may have taken
	// effect even if its response is lost.
	mutates bool
	// etag is the entity tag of the cached response, empty if there is none. The
	// call returns errNotModified if that response is still current.
	etag string
	// newETag receives the entity tag of the response; nil to ignore it.
	newETag *string
}

// decodeList returns a decoder of the list in the field name of a response. Elements that cannot be
// decoded or are not usable are left out.
func decodeList[T any](c *Client, name string, isUsable func(T) bool, into *[]T) func([]byte) error {
	return func(data []byte) error {
		list, dropped, err := jsonlist.Decode[T](data, name)
		*into = slices.DeleteFunc(list, func(element T) bool { return !isUsable(element) })
		if dropped += len(list) - len(*into); dropped > 0 {
			c.log.Log(EvElementsDropped, "peer", c.base, "list", name, "dropped", dropped, "left", len(*into))
		}
		return err
	}
}

// maxSequence is the largest whole number that JSON numbers hold exactly.
const maxSequence = 1 << 53

// isUsableVM reports whether an entry can be that of a VM, which may have no address yet.
func isUsableVM(vm provider.VM) bool {
	return vm.ID != "" && vm.Accelerators >= 0 && vm.PricePerHour >= 0 && (vm.Address == "" || netx.IsHostPort(vm.Address))
}

func isUsableNotice(n provider.Notice) bool {
	return n.VM != "" && n.Sequence > 0 && n.Sequence <= maxSequence
}

// errNotModified means that the cached response is still current.
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
		return fault.New(fault.Protocol, k.step, c.base, "response exceeds %d bytes", maxResponseBytes)
	}
	switch {
	case k.decode != nil:
		err = k.decode(data)
	case k.response != nil:
		err = json.Unmarshal(data, k.response)
	}
	if err != nil {
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

// noResponseError returns the error of a call without a complete response:
// fault.Ambiguous if it may have taken effect, fault.Unavailable otherwise.
func (c *Client) noResponseError(k apiCall, err error) error {
	t := fault.Unavailable
	if k.mutates {
		t = fault.Ambiguous
	}
	return fault.Wrap(err, t, k.step, c.base, "no complete response")
}

func (c *Client) statusError(k apiCall, status int, data []byte) error {
	var problem struct {
		Error struct {
			Type    string `json:"type"`
			Message string `json:"message"`
		} `json:"error"`
	}
	text := "no error message"
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
