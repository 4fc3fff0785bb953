package merger

import "slices"

// Codec reads and writes the rows of one format.
type Codec[R any] interface {
	// Decode appends the rows of a body to a list.
	Decode(rows []R, body []byte) []R
	// Encode returns the body that holds the rows.
	Encode(rows []R) []byte
	// Compare orders rows; it is negative if a is less than b.
	Compare(a, b R) int
}

// Merger merges bodies of one format.
type Merger[R any] struct {
	codec Codec[R]
}

// New returns a merger of a format.
func New[R any](codec Codec[R]) *Merger[R] {
	return &Merger[R]{codec: codec}
}

// Merge returns a body with the n greatest rows of the bodies, greatest first;
// equal rows all count.
func (m *Merger[R]) Merge(bodies [][]byte, n int) []byte {
	var rows []R
	for _, body := range bodies {
		rows = m.codec.Decode(rows, body)
	}
	slices.SortFunc(rows, func(a, b R) int { return m.codec.Compare(b, a) })
	return m.codec.Encode(rows[:min(n, len(rows))])
}
