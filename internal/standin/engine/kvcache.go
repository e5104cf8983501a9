package engine

import (
	"encoding/binary"
	"io"
	"net/http"
	"strconv"
	"time"
)

// A blob consists of a magic number, the number of blocks, their hashes, and
// padding up to the size of the KV cache that it represents.
const (
	blobMagic       = 0x6b76626c6f623031
	blobHeaderBytes = 16
	blobHashBytes   = 8
)

func (s *Server) serveExport(w http.ResponseWriter, r *http.Request) {
	a, ok := s.lookup(r.PathValue("attempt"))
	if !ok {
		writeProblem(w, http.StatusNotFound, "not_found", "attempt is unknown")
		return
	}
	s.mu.Lock()
	hashes := BlockHashes(a.words)
	if a.pendingTokens > 0 || a.promptTokens == 0 {
		hashes = nil // prefill has not finished
	}
	s.mu.Unlock()
	blob := s.encodeBlob(hashes)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(blob)))
	_, _ = w.Write(blob) // the client may have disconnected
}

// encodeBlob omits the last blocks if the blob would exceed
// Settings.MaxBlobBytes.
func (s *Server) encodeBlob(hashes []uint64) []byte {
	perBlock := max(BlockWords*s.settings.KVBytesPerToken, blobHashBytes)
	maxBlocks := (s.settings.MaxBlobBytes - blobHeaderBytes) / perBlock
	hashes = hashes[:min(len(hashes), max(maxBlocks, 0))]
	blob := make([]byte, blobHeaderBytes+len(hashes)*perBlock)
	binary.BigEndian.PutUint64(blob, blobMagic)
	binary.BigEndian.PutUint64(blob[8:], uint64(len(hashes)))
	for i, h := range hashes {
		binary.BigEndian.PutUint64(blob[blobHeaderBytes+i*blobHashBytes:], h)
	}
	return blob
}

func decodeBlob(blob []byte) ([]uint64, bool) {
	if len(blob) < blobHeaderBytes || binary.BigEndian.Uint64(blob) != blobMagic {
		return nil, false
	}
	n := binary.BigEndian.Uint64(blob[8:])
	if n > uint64(len(blob)-blobHeaderBytes)/blobHashBytes {
		return nil, false
	}
	hashes := make([]uint64, n)
	for i := range hashes {
		hashes[i] = binary.BigEndian.Uint64(blob[blobHeaderBytes+i*blobHashBytes:])
	}
	return hashes, true
}

func (s *Server) serveImport(w http.ResponseWriter, r *http.Request) {
	blob, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(s.settings.MaxBlobBytes)))
	if err != nil {
		writeProblem(w, http.StatusRequestEntityTooLarge, "invalid_request_error", err.Error())
		return
	}
	hashes, ok := decodeBlob(blob)
	if !ok {
		writeProblem(w, http.StatusBadRequest, "invalid_request_error", "not a KV cache blob")
		return
	}
	s.mu.Lock()
	s.cache.store(hashes, time.Now())
	s.trim()
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}
