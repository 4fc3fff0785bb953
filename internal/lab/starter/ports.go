package starter

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"testing"
)

const (
	// portBlock is the number of ports that one test may use.
	portBlock = 400
	// firstPort and lastPort keep the blocks below the ephemeral ports of the system.
	firstPort = 10_000
	lastPort  = 32_000
	// firstFixedPort and lastFixedPort bound the ports that the quickstart uses.
	firstFixedPort = 17_000
	lastFixedPort  = 18_000
)

var (
	portMu sync.Mutex
	// nextPort starts at an offset by process, so that test processes that run
	// concurrently use different blocks.
	nextPort = firstPort + (os.Getpid()%50)*portBlock
)

// freeBlock returns the first port of an unused block. It keeps the last port of the block
// open until the test ends, so that no other process takes the block.
func freeBlock(t testing.TB) int {
	t.Helper()
	portMu.Lock()
	defer portMu.Unlock()
	for range (lastPort - firstPort) / portBlock {
		port := nextPort
		nextPort += portBlock
		if nextPort+portBlock > lastPort {
			nextPort = firstPort
		}
		if port+portBlock > firstFixedPort && port < lastFixedPort {
			continue
		}
		var sockets net.ListenConfig
		socket, err := sockets.Listen(context.Background(), "tcp", fmt.Sprintf("127.0.0.1:%d", port+portBlock-1))
		if err == nil {
			t.Cleanup(func() { _ = socket.Close() })
			return port
		}
	}
	t.Fatal("no free block of ports")
	return 0
}
