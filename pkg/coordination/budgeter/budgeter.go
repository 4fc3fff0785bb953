package budgeter

const (
	// freeShare is the fraction of a host's memory that is available to the process at all; the
	// rest is for garbage and for what the kernel holds. ownBytes of it are what a host takes
	// without any client.
	freeShare = 0.75
	ownBytes  = 32 << 20
	// minShare is the least fraction of the memory for clients, at hosts with very little.
	minShare = 0.25
	// connectionShare is the fraction of that for connections.
	connectionShare = 0.375
	// ConnectionBytes is the memory that an open connection of a client takes: its buffers, its
	// goroutine and bytes that it hasn't read.
	ConnectionBytes = 34 << 10
	// fileDescriptors is the number of descriptors that a host may use for files only.
	fileDescriptors = 200
	// clientDescriptorShare is the fraction of a host's sockets for clients; what neither they nor
	// backend servers get is for the store, other hosts, readiness and metrics.
	clientDescriptorShare = 1.0 / 3
	// serverDescriptorShare is the fraction of them for connections to backend servers.
	serverDescriptorShare = 0.6
	// idleShare is the fraction of the connections to servers that may be idle.
	idleShare = 0.25
)

// Machine is what a process may use.
type Machine struct {
	// MemoryBytes and Descriptors are 0 if they are not known, and bound nothing then.
	MemoryBytes int64
	Descriptors int
}

// clientBytes returns the memory for all that clients make the host hold.
func (m Machine) clientBytes() int64 {
	memory := float64(m.MemoryBytes)
	return int64(max(freeShare*memory-ownBytes, minShare*memory))
}

// MaxConnections returns the number of clients' connections, 0 for no bound.
func (m Machine) MaxConnections() int {
	byMemory := int(connectionShare * float64(m.clientBytes()) / ConnectionBytes)
	byDescriptors := int(clientDescriptorShare * float64(m.sockets()))
	switch {
	case m.MemoryBytes == 0:
		return byDescriptors
	case m.Descriptors == 0:
		return byMemory
	}
	return min(byMemory, byDescriptors)
}

// MaxServerConnections returns the numbers of connections to backend servers that may be in use and
// idle, 0 for no bound.
func (m Machine) MaxServerConnections() (used, idle int) {
	all := serverDescriptorShare * float64(m.sockets())
	return int((1 - idleShare) * all), int(idleShare * all)
}

// sockets returns the number of descriptors for sockets, at least one if there is a bound.
func (m Machine) sockets() int {
	if m.Descriptors == 0 {
		return 0
	}
	return max(m.Descriptors-fileDescriptors, 1)
}
