package decoder

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

// ErrTooLarge is returned for a body that exceeds its size limit.
var ErrTooLarge = errors.New("body exceeds the limit")

// PositionError is an error at a line and column of a document, both counted from 1.
type PositionError struct {
	File   string
	Line   int
	Column int
	// Field is the path of the field, empty if the error concerns none.
	Field   string
	Problem string
	// Allowed describes the allowed values, empty if they are not known.
	Allowed string
}

// Error returns the position, the field, the problem and the allowed values.
func (e *PositionError) Error() string {
	text := fmt.Sprintf("%s:%d:%d: ", e.File, e.Line, e.Column)
	if e.Field != "" {
		text += "field " + e.Field + ": "
	}
	text += e.Problem
	if e.Allowed != "" {
		text += " (allowed: " + e.Allowed + ")"
	}
	return text
}

// ReadAll reads a body, and returns ErrTooLarge if it has more than limit bytes.
func ReadAll(r io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, ErrTooLarge
	}
	return data, nil
}

// Body decodes a JSON body, and returns ErrTooLarge if it has more than limit bytes.
func Body[T any](r io.Reader, limit int64) (T, error) {
	var value T
	data, err := ReadAll(r, limit)
	if err != nil {
		return value, err
	}
	err = json.Unmarshal(data, &value)
	return value, err
}

// Document decodes a JSON document that may contain comments and trailing commas; it
// returns a *PositionError for a syntax error, an unknown field or a value of the wrong type.
func Document[T any](file string, data []byte) (T, error) {
	var value T
	plain, err := standardize(file, data)
	if err != nil {
		return value, err
	}
	d := json.NewDecoder(bytes.NewReader(plain))
	d.DisallowUnknownFields()
	err = d.Decode(&value)
	if err != nil {
		return value, positionError(file, data, plain, reflect.TypeFor[T](), err, d.InputOffset())
	}
	return value, nil
}

// standardize converts a document to plain JSON by overwriting comments and trailing
// commas with blanks, so that byte offsets don't change.
func standardize(file string, data []byte) ([]byte, error) {
	plain, err := hujson.Standardize(data)
	if err == nil {
		return plain, nil
	}
	return nil, syntaxError(file, data, err)
}

func syntaxError(file string, data []byte, err error) error {
	var line, column int
	_, rest, ok := strings.Cut(err.Error(), "line ")
	if ok {
		_, scanErr := fmt.Sscanf(rest, "%d, column %d", &line, &column)
		if scanErr != nil {
			line, column = Position(data, len(data))
		}
	}
	return &PositionError{File: file, Line: line, Column: column, Problem: err.Error()}
}

func positionError(file string, data, plain []byte, root reflect.Type, err error, offset int64) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		line, column := Position(data, int(typeErr.Offset))
		return &PositionError{
			File: file, Line: line, Column: column, Field: typeErr.Field,
			Problem: "wrong type " + typeErr.Value, Allowed: typeErr.Type.String(),
		}
	}
	name, ok := strings.CutPrefix(err.Error(), "json: unknown field ")
	if ok {
		return unknownField(file, data, plain, root, strings.Trim(name, `"`))
	}
	line, column := Position(data, int(offset))
	return &PositionError{File: file, Line: line, Column: column, Problem: err.Error()}
}

func unknownField(file string, data, plain []byte, root reflect.Type, name string) error {
	found := findUnknown(plain, root, name)
	line, column := Position(data, found.offset)
	return &PositionError{
		File: file, Line: line, Column: column, Field: found.path,
		Problem: "unknown field", Allowed: strings.Join(found.allowed, ", "),
	}
}

// Position returns the line and column, both counted from 1, of a byte offset.
func Position(data []byte, offset int) (line, column int) {
	offset = min(max(offset, 0), len(data))
	before := data[:offset]
	line = bytes.Count(before, []byte("\n")) + 1
	column = offset - bytes.LastIndexByte(before, '\n')
	return line, column
}
