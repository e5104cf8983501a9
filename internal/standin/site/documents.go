package site

import (
	"context"
	"crypto/sha256"
	"encoding/hex"

	"buckthornpick/internal/config"
	"buckthornpick/internal/confstore"
)

// KeyHash returns the hash under which a configuration document lists a bearer
// key.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Propose submits a configuration document to an entry node and returns its
// revision.
func (s *Site) Propose(ctx context.Context, e *Entry, doc *config.Document, expected int64, operationID string) (int64, error) {
	result, err := e.Node.Documents().Propose(ctx, confstore.Change{
		Document: doc, Expected: expected, OperationID: operationID, Author: "site",
	})
	return result.Revision, err
}
