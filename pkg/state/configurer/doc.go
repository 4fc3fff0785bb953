// Package configurer defines the configuration document of a service, the checker
// that all programs share, and the envelope in which a revision is stored.
package configurer
