package follow

import (
	"context"
	"crypto/rand"
	"sync/atomic"
	"time"

	"buckthornpick/internal/fault"
	"buckthornpick/internal/kv"
	"buckthornpick/internal/telemetry"
	"buckthornpick/internal/wait"
)

// SecretKey is the key of the secret with which the site's entries authenticate
// each other. The first entry creates it.
const SecretKey = "buckthornpick/secret"

const (
	secretBytes = 32
	// generationCheckInterval is the time between checks for a new generation of the
	// store, which need no call.
	generationCheckInterval = 200 * time.Millisecond
)

// Secret holds the secret shared by the site's entries once it has been read or
// created. It is safe for concurrent use.
type Secret struct {
	value atomic.Pointer[[]byte]
	log   *telemetry.Logger
}

// NewSecret returns an empty Secret; Run fills it.
func NewSecret(log *telemetry.Logger) *Secret { return &Secret{log: log} }

// Bytes returns the secret, or nil before Run has read or created it.
func (s *Secret) Bytes() []byte {
	if p := s.value.Load(); p != nil {
		return *p
	}
	return nil
}

// Run reads the secret from the store or creates it, and does so again in each
// generation of the store, which may have lost it. The stored secret always wins, so
// that entries agree. Run always returns nil.
func (s *Secret) Run(ctx context.Context, store kv.Store) error {
	for ctx.Err() == nil {
		generation := kv.Generation(store)
		value, err := s.readOrCreate(ctx, store)
		if err == nil && len(value) > 0 {
			s.value.Store(&value)
			for kv.Generation(store) == generation {
				if !wait.For(ctx, generationCheckInterval) {
					return nil
				}
			}
			continue
		}
		if err != nil && ctx.Err() == nil {
			s.log.Log(EvSecretFailed, "step", fault.Step(err), "peer", fault.Peer(err), "error", err.Error())
		}
		wait.For(ctx, maxBackoff)
	}
	return nil
}

// readOrCreate reads the secret, or writes the known or a new one if there is none. It
// may return an empty value without an error; the caller then tries again.
func (s *Secret) readOrCreate(ctx context.Context, store kv.Store) ([]byte, error) {
	entry, found, err := store.Get(ctx, SecretKey)
	if err != nil || found {
		return entry.Value, err
	}
	value := s.Bytes()
	if value == nil {
		value = make([]byte, secretBytes)
		_, _ = rand.Read(value) // never fails, by its documentation
	}
	_, err = store.Txn(ctx, []kv.Compare{{Key: SecretKey}}, []kv.Op{kv.Put(SecretKey, value)})
	if err != nil {
		return nil, err
	}
	entry, _, err = store.Get(ctx, SecretKey)
	return entry.Value, err
}
