// Package pacer raises the share of requests that a backend server gets after it has started or
// recovered, by how it answers.
package pacer
