// Package wire defines the JSON messages of the etcd v3 HTTP gateway that the
// system uses, with their published field names. Keys and values are encoded in
// base64 ([]byte), 64-bit integers as strings; zero fields are omitted.
package wire

// Paths of the gateway.
const (
	PathRange       = "/v3/kv/range"
	PathPut         = "/v3/kv/put"
	PathDeleteRange = "/v3/kv/deleterange"
	PathTxn         = "/v3/kv/txn"
	PathGrant       = "/v3/lease/grant"
	PathKeepAlive   = "/v3/lease/keepalive"
	PathRevoke      = "/v3/lease/revoke"
	PathWatch       = "/v3/watch"
)

// Codes of Error; they are gRPC status codes.
const (
	CodeInvalid     = 3
	CodeNotFound    = 5
	CodeExhausted   = 8
	CodeUnavailable = 14
)

// Header is part of every response.
type Header struct {
	Revision int64 `json:"revision,string,omitempty"`
}

// KeyValue is one key with its value and revisions.
type KeyValue struct {
	Key            []byte `json:"key,omitempty"`
	CreateRevision int64  `json:"create_revision,string,omitempty"`
	ModRevision    int64  `json:"mod_revision,string,omitempty"`
	Version        int64  `json:"version,string,omitempty"`
	Value          []byte `json:"value,omitempty"`
	Lease          int64  `json:"lease,string,omitempty"`
}

// RangeRequest reads [Key, RangeEnd), or Key alone if RangeEnd is empty.
type RangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// RangeResponse is the response to RangeRequest.
type RangeResponse struct {
	Header Header     `json:"header"`
	Kvs    []KeyValue `json:"kvs,omitempty"`
	Count  int64      `json:"count,string,omitempty"`
}

// PutRequest writes one key.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value,omitempty"`
	Lease int64  `json:"lease,string,omitempty"`
}

// PutResponse is the response to PutRequest.
type PutResponse struct {
	Header Header `json:"header"`
}

// DeleteRangeRequest deletes [Key, RangeEnd), or Key alone if RangeEnd is empty.
type DeleteRangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// DeleteRangeResponse is the response to DeleteRangeRequest.
type DeleteRangeResponse struct {
	Header  Header `json:"header"`
	Deleted int64  `json:"deleted,string,omitempty"`
}

// Compare is a guard of a transaction. Result is "EQUAL"; Target is "MOD" or
// "CREATE".
type Compare struct {
	Result         string `json:"result"`
	Target         string `json:"target"`
	Key            []byte `json:"key"`
	ModRevision    int64  `json:"mod_revision,string"`
	CreateRevision int64  `json:"create_revision,string,omitempty"`
}

// RequestOp is one operation of a transaction; exactly one field is set.
type RequestOp struct {
	Put         *PutRequest         `json:"request_put,omitempty"`
	DeleteRange *DeleteRangeRequest `json:"request_delete_range,omitempty"`
}

// TxnRequest applies Success if all guards in Compare hold, otherwise Failure.
type TxnRequest struct {
	Compare []Compare   `json:"compare,omitempty"`
	Success []RequestOp `json:"success,omitempty"`
	Failure []RequestOp `json:"failure,omitempty"`
}

// TxnResponse is the response to TxnRequest.
type TxnResponse struct {
	Header    Header `json:"header"`
	Succeeded bool   `json:"succeeded,omitempty"`
}

// LeaseRequest grants a lease of TTL seconds, or renews or revokes the lease ID.
type LeaseRequest struct {
	TTL int64 `json:"TTL,string,omitempty"`
	ID  int64 `json:"ID,string,omitempty"`
}

// LeaseResponse is the response to LeaseRequest. A TTL of 0 in the response to a
// keep-alive means that the lease has expired.
type LeaseResponse struct {
	Header Header `json:"header"`
	ID     int64  `json:"ID,string,omitempty"`
	TTL    int64  `json:"TTL,string,omitempty"`
}

// KeepAliveResponse is one line of the keep-alive stream.
type KeepAliveResponse struct {
	Result LeaseResponse `json:"result"`
}

// WatchRequest opens a watch.
type WatchRequest struct {
	Create WatchCreate `json:"create_request"`
}

// WatchCreate selects the keys to watch and the first revision to deliver.
type WatchCreate struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end,omitempty"`
	StartRevision int64  `json:"start_revision,string,omitempty"`
}

// WatchResponse is one line of the watch stream.
type WatchResponse struct {
	Result WatchResult `json:"result"`
}

// WatchResult is one batch of a watch stream.
type WatchResult struct {
	Header          Header  `json:"header"`
	Created         bool    `json:"created,omitempty"`
	Canceled        bool    `json:"canceled,omitempty"`
	CompactRevision int64   `json:"compact_revision,string,omitempty"`
	Events          []Event `json:"events,omitempty"`
}

// EventDelete is the Type of a deletion; the Type of a put is empty.
const EventDelete = "DELETE"

// Event is one change of a key.
type Event struct {
	Type string   `json:"type,omitempty"`
	Kv   KeyValue `json:"kv"`
}

// Error is the body of a response with a status other than 200.
type Error struct {
	Message string `json:"message"`
	Code    int    `json:"code"`
}

// PrefixEnd returns the RangeEnd that selects all keys with prefix: the first key
// after them.
func PrefixEnd(prefix []byte) []byte {
	end := append([]byte(nil), prefix...)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
