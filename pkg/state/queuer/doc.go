// Package queuer provides a bounded queue that passes items from one goroutine to another.
package queuer
