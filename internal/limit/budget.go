package limit

// defaultRetryBudget is the share of retries per first attempt.
const defaultRetryBudget = 0.2

// minBudget is the least size of a retry budget in retries.
const minRetryBudgetSize = 10

// retryBudget is a token bucket that first attempts fill. Its size is the
// service's concurrency, so that each request that runs when a zone is lost
// can be retried once, and what follows is a share of the first attempts.
type retryBudget struct {
	tokens, size, share float64
}

func newRetryBudget(size float64) retryBudget {
	size = max(size, minRetryBudgetSize)
	return retryBudget{tokens: size, size: size, share: defaultRetryBudget}
}

func (b *retryBudget) resize(size float64) {
	b.size = max(size, minRetryBudgetSize)
	b.tokens = min(b.tokens, b.size)
}

func (b *retryBudget) creditFirstAttempt() { b.tokens = min(b.size, b.tokens+b.share) }

func (b *retryBudget) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
