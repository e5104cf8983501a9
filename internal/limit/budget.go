package limit

// defaultRetryBudget is the number of retries earned by a first attempt.
const defaultRetryBudget = 0.2

// minRetryBudgetSize is the smallest size of a retry budget, in retries.
const minRetryBudgetSize = 10

// retryBudget is a token bucket that is filled by first attempts. Its size is the
// service's capacity in requests, so that every request that runs when a zone is
// lost can be retried once; after that, retries are limited to a share of the
// first attempts.
type retryBudget struct {
	tokens, size, share float64
}

func newRetryBudget(size float64) retryBudget {
	size = max(size, minRetryBudgetSize)
	return retryBudget{tokens: size, size: size, share: defaultRetryBudget}
}

// resize sets the bucket size and drops tokens that exceed it.
func (b *retryBudget) resize(size float64) {
	b.size = max(size, minRetryBudgetSize)
	b.tokens = min(b.tokens, b.size)
}

// creditFirstAttempt adds the share of a token that a first attempt earns.
func (b *retryBudget) creditFirstAttempt() { b.tokens = min(b.size, b.tokens+b.share) }

// take takes one token and reports whether there was one.
func (b *retryBudget) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
