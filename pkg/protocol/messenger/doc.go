// Package messenger defines the messages that callers, backend servers and
// entries exchange; front ends depend only on these types.
package messenger
