package follow

import (
	"context"
	"crypto/rand"
	"sync/atomic"

	"buckthornpick/internal/fault"
	"buckthornpick/internal/kv"
	"buckthornpick/internal/telemetry"
	"buckthornpick/internal/wait"
)

// SecretKey is the key of the secret with which the site's entries authenticate
// each other. The first entry creates it.
const SecretKey = "buckthornpick/secret"

const secretBytes = 32

// Secret holds the secret shared by the site's entries once it has been read or
// created. It is safe for concurrent use.
type Secret struct {
	value atomic.Pointer[[]byte]
	log   *telemetry.Logger
}

// NewSecret returns an empty Secret; LoadOrCreate fills it.
func NewSecret(log *telemetry.Logger) *Secret { return &Secret{log: log} }

// Bytes returns the secret, or nil before LoadOrCreate has succeeded.
func (s *Secret) Bytes() []byte {
	if p := s.value.Load(); p != nil {
		return *p
	}
	return nil
}

// LoadOrCreate reads the secret from the store or creates it. It retries until
// it succeeds or ctx ends, and always returns nil.
func (s *Secret) LoadOrCreate(ctx context.Context, store kv.Store) error {
	for ctx.Err() == nil {
		value, err := s.readOrCreate(ctx, store)
		if err == nil && len(value) > 0 {
			s.value.Store(&value)
			return nil
		}
		if err != nil && ctx.Err() == nil {
			s.log.Log(EvSecretFailed, "step", fault.Step(err), "peer", fault.Peer(err), "error", err.Error())
		}
		wait.For(ctx, maxBackoff)
	}
	return nil
}

// readOrCreate reads the secret, or writes a new one if there is none. It may
// return an empty value without an error; the caller then tries again.
func (s *Secret) readOrCreate(ctx context.Context, store kv.Store) ([]byte, error) {
	entry, found, err := store.Get(ctx, SecretKey)
	if err != nil || found {
		return entry.Value, err
	}
	fresh := make([]byte, secretBytes)
	_, _ = rand.Read(fresh) // never fails, by its documentation
	_, err = store.Txn(ctx, []kv.Compare{{Key: SecretKey}}, []kv.Op{kv.Put(SecretKey, fresh)})
	if err != nil {
		return nil, err
	}
	entry, _, err = store.Get(ctx, SecretKey)
	return entry.Value, err
}
