// Package exiter defines the exit codes and the signal handling of all processes.
package exiter
