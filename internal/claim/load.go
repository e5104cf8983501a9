package claim

import "context"

// Load reads the claims of a partition that this node owns, unless it has them
// already. After that, Lookup answers for the partition while the store is
// away. Errors as for Lookup.
func (l *Ledger) Load(ctx context.Context, partition int) error {
	_, err := l.loadedPartition(ctx, partition)
	return err
}
