package decoder

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

// location is the path and byte offset of an unknown member, with the names allowed
// there; ok is false if no unknown member was found.
type location struct {
	path    string
	offset  int
	allowed []string
	ok      bool
}

// findUnknown returns the location of the first member of a document for which the type
// root has no field. If it finds none, it returns a location with name as the path.
func findUnknown(plain []byte, root reflect.Type, name string) location {
	value, err := hujson.Parse(plain)
	if err != nil {
		return location{path: name}
	}
	found := walk(value, root, "")
	if !found.ok {
		found.path = name
	}
	return found
}

func walk(value hujson.Value, t reflect.Type, path string) location {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch v := value.Value.(type) {
	case *hujson.Object:
		return walkObject(v, t, path)
	case *hujson.Array:
		return walkArray(v, t, path)
	}
	return location{}
}

func walkObject(object *hujson.Object, t reflect.Type, path string) location {
	fields := fieldTypesOf(t)
	for _, member := range object.Members {
		name := member.Name.Value.(hujson.Literal).String()
		memberPath := strings.TrimPrefix(path+"."+name, ".")
		fieldType, ok := fieldTypeOf(t, fields, name)
		if !ok {
			return location{path: memberPath, offset: member.Name.StartOffset, allowed: memberNames(t), ok: true}
		}
		if fieldType == nil {
			continue
		}
		found := walk(member.Value, fieldType, memberPath)
		if found.ok {
			return found
		}
	}
	return location{}
}

func walkArray(array *hujson.Array, t reflect.Type, path string) location {
	if t.Kind() != reflect.Slice {
		return location{}
	}
	for _, element := range array.Elements {
		found := walk(element, t.Elem(), path+"[]")
		if found.ok {
			return found
		}
	}
	return location{}
}

func fieldTypeOf(t reflect.Type, fields map[string]reflect.Type, name string) (reflect.Type, bool) {
	switch t.Kind() {
	case reflect.Map:
		return t.Elem(), true
	case reflect.Struct:
		fieldType, ok := fields[strings.ToLower(name)]
		return fieldType, ok
	default:
		return nil, true
	}
}

func fieldTypesOf(t reflect.Type) map[string]reflect.Type {
	fields := make(map[string]reflect.Type)
	if t.Kind() != reflect.Struct {
		return fields
	}
	for _, field := range membersOf(t) {
		fields[strings.ToLower(tagName(field))] = field.Type
	}
	return fields
}

func memberNames(t reflect.Type) []string {
	members := membersOf(t)
	list := make([]string, len(members))
	for i, field := range members {
		list[i] = tagName(field)
	}
	return list
}

// membersOf returns the struct fields that are members of the JSON object, including
// the promoted fields of embedded structs.
func membersOf(t reflect.Type) []reflect.StructField {
	var members []reflect.StructField
	for _, field := range reflect.VisibleFields(t) {
		if !field.Anonymous || field.Tag.Get("json") != "" {
			members = append(members, field)
		}
	}
	return members
}

func tagName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	if name == "" {
		return field.Name
	}
	return name
}

// Locate returns the line and column of a field, or of its nearest ancestor in the
// document; the path consists of member names and array indexes. For a document that
// can't be parsed, it returns 1, 1.
func Locate(data []byte, path ...any) (line, column int) {
	value, err := hujson.Parse(data)
	if err != nil {
		return 1, 1
	}
	offset := value.StartOffset
	for _, step := range path {
		next, nextOffset, ok := descend(value, step)
		if !ok {
			break
		}
		value, offset = next, nextOffset
	}
	return Position(data, offset)
}

func descend(value hujson.Value, step any) (next hujson.Value, offset int, ok bool) {
	switch v := value.Value.(type) {
	case *hujson.Object:
		for _, member := range v.Members {
			if member.Name.Value.(hujson.Literal).String() == step {
				return member.Value, member.Name.StartOffset, true
			}
		}
	case *hujson.Array:
		n, isNumber := step.(int)
		if isNumber && n < len(v.Elements) {
			return v.Elements[n], v.Elements[n].StartOffset, true
		}
	}
	return value, 0, false
}

// FieldPath returns the path of a field, joined with dots.
func FieldPath(path ...any) string {
	parts := make([]string, len(path))
	for i, step := range path {
		parts[i] = fmt.Sprint(step)
	}
	return strings.Join(parts, ".")
}
