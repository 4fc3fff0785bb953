package indexer

import "github.com/rhubarbpost/rhubarbpost/pkg/protocol/messenger"

// Indexer holds the backend servers of one service; an index is never reassigned to another server.
type Indexer struct {
	servers []messenger.Server
	index   map[string]int
}

// New returns an Indexer without servers.
func New() *Indexer {
	return &Indexer{index: make(map[string]int)}
}

// Apply stores the registration of a server and returns its index.
func (x *Indexer) Apply(server messenger.Server) int {
	i, ok := x.index[server.ID]
	if ok {
		x.servers[i] = server
		return i
	}
	i = len(x.servers)
	x.servers = append(x.servers, server)
	x.index[server.ID] = i
	return i
}

// Index returns the index of the server with an id, or false if it was never listed.
func (x *Indexer) Index(id string) (int, bool) {
	i, ok := x.index[id]
	return i, ok
}

// At returns the last registration of the server with an index.
func (x *Indexer) At(i int) messenger.Server {
	return x.servers[i]
}

// Len returns the number of servers ever listed.
func (x *Indexer) Len() int {
	return len(x.servers)
}
