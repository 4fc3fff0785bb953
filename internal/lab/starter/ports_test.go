package starter

import (
	"testing"

	"github.com/matryer/is"
)

// TestBlocksOfPortsAreNotSharedByProcesses takes the same blocks as a test process that runs beside this one.
func TestBlocksOfPortsAreNotSharedByProcesses(t *testing.T) {
	is := is.New(t)
	portMu.Lock()
	start := nextPort
	portMu.Unlock()
	taken := map[int]bool{}
	for range 5 {
		taken[freeBlock(t)] = true
	}
	portMu.Lock()
	nextPort = start
	portMu.Unlock()
	for range 5 {
		port := freeBlock(t)
		is.True(!taken[port])
		is.True(port+portBlock <= firstFixedPort || port >= lastFixedPort)
	}
}
