// Package classifier defines the numbered result codes, the outcome that each
// of them implies, and the error type that carries a code.
package classifier
