package confstore

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"buckthornpick/internal/config"
	"buckthornpick/internal/fault"
)

// HistoryEntry is the history record of one accepted change.
type HistoryEntry struct {
	Revision    int64     `json:"revision"`
	OperationID string    `json:"operationId"`
	Time        time.Time `json:"time"`
	// Author is the user name given by the operator's client; it is not verified.
	Author string `json:"author,omitempty"`
	// Node is the ID of the node that wrote the change.
	Node     string           `json:"node"`
	Document *config.Document `json:"document"`
}

func encodeDocument(doc *config.Document) ([]byte, error) { return encode(doc) }

func encode(v any) ([]byte, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "config.encode", "", "cannot encode the document")
	}
	if len(data) > MaxValueBytes {
		return nil, fault.New(fault.Invalid, "config.encode", "",
			"the document has %d bytes with its history record, at most %d are stored", len(data), MaxValueBytes)
	}
	return data, nil
}

func decodeDocument(data []byte) (*config.Document, error) {
	var doc config.Document
	if err := json.Unmarshal(data, &doc); err != nil {
		return nil, fault.Wrap(err, fault.Protocol, "config.decode", "store", "the stored document cannot be read")
	}
	return &doc, nil
}

func decodeHistory(data []byte) (*HistoryEntry, error) {
	var e HistoryEntry
	if err := json.Unmarshal(data, &e); err != nil {
		return nil, fault.Wrap(err, fault.Protocol, "config.decode", "store", "the history entry cannot be read")
	}
	return &e, nil
}

// historyKey returns the key of a revision's history entry. The number is
// padded with zeros so that keys sort by revision.
func (s *Store) historyKey(revision int64) string {
	const digits = 19
	text := strconv.FormatInt(revision, 10)
	return s.cfg.HistoryPrefix + strings.Repeat("0", digits-len(text)) + text
}
