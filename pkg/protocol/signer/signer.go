package signer

import (
	"github.com/golang-jwt/jwt/v5"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/ticketer"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
)

// Signer signs with its first key and accepts signatures made with any of its keys,
// so that keys can be rotated.
type Signer struct {
	keys [][]byte
}

type claims struct {
	jwt.RegisteredClaims

	Home        string `json:"home"`
	Incarnation uint64 `json:"incarnation"`
}

// New returns a signer; the first key is used to sign.
func New(keys []string) *Signer {
	s := &Signer{}
	for _, key := range keys {
		s.keys = append(s.keys, []byte(key))
	}
	return s
}

// Sign returns the signed token of a ticket.
func (s *Signer) Sign(ticket ticketer.Ticket) (string, error) {
	token := jwt.NewWithClaims(jwt.SigningMethodHS256, claims{
		RegisteredClaims: jwt.RegisteredClaims{
			ID: ticket.ID, Subject: ticket.Service, ExpiresAt: jwt.NewNumericDate(ticket.Expires),
		},
		Home: ticket.Home, Incarnation: ticket.Incarnation,
	})
	return token.SignedString(s.keys[0])
}

// Verify verifies a token and returns its ticket, or a *classifier.Failure with code
// TicketInvalid. It does not check the expiry; the entry that issued the ticket does.
func (s *Signer) Verify(signed string) (ticketer.Ticket, error) {
	var parsed claims
	_, err := jwt.ParseWithClaims(signed, &parsed, s.verificationKeys,
		jwt.WithValidMethods([]string{jwt.SigningMethodHS256.Alg()}), jwt.WithoutClaimsValidation())
	if err != nil || parsed.ExpiresAt == nil {
		return ticketer.Ticket{}, classifier.NewFailure(classifier.TicketInvalid, "").WithCause(err)
	}
	return ticketer.Ticket{
		ID: parsed.ID, Service: parsed.Subject, Home: parsed.Home,
		Incarnation: parsed.Incarnation, Expires: parsed.ExpiresAt.Time,
	}, nil
}

func (s *Signer) verificationKeys(*jwt.Token) (any, error) {
	set := jwt.VerificationKeySet{}
	for _, key := range s.keys {
		set.Keys = append(set.Keys, key)
	}
	return set, nil
}
