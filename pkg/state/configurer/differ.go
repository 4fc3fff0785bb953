package configurer

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// FieldChange is the change of one field between two documents; an absent value is "".
type FieldChange struct {
	Field  string
	Before string
	After  string
}

// Diff returns the fields in which two documents differ, in the order of their paths.
func Diff(before, after Document) []FieldChange {
	a, b := Flatten(before), Flatten(after)
	keys := make(map[string]bool)
	for key := range a {
		keys[key] = true
	}
	for key := range b {
		keys[key] = true
	}
	var changes []FieldChange
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		if a[key] != b[key] {
			changes = append(changes, FieldChange{Field: key, Before: a[key], After: b[key]})
		}
	}
	return changes
}

// Flatten returns the values of a document as text, by dotted field path.
func Flatten(document Document) map[string]string {
	flat := make(map[string]string)
	data, err := json.Marshal(document)
	if err != nil {
		return flat
	}
	var value any
	err = json.Unmarshal(data, &value)
	if err == nil {
		flattenValue("", value, flat)
	}
	return flat
}

func flattenValue(path string, value any, flat map[string]string) {
	switch v := value.(type) {
	case map[string]any:
		for key, member := range v {
			flattenValue(joinPath(path, key), member, flat)
		}
	case []any:
		for i, element := range v {
			flattenValue(joinPath(path, fmt.Sprint(i)), element, flat)
		}
	default:
		flat[path] = fmt.Sprint(v)
	}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
