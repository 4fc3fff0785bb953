// Command stage runs the scripted cases of the review: it starts hosts as separate processes
// beside stand-ins for the store, the backend servers and the callers, all on loopback, and
// judges what callers and servers see.
package main
