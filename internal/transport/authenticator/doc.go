// Package authenticator authenticates calls between the system's own processes
// by a shared key. During a key rotation two keys are accepted.
package authenticator
