// Package orderer runs the orders of one service. Each order runs at most once
// and ends as done, not run or unknown.
package orderer
