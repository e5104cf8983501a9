package confstore

import (
	"context"
	"slices"
)

// History returns up to limit accepted changes, the latest first; limit 0
// returns all that are kept.
func (s *Store) History(ctx context.Context, limit int) ([]HistoryEntry, error) {
	snapshot, err := s.kv.List(ctx, s.cfg.HistoryPrefix)
	if err != nil {
		return nil, err
	}
	entries := snapshot.Entries
	if limit > 0 && len(entries) > limit {
		entries = entries[len(entries)-limit:]
	}
	history := make([]HistoryEntry, 0, len(entries))
	for _, e := range slices.Backward(entries) {
		entry, err := decodeHistory(e.Value)
		if err != nil {
			return nil, err
		}
		history = append(history, *entry)
	}
	return history, nil
}
