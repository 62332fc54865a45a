package quay

import "sync"

const (
	// retriesPerSuccess is the number of retries that each success adds.
	retriesPerSuccess = 0.1
	// maxSavedRetries is the maximum number of retries that the budget holds.
	maxSavedRetries = 20
)

// RetryBudget is a token bucket that limits retries to a fraction of recent
// successes, so that retries do not amplify an overload. It is safe for
// concurrent use.
type RetryBudget struct {
	mu     sync.Mutex
	tokens float64
}

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{tokens: maxSavedRetries}
}

// Deposit records a success.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(maxSavedRetries, b.tokens+retriesPerSuccess)
}

// Withdraw takes one retry from the budget and reports whether there was one.
func (b *RetryBudget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
