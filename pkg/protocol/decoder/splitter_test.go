package decoder

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestPartsOfAnyDepthAreSplit(t *testing.T) {
	is := is.New(t)
	deep := strings.Repeat("[", 500_000) + strings.Repeat("]", 500_000)
	elements, err := Elements([]byte(` [1, "a,]\"", {"b":[2,{"c":"}"}]} ,` + deep + `, 1e999,null] `))
	is.NoErr(err)
	var texts []string
	for _, element := range elements {
		texts = append(texts, string(element))
	}
	is.Equal(texts, []string{"1", `"a,]\""`, `{"b":[2,{"c":"}"}]}`, deep, "1e999", "null"})
	members, err := Members([]byte(`{"a" : {"b":"x:y,"}, "c":` + deep + `,"a":[ 2 ],"d\n":""}`))
	is.NoErr(err)
	is.Equal(len(members), 3)
	is.Equal(string(members["a"]), "[ 2 ]")
	is.Equal(len(members["c"]), len(deep))
	is.Equal(string(members["d\n"]), `""`)
	for _, empty := range []string{"[]", " [ ] "} {
		elements, err = Elements([]byte(empty))
		is.NoErr(err)
		is.Equal(len(elements), 0)
	}
}

func TestUnfinishedValuesAreErrors(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{"", "[", "[1", `["a`, "[1,]", "[,1]", "[1]]", "{}", "[1}", `["a\`, "[[]"} {
		_, err := Elements([]byte(text))
		is.True(err != nil)
	}
	for _, text := range []string{"", "{", `{"a"}`, `{"a":}`, `{"a":1,}`, `{1:2}`, `{"a" 1}`, "[]", `{"a":1}x`} {
		_, err := Members([]byte(text))
		is.True(err != nil)
	}
}

// FuzzSplit checks that what encoding/json can decode is split alike, and that anything else
// doesn't panic.
func FuzzSplit(f *testing.F) {
	for _, seed := range []string{`[1,"a",{"b":[]}]`, `{"a":1,"b":{"c":[2]}}`, `["\u0022]",[[[]]]]`, `{"a":"}","a":2}`, "[", `{"\`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		elements, elementsErr := Elements(data)
		members, membersErr := Members(data)
		var list []json.RawMessage
		if json.Unmarshal(data, &list) == nil && list != nil {
			if elementsErr != nil || len(elements) != len(list) {
				t.Fatalf("%d elements, error %v, not %d", len(elements), elementsErr, len(list))
			}
			for i := range list {
				if string(elements[i]) != string(list[i]) {
					t.Fatalf("element %q, not %q", elements[i], list[i])
				}
			}
		}
		var object map[string]json.RawMessage
		if json.Unmarshal(data, &object) == nil && object != nil {
			if membersErr != nil || len(members) != len(object) {
				t.Fatalf("%d members, error %v, not %d", len(members), membersErr, len(object))
			}
			for name := range object {
				if string(members[name]) != string(object[name]) {
					t.Fatalf("member %q is %q, not %q", name, members[name], object[name])
				}
			}
		}
	})
}
