package limiter

// Budget is a token bucket: each primary sub-request (a sub-request as such, whatever
// the number of its attempts) adds tokens, and each extra attempt (a hedge or a retry)
// takes one.
type Budget struct {
	ratio    float64
	capacity float64
	tokens   float64
}

// NewBudget returns a budget that allows ratio extra attempts per primary
// sub-request and holds at most capacity tokens; it starts with one token, or with
// capacity if that is less.
func NewBudget(ratio, capacity float64) Budget {
	return Budget{ratio: ratio, capacity: capacity, tokens: min(capacity, 1)}
}

// WithRatio returns a copy of the budget with another ratio and the same tokens.
func (b Budget) WithRatio(ratio float64) Budget {
	b.ratio = ratio
	return b
}

// Earn adds the tokens of n primary sub-requests.
func (b *Budget) Earn(n int) {
	b.Refill(b.ratio * float64(n))
}

// Refill adds tokens, up to the capacity.
func (b *Budget) Refill(tokens float64) {
	b.tokens = min(b.capacity, b.tokens+tokens)
}

// Spend takes one token for an extra attempt and reports whether one was available.
func (b *Budget) Spend() bool {
	if b.ratio <= 0 || b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Left returns the number of tokens; each whole one allows an extra attempt,
// unless the ratio is 0.
func (b *Budget) Left() float64 {
	return b.tokens
}

// WithCapacity returns a copy of the budget with another capacity; tokens above
// the new capacity are dropped.
func (b Budget) WithCapacity(capacity float64) Budget {
	b.capacity = capacity
	b.tokens = min(b.tokens, capacity)
	return b
}
