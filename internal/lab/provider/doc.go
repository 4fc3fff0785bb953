// Package provider is the stand-in for the platform's store in memory, with
// faults that are set at run time; package standin serves it over HTTP.
package provider
