package decoder

import (
	"encoding/json"
	"time"
)

// Duration is a time.Duration that JSON holds as text with a unit, such as "400ms".
type Duration struct {
	value   time.Duration
	invalid string
}

// NewDuration converts a time.Duration.
func NewDuration(value time.Duration) Duration {
	return Duration{value: value}
}

// Value returns the duration, or 0 if the text was invalid.
func (d Duration) Value() time.Duration {
	return d.value
}

// Invalid returns the text that could not be parsed as a duration, or "" if it was valid.
func (d Duration) Invalid() string {
	return d.invalid
}

// String returns the duration with its unit.
func (d Duration) String() string {
	return d.value.String()
}

// MarshalJSON writes the duration as text with a unit.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(d.String())
}

// UnmarshalJSON returns no error for invalid text but keeps it, so that the
// validation of the document can report it with its position.
func (d *Duration) UnmarshalJSON(data []byte) error {
	*d = parseDuration(data)
	return nil
}

func parseDuration(data []byte) Duration {
	var text string
	err := json.Unmarshal(data, &text)
	if err != nil {
		return Duration{invalid: string(data)}
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		return Duration{invalid: text}
	}
	return Duration{value: value}
}
