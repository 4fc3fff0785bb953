package limiter

// Budget is a token bucket that primary sub-requests fill and extra ones empty.
type Budget struct {
	ratio    float64
	capacity float64
	tokens   float64
}

// NewBudget returns a full budget that allows extra sub-requests up to ratio of
// the primary ones, and at most capacity at once.
func NewBudget(ratio, capacity float64) Budget {
	return Budget{ratio: ratio, capacity: capacity, tokens: min(capacity, 1)}
}

// WithRatio returns a budget with another ratio that keeps its tokens.
func (b Budget) WithRatio(ratio float64) Budget {
	b.ratio = ratio
	return b
}

// Earn notes n primary sub-requests.
func (b *Budget) Earn(n int) {
	b.Refill(b.ratio * float64(n))
}

// Refill adds the tokens that come with time.
func (b *Budget) Refill(tokens float64) {
	b.tokens = min(b.capacity, b.tokens+tokens)
}

// Spend takes a token for one extra sub-request and reports whether there was one.
func (b *Budget) Spend() bool {
	if b.ratio <= 0 || b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Left returns the number of extra sub-requests that may be sent now.
func (b *Budget) Left() float64 {
	return b.tokens
}

// WithCapacity returns a budget with another capacity that keeps its tokens as
// far as they fit.
func (b Budget) WithCapacity(capacity float64) Budget {
	b.capacity = capacity
	b.tokens = min(b.tokens, capacity)
	return b
}
