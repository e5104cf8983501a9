package quota

import (
	"slices"
	"time"
)

// maxRecalledAge is the age from which on a copy of the spending says too little: what may
// have been spent since then fills the window.
const maxRecalledAge = 4 * time.Second

// Recollection is a copy of the spending before a restart of all entries, of one
// organisation. Times are on the clock of the process that recalls it.
type Recollection struct {
	// Parts is the spending of the entries in the window before CopiedAt, in equal parts,
	// oldest first; nil is none.
	Parts    []float64
	CopiedAt time.Duration
	// Gaps are the times of which the copy does not know what was spent.
	Gaps []Gap
	// UnknownShare is the fraction of the entries whose spending the copy lacks.
	UnknownShare float64
}

// Gap is a time of which the spending is not known.
type Gap struct{ From, To time.Duration }

// earlierSpending is an upper bound of what all entries spent before a process started.
type earlierSpending struct {
	known        *Window
	copiedAt     time.Duration
	gaps         []Gap
	unknownShare float64
}

// Recall bounds the spending before the start by a copy that was made of it; what was spent
// between the copy and now is not known. It does nothing if the copy is too old or the
// process has run for a window. Reports of other entries that have run for longer replace
// the copy.
func (c *Counter) Recall(now time.Duration, r Recollection) {
	if !c.isNew(now) || now-r.CopiedAt > maxRecalledAge {
		return
	}
	e := &earlierSpending{known: NewWindow(c.window.span), copiedAt: r.CopiedAt, unknownShare: r.UnknownShare}
	e.known.RaiseTo(r.CopiedAt, r.Parts)
	e.gaps = append(slices.Clone(r.Gaps), Gap{r.CopiedAt, now})
	c.earlier = e
	// The bounds of sum hold whatever the level of the bucket was, so it starts empty.
	c.bucketLevel = max(0, c.bucketLevel-c.assumedSpending)
	c.assumedSpending = 0
}

// sum returns the most that may have been spent before the start in the window before now.
// In a gap, and at the entries that the copy lacks, the leaky bucket limits it.
func (e *earlierSpending) sum(now time.Duration, l Limits) float64 {
	if e == nil {
		return 0
	}
	limit := l.perWindow()
	sum := e.known.Sum(now)
	if begin := now - l.Window; e.copiedAt > begin {
		sum += e.unknownShare * min(limit, l.mostIn(e.copiedAt-begin))
	}
	for _, gap := range e.gaps {
		if begin := now - l.Window; gap.To > begin {
			sum += l.mostIn(gap.To - max(gap.From, begin))
		}
	}
	return min(sum, limit)
}

// mostIn returns the most that the leaky bucket lets all entries spend in the time d.
func (l Limits) mostIn(d time.Duration) float64 {
	return l.bucketBurst() + bucketRateFactor*l.PerSecond*d.Seconds()
}

// Copy returns the spending of all entries in the window before now for a Recollection, in
// equal parts, oldest first. It lacks what is not known of the time before the start.
func (c *Counter) Copy(now time.Duration) []float64 {
	parts := c.window.Parts(now)
	if c.isNew(now) && !c.hasSiteSpending && c.earlier != nil {
		for i, amount := range c.earlier.known.Parts(now) {
			parts[i] += amount
		}
	}
	return parts
}
