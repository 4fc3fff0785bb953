package decoder

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

// errUnfinished is the error of a JSON value that ends early.
var errUnfinished = errors.New("JSON value ends early")

// Elements returns the elements of a JSON array. It doesn't check what is in them, and
// accepts any depth of nesting, so that one element can't make the others unreadable.
func Elements(data []byte) ([]json.RawMessage, error) {
	var elements []json.RawMessage
	err := split(data, '[', ']', func(part []byte) error {
		elements = append(elements, part)
		return nil
	})
	return elements, err
}

// Members returns the members of a JSON object by name; of several with one name the last
// counts. Like Elements it doesn't check the values.
func Members(data []byte) (map[string]json.RawMessage, error) {
	members := make(map[string]json.RawMessage)
	err := split(data, '{', '}', func(part []byte) error {
		end := skipText(part, 0)
		var name string
		err := json.Unmarshal(part[:end], &name)
		if err != nil {
			return fmt.Errorf("name of a member: %w", err)
		}
		value, ok := bytes.CutPrefix(bytes.TrimSpace(part[end:]), []byte(":"))
		value = bytes.TrimSpace(value)
		if !ok || len(value) == 0 {
			return fmt.Errorf("no value of member %q", name)
		}
		members[name] = value
		return nil
	})
	return members, err
}

// split calls handle with each part of an array or object, without the spaces around it.
func split(data []byte, opening, closing byte, handle func(part []byte) error) error {
	data = bytes.TrimSpace(data)
	if len(data) == 0 || data[0] != opening {
		return fmt.Errorf("no JSON value that begins with %q", opening)
	}
	for start := 1; ; {
		end := partEnd(data, start)
		if end == len(data) {
			return errUnfinished
		}
		last := data[end] != ','
		if last && (data[end] != closing || end != len(data)-1) {
			return fmt.Errorf("unexpected %q at byte %d", data[end], end)
		}
		part := bytes.TrimSpace(data[start:end])
		if last && start == 1 && len(part) == 0 {
			return nil
		}
		if len(part) == 0 {
			return fmt.Errorf("no value at byte %d", end)
		}
		err := handle(part)
		if err != nil || last {
			return err
		}
		start = end + 1
	}
}

// partEnd returns the index of the comma or closing bracket that ends the part which begins at
// i, or the length of the data without one.
func partEnd(data []byte, i int) int {
	for depth := 0; i < len(data); i++ {
		switch data[i] {
		case '"':
			i = skipText(data, i) - 1
		case '[', '{':
			depth++
		case ']', '}':
			if depth == 0 {
				return i
			}
			depth--
		case ',':
			if depth == 0 {
				return i
			}
		}
	}
	return len(data)
}

// skipText returns the index after the text that begins at i; without a text there, the index
// after the next quotation mark.
func skipText(data []byte, i int) int {
	for i++; i < len(data); i++ {
		switch data[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return len(data)
}
