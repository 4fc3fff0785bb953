package decoder

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/messenger"
)

func TestBodyLimit(t *testing.T) {
	is := is.New(t)
	_, err := Body[map[string]string](strings.NewReader(`{"a":"bcdef"}`), 5)
	is.True(errors.Is(err, ErrTooLarge))
}

// FuzzBody decodes arbitrary bytes as the answer of a backend server.
func FuzzBody(f *testing.F) {
	f.Add([]byte(`{"requestId":"r","attempt":1,"rows":[1],"rowCount":1,"server":{"holdings":[{"shard":-1}]}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		answer, err := Body[messenger.SubAnswer](bytes.NewReader(data), 1<<20)
		if err == nil && len(answer.Rows) > len(data) {
			t.Fatal("more rows than bytes")
		}
	})
}

type inner struct {
	Length Duration `json:"length"`
}

type outer struct {
	List []inner `json:"list"`
}

type embedding struct {
	inner

	Other outer `json:"other"`
}

// TestEmbeddedFieldsAreAllowed puts an unknown field after a field of an embedded
// struct: the error must name the unknown one.
func TestEmbeddedFieldsAreAllowed(t *testing.T) {
	is := is.New(t)
	_, err := Document[embedding]("f", []byte("{\n\"length\": \"1s\",\n\"other\": {\"lost\": 1}}"))
	var positionErr *PositionError
	is.True(errors.As(err, &positionErr))
	is.Equal(positionErr.Line, 3)
	is.Equal(positionErr.Field, "other.lost")
	is.Equal(positionErr.Allowed, "list")
}

func TestUnknownFieldErrorHasPosition(t *testing.T) {
	is := is.New(t)
	_, err := Document[outer]("f", []byte("{\n  // a comment\n  \"list\": [{\"lengthy\": \"1s\"}],\n}"))
	var positionErr *PositionError
	is.True(errors.As(err, &positionErr))
	is.Equal(positionErr.Line, 3)
	is.Equal(positionErr.Column, 13)
	is.Equal(positionErr.Field, "list[].lengthy")
	is.Equal(positionErr.Allowed, "length")
}

// FuzzDocument decodes arbitrary bytes as a document: the line of an error must lie
// within the document.
func FuzzDocument(f *testing.F) {
	f.Add([]byte("{\"list\": [{\"length\": 7}], }"))
	f.Add([]byte("{\"list\": [{\"lengthy\": 7}]}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := Document[outer]("f", data)
		var positionErr *PositionError
		if errors.As(err, &positionErr) && (positionErr.Line < 1 || positionErr.Line > bytes.Count(data, []byte("\n"))+2) {
			t.Fatalf("line %d of a document of %d", positionErr.Line, bytes.Count(data, []byte("\n"))+1)
		}
	})
}
