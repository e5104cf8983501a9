package gateway

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"sync/atomic"

	"buckthornpick/internal/config"
)

// keyring maps bearer keys to organisations. It caches the index of the most
// recently used document.
type keyring struct {
	index atomic.Pointer[keyIndex]
}

// keyIndex maps the key hashes of one document to organisations.
type keyIndex struct {
	doc           *config.Document
	organisations map[string]string
}

const bearerPrefix = "Bearer "

// organisation returns the organisation for the value of an Authorization
// header, and false if the key is missing or unknown.
func (k *keyring) organisation(doc *config.Document, authorization string) (string, bool) {
	key, ok := strings.CutPrefix(authorization, bearerPrefix)
	if !ok || key == "" {
		return "", false
	}
	hash := sha256.Sum256([]byte(key))
	name, ok := k.indexFor(doc).organisations[hex.EncodeToString(hash[:])]
	return name, ok
}

func (k *keyring) indexFor(doc *config.Document) *keyIndex {
	if ix := k.index.Load(); ix != nil && ix.doc == doc {
		return ix
	}
	ix := &keyIndex{doc: doc, organisations: map[string]string{}}
	for _, o := range doc.Organisations {
		for _, h := range o.KeyHashes {
			ix.organisations[strings.ToLower(h)] = o.Name
		}
	}
	k.index.Store(ix)
	return ix
}
