// Package standin simulates the platform on loopback, its store over HTTP and its
// backend servers, with faults that tests inject.
package standin
