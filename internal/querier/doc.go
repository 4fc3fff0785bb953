// Package querier executes the queries of one service. A single goroutine feeds
// events to the state machines (gatherer, dispatcher, router) and executes the
// actions that they return.
package querier
