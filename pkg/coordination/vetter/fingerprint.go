package vetter

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
)

// fingerprintBytes is the length of a fingerprint, which makes collisions infeasible.
const fingerprintBytes = 16

// Fingerprint identifies what a request asks for: two requests have the same one only if all
// parts of their Identity are the same.
type Fingerprint [fingerprintBytes]byte

// Identity holds the parts of a request that servers see in each repetition of it.
type Identity struct {
	Method string
	// Host is the requested host name without a port.
	Host string
	// Target is the path and query as the caller sent them.
	Target string
	// Caller is what identifies the caller, such as its credentials; empty if nothing does.
	Caller string
	Body   []byte
}

// Fingerprint returns the fingerprint of a request.
func (i Identity) Fingerprint() Fingerprint {
	h := sha256.New()
	var length [8]byte
	for _, part := range [][]byte{[]byte(i.Method), []byte(i.Host), []byte(i.Target), []byte(i.Caller), i.Body} {
		// The lengths keep bytes from moving between adjacent parts.
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write(part)
	}
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}

// String returns the fingerprint in hexadecimal digits.
func (f Fingerprint) String() string {
	return hex.EncodeToString(f[:])
}

// MarshalText encodes the fingerprint in hexadecimal digits.
func (f Fingerprint) MarshalText() ([]byte, error) {
	return []byte(f.String()), nil
}

// UnmarshalText decodes a fingerprint; any other text is an error.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(fingerprintBytes) {
		return fmt.Errorf("a fingerprint has %d hexadecimal digits, not %d", hex.EncodedLen(fingerprintBytes), len(text))
	}
	_, err := hex.Decode(f[:], text)
	return err
}
