package registrar

import "github.com/rhubarbpost/rhubarbpost/pkg/protocol/messenger"

// Registrar holds the backend servers of one service; an index is never reassigned to another server.
type Registrar struct {
	servers []messenger.Server
	index   map[string]int
}

// New returns a Registrar without servers.
func New() *Registrar {
	return &Registrar{index: make(map[string]int)}
}

// Apply stores the registration of a server and returns its index.
func (r *Registrar) Apply(server messenger.Server) int {
	i, ok := r.index[server.ID]
	if ok {
		r.servers[i] = server
		return i
	}
	i = len(r.servers)
	r.servers = append(r.servers, server)
	r.index[server.ID] = i
	return i
}

// Index returns the index of the server with an id, or false if it was never listed.
func (r *Registrar) Index(id string) (int, bool) {
	i, ok := r.index[id]
	return i, ok
}

// At returns the last registration of the server with an index.
func (r *Registrar) At(i int) messenger.Server {
	return r.servers[i]
}

// Len returns the number of servers ever listed.
func (r *Registrar) Len() int {
	return len(r.servers)
}
