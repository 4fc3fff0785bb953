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
)

var (
	portMu sync.Mutex
	// nextPort starts at an offset by process, so that test processes that run
	// concurrently use different blocks.
	nextPort = firstPort + (os.Getpid()%50)*portBlock
)

// freeBlock returns the first port of an unused block. It takes a block as unused if its
// second port is free, which is the first that package layouter allocates.
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
		var sockets net.ListenConfig
		socket, err := sockets.Listen(context.Background(), "tcp", fmt.Sprintf("127.0.0.1:%d", port+1))
		if err == nil {
			_ = socket.Close()
			return port
		}
	}
	t.Fatal("no free block of ports")
	return 0
}
