package decoder

import (
	"encoding/json"
	"fmt"
)

// List is a JSON array whose elements are decoded one by one, so that one that can't be
// decoded doesn't keep the others from being used.
type List[T any] struct {
	Elements []T
	// Rejected is why some elements are missing, with their places.
	Rejected []error
}

// NewList returns a list of some elements.
func NewList[T any](elements []T) List[T] {
	return List[T]{Elements: elements}
}

// MarshalJSON encodes the elements.
func (l List[T]) MarshalJSON() ([]byte, error) {
	return json.Marshal(l.Elements)
}

// UnmarshalJSON decodes the elements. Only an error of the array itself is returned.
func (l *List[T]) UnmarshalJSON(data []byte) error {
	*l = List[T]{}
	if string(data) == "null" {
		return nil
	}
	elements, err := Elements(data)
	if err != nil {
		return err
	}
	for i, element := range elements {
		var value T
		err = json.Unmarshal(element, &value)
		if err != nil {
			l.Rejected = append(l.Rejected, fmt.Errorf("element %d: %w", i, err))
			continue
		}
		l.Elements = append(l.Elements, value)
	}
	return nil
}
