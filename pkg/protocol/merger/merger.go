package merger

import "slices"

// Codec decodes, encodes and compares the rows of one body format.
type Codec[R any] interface {
	// Decode appends the rows of a body to rows.
	Decode(rows []R, body []byte) []R
	// Encode returns a body with the rows.
	Encode(rows []R) []byte
	// Compare returns a negative number if a is less than b, 0 if they are equal
	// and a positive number otherwise.
	Compare(a, b R) int
}

// Merger merges bodies of one format.
type Merger[R any] struct {
	codec Codec[R]
}

// New returns a merger for the format of a codec.
func New[R any](codec Codec[R]) *Merger[R] {
	return &Merger[R]{codec: codec}
}

// Merge returns a body with the n greatest rows of the bodies, greatest first;
// duplicates are kept.
func (m *Merger[R]) Merge(bodies [][]byte, n int) []byte {
	var rows []R
	for _, body := range bodies {
		rows = m.codec.Decode(rows, body)
	}
	slices.SortFunc(rows, func(a, b R) int { return m.codec.Compare(b, a) })
	return m.codec.Encode(rows[:min(n, len(rows))])
}
