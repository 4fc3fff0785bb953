// Package budgeter divides what a process may use among its clients and its own needs.
package budgeter
