package relay

import (
	"time"

	"buckthornpick/internal/quota"
)

// deregistrationTime is the time that the load balancer takes to send new callers
// elsewhere: two failed readiness probes, one a second.
const deregistrationTime = 2 * time.Second

// staysInRotation decides whether an entry whose document was last confirmed so long ago
// goes on asking for callers. It answers the load of callers that come to a zone that is
// cut off from the store: once the document is older than maxAge, their keys are refused, at
// all entries of the zone. The entry therefore leaves the rotation so early that callers
// come to other zones by then. While all entries of the site hear of each other, they
// lose the store alike, and leaving early would only take callers away from entries that
// still serve them.
func staysInRotation(documentAge, maxAge time.Duration, site quota.Site) bool {
	if site.Reachable < site.Entries {
		maxAge -= deregistrationTime
	}
	return documentAge <= maxAge
}

// InRotation reports whether this entry asks the load balancer for callers. While it
// does not, its responses ask callers to close their connections, so that they find
// another entry.
func (r *Relay) InRotation() bool {
	doc, age := r.Documents.Current()
	return doc != nil && staysInRotation(age, r.Limits.MaxDocumentAge, r.Peers.Site())
}
