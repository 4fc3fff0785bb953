// Package generator is a load generator: it simulates callers behind the
// platform's balancer and summarizes the responses they got.
package generator
