package quay

import "sync"

const (
	// retryShare is the number of retries that each success allows.
	retryShare = 0.1
	// retryBurst is the largest number of saved retries.
	retryBurst = 20
)

// RetryBudget limits retries to a share of recent successes, so that retries
// cannot multiply an overload. It is safe for concurrent use.
type RetryBudget struct {
	mu     sync.Mutex
	tokens float64
}

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{tokens: retryBurst}
}

// Deposit records a success.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(retryBurst, b.tokens+retryShare)
}

// Withdraw takes one retry and reports whether there was one.
func (b *RetryBudget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
