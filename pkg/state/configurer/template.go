package configurer

import (
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/decoder"
)

// Template returns a document with initial values for a new service, without its name.
func Template(kind Kind) Document {
	document := Document{
		Kind:        kind,
		Carrier:     CarrierHTTP1,
		Deadline:    decoder.NewDuration(time.Second),
		MaxDeadline: decoder.NewDuration(5 * time.Second),
		Connections: Connections{PerServer: 25, Reserve: 4, Hosts: 9},
		Admission: Admission{
			InitialLimit: 32, MinLimit: 4, MaxLimit: 512,
			QueueTarget: decoder.NewDuration(25 * time.Millisecond), CallerShare: 1,
		},
		Drain: Drain{Notice: decoder.NewDuration(2 * time.Second), Limit: decoder.NewDuration(30 * time.Second)},
	}
	if kind == KindQuery {
		document.Carrier = CarrierHTTP2
		document.Query = &Query{
			EarlyAnswer: EarlyAnswer{MinCoverage: 1, SoftDeadline: decoder.NewDuration(500 * time.Millisecond)},
			ExtraLoad:   ExtraLoad{Hedge: 0.05, Retry: 0.1},
			Placement:   PlacementOwner,
		}
		return document
	}
	document.Order = &Order{
		Policy: PolicyTicket, TicketLife: decoder.NewDuration(10 * time.Second), MaxTickets: 10_000,
		ClaimsPerSecond: 20, ClaimLife: decoder.NewDuration(24 * time.Hour),
	}
	return document
}

// WithClass returns a copy of the document with one more class.
func (d Document) WithClass(class Class) Document {
	d.Classes = append(slices.Clone(d.Classes), class)
	return d
}

var numberFields = numbersOf(reflect.TypeFor[Document]())

// IsNumber reports whether a field holds a number; name is the last element of its path.
func IsNumber(name string) bool {
	return numberFields[name]
}

// numbersOf returns the JSON names of all number fields of a type, at any depth.
func numbersOf(t reflect.Type) map[string]bool {
	found := make(map[string]bool)
	collectNumbers(t, found)
	return found
}

func collectNumbers(t reflect.Type, found map[string]bool) {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct || t == reflect.TypeFor[decoder.Duration]() {
		return
	}
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if f.Type.Kind() == reflect.Int || f.Type.Kind() == reflect.Float64 {
			found[name] = true
		}
		collectNumbers(f.Type, found)
	}
}
