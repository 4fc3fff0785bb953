// Package allotter divides the request rate that a backend server announces as its limit
// for all hosts together among these hosts, by their demand.
//
// For each server with a limit, one host allots tokens, each of which permits one
// request. The other hosts ask it for tokens while they have requests for the server. A
// Ledger is the asking side, of which each host has one, an Allotter the side that allots.
package allotter
