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

// SecretKey holds the secret that authenticates the site's entries to each
// other. The first entry creates it.
const SecretKey = "buckthornpick/secret"

const secretBytes = 32

// Secret is the site's secret, once it is known.
type Secret struct {
	value atomic.Pointer[[]byte]
	log   *telemetry.Logger
}

// NewSecret returns a secret that is not known yet.
func NewSecret(log *telemetry.Logger) *Secret { return &Secret{log: log} }

// Bytes returns the secret, nil if it is not known yet.
func (s *Secret) Bytes() []byte {
	if p := s.value.Load(); p != nil {
		return *p
	}
	return nil
}

// Learn reads the secret from the store, or creates it, and returns when it is
// known or ctx ends.
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
		wait.For(ctx, retryMost)
	}
	return nil
}

// readOrCreate returns nothing if another entry may just have created it.
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
