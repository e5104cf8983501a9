package claim

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"buckthornpick/internal/backend"
	"buckthornpick/internal/fault"
	"buckthornpick/internal/request"
)

// A key consists of the prefix, the partition (3 hex digits), "/", the time
// bucket (8 hex digits), "/" and the operation ID. Its value is the
// concatenation of the encoded claims that one operation wrote for the
// partition. An empty value is the tombstone of an abandoned operation: because
// the key exists, a delayed write of the operation fails.

const (
	// maxClaimBytes limits the size of one encoded claim.
	maxClaimBytes = 4 << 10
	// maxBatchBytes, maxBatchClaims and maxBatchKeys limit one batch of a node.
	maxBatchBytes  = 256 << 10
	maxBatchClaims = 256
	maxBatchKeys   = 64
	// maxTxnBytes and maxTxnKeys limit one transaction of a writer.
	maxTxnBytes = 1 << 20
	maxTxnKeys  = 100
)

func partitionPrefix(prefix string, partition int) string {
	return fmt.Sprintf("%s%03x/", prefix, partition)
}

func claimKey(prefix string, partition int, bucket int64, operation string) string {
	return fmt.Sprintf("%s%08x/%s", partitionPrefix(prefix, partition), bucket, operation)
}

func bucketOf(at time.Time, length time.Duration) int64 {
	return at.UnixNano() / int64(length)
}

// bucketOfKey returns the time bucket of a key that starts with partitionPrefix.
func bucketOfKey(key, partitionPrefix string) (int64, error) {
	text, _, ok := strings.Cut(strings.TrimPrefix(key, partitionPrefix), "/")
	if !ok {
		return 0, fault.New(fault.Protocol, "claim.decode", "", "malformed key %q", key)
	}
	return strconv.ParseInt(text, 16, 64)
}

func encodeClaim(c Claim) ([]byte, error) {
	id, err := hex.DecodeString(string(c.Request))
	if err != nil || !c.Request.Valid() {
		return nil, fault.New(fault.Invalid, "claim.encode", "", "malformed request ID %q", c.Request)
	}
	var b bytes.Buffer
	enc := msgpack.NewEncoder(&b)
	enc.UseCompactInts(true)
	err = enc.EncodeMulti(id, c.Organisation, c.Service, c.Owner, c.Incarnation, string(c.Attempt), c.Number,
		c.At.UnixMilli(), c.Released, c.Fingerprint, c.Target.ID, c.Target.Address, string(c.Target.Class))
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "claim.encode", "", "encode")
	}
	if b.Len() > maxClaimBytes {
		return nil, fault.New(fault.Invalid, "claim.encode", "", "claim of %d bytes exceeds %d", b.Len(), maxClaimBytes)
	}
	return b.Bytes(), nil
}

// decodeClaims decodes the value of one key.
func decodeClaims(value []byte) ([]Claim, error) {
	r := bytes.NewReader(value)
	dec := msgpack.NewDecoder(r) // does not read ahead
	var claims []Claim
	for r.Len() > 0 {
		c, err := decodeClaim(dec)
		if err != nil {
			return nil, fault.Wrap(err, fault.Protocol, "claim.decode", "", "claim %d", len(claims))
		}
		claims = append(claims, c)
	}
	return claims, nil
}

func decodeClaim(dec *msgpack.Decoder) (Claim, error) {
	var c Claim
	var id []byte
	var attempt, class string
	var at int64
	err := dec.DecodeMulti(&id, &c.Organisation, &c.Service, &c.Owner, &c.Incarnation, &attempt, &c.Number,
		&at, &c.Released, &c.Fingerprint, &c.Target.ID, &c.Target.Address, &class)
	c.Request = request.ID(hex.EncodeToString(id))
	c.Attempt, c.Target.Class = backend.AttemptID(attempt), backend.Class(class)
	c.At = time.UnixMilli(at)
	return c, err
}
