// Package budgeter bounds the memory that clients make a host hold, whatever they send: connections
// by their number, everything else by one account.
package budgeter
