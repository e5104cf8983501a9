package claim

import "context"

// Load reads the claims of a partition that this node owns, unless they are
// already loaded. Lookup then works for the partition while the store is
// unavailable. The errors are those of Lookup.
func (l *Ledger) Load(ctx context.Context, partition int) error {
	_, err := l.loadedPartition(ctx, partition)
	return err
}
