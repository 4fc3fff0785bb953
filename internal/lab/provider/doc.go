// Package provider simulates the platform's store in memory, with faults that are set at
// run time. Package standin serves it over HTTP.
package provider
