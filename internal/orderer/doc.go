// Package orderer runs the orders of one service. Each order runs at most once
// and ends as done, not run or unknown.
//
// An entry is a process that serves callers; each runs one engine per order service.
package orderer
