package entry

import (
	"context"
	"slices"
	"time"

	"buckthornpick/internal/config"
	"buckthornpick/internal/wait"
)

const (
	// preloadInterval is the time between looks for partitions to read.
	preloadInterval = time.Second
	// preloadPause keeps one node's reads under 100 a second.
	preloadPause   = 10 * time.Millisecond
	preloadTimeout = 2 * time.Second
)

// preloadClaims reads the claims of every partition of this node ahead of need
// if a service goes on without the store: the owner must know all claims of a
// partition when the store goes away. Other partitions are read when they are
// first used.
func (n *Node) preloadClaims(ctx context.Context) error {
	loaded := map[int]int64{}
	for ctx.Err() == nil {
		wait.For(ctx, preloadInterval)
		doc, ok := n.Document()
		if !ok || !hasOwnerMode(doc) {
			continue
		}
		n.preloadOnce(ctx, loaded)
	}
	return nil
}

// preloadOnce reads the partitions whose tenure is newer than what was read.
func (n *Node) preloadOnce(ctx context.Context, loaded map[int]int64) {
	for _, p := range ownedPartitions(n.members.Table(), n.cfg.Self.ID) {
		since, isOwned := n.ownership.OwnedSince(p)
		if !isOwned || loaded[p] == since {
			continue
		}
		loadCtx, cancel := context.WithTimeout(ctx, preloadTimeout)
		err := n.ledger.Load(loadCtx, p)
		cancel()
		if err != nil {
			return
		}
		loaded[p] = since
		wait.For(ctx, preloadPause)
	}
}

func hasOwnerMode(doc *config.Document) bool {
	return slices.ContainsFunc(doc.Services, func(s config.Service) bool {
		return s.StoreOutage == config.OutageOwner
	})
}
