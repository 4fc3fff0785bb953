// Package standin plays the prepared platform on loopback: its store over HTTP
// and its backend servers, with the faults that tests ask for.
package standin
