package signer

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/ticketer"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
)

var ticket = ticketer.Ticket{ID: "1", Service: "s", Home: "127.0.0.1:1", Incarnation: 7, Expires: time.Unix(1_800_000_000, 0)}

func TestKeyRotation(t *testing.T) {
	is := is.New(t)
	before, during, after := New([]string{"old-key-old-key-"}), New([]string{"new-key-new-key-", "old-key-old-key-"}), New([]string{"new-key-new-key-"})
	text, err := before.Sign(ticket)
	is.NoErr(err)
	verified, err := during.Verify(text)
	is.NoErr(err)
	is.Equal(verified, ticket)
	_, err = after.Verify(text)
	is.Equal(classifier.CodeOf(err, 0), classifier.TicketInvalid)
}

func TestUnsignedTicketIsInvalid(t *testing.T) {
	is := is.New(t)
	s := New([]string{"key-key-key-key-"})
	text, err := s.Sign(ticket)
	is.NoErr(err)
	parts := strings.Split(text, ".")
	// {"alg":"none"} with the same claims and no signature.
	_, err = s.Verify("eyJhbGciOiJub25lIn0." + parts[1] + ".")
	is.Equal(classifier.CodeOf(err, 0), classifier.TicketInvalid)
}

// FuzzVerify verifies arbitrary text: only the token of a signed ticket may be accepted.
func FuzzVerify(f *testing.F) {
	s := New([]string{"key-key-key-key-"})
	text, err := s.Sign(ticket)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Add("a.b.c")
	f.Fuzz(func(t *testing.T, text string) {
		verified, err := s.Verify(text)
		if err == nil && verified != ticket {
			t.Fatalf("accepted a ticket that was never signed: %+v", verified)
		}
	})
}
