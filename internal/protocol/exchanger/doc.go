// Package exchanger holds the messages between the system's own processes,
// generated from exchanger.proto, and converts objects to and from their wire form.
package exchanger
