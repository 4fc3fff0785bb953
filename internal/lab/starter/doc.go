// Package starter builds the programs once per test run and starts them as real
// processes. It is for tests only.
package starter
