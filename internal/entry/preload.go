package entry

import (
	"context"
	"slices"
	"time"

	"buckthornpick/internal/config"
	"buckthornpick/internal/wait"
)

const (
	// preloadInterval is the interval at which new partitions to load are looked for.
	preloadInterval = time.Second
	// preloadPause keeps one node's reads below 100 per second.
	preloadPause = 10 * time.Millisecond
	// preloadTimeout bounds the loading of one partition.
	preloadTimeout = 2 * time.Second
)

// preloadClaims loads the claims of every partition that this node owns, if the
// document has a service that continues to run during a store outage: the owner must
// then already know all claims of a partition when the store becomes unavailable.
// Without such a service a partition's claims are loaded at its first use.
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

// preloadOnce loads the partitions that were acquired since they were last loaded;
// loaded holds the table revision of the acquisition that was last loaded.
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

// hasOwnerMode reports whether a service continues during a store outage, with the
// owner alone ensuring that a request runs at most once.
func hasOwnerMode(doc *config.Document) bool {
	return slices.ContainsFunc(doc.Services, func(s config.Service) bool {
		return s.StoreOutage == config.OutageOwner
	})
}
