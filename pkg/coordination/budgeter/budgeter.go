package budgeter

// Use is what memory is held for.
type Use int

// The uses of memory, those that are refused first in front.
const (
	// Heads are the parsed heads of requests, as far as they are large.
	Heads Use = iota
	// Bodies are the bodies of clients' requests, as far as they are large.
	Bodies
	// Requests are requests in flight with their attempts.
	Requests
	// Answers are answers of servers, as far as they are large, until they are written.
	Answers
)

// uses is the number of uses.
const uses = 4

// String returns the name of the use.
func (u Use) String() string {
	return [...]string{"heads", "bodies", "requests", "answers"}[u]
}

const (
	// freeShare is the fraction of a host's memory that is available to the process at all; the
	// rest is for garbage and for what the kernel holds. ownBytes of it are what a host takes
	// without any client.
	freeShare = 0.75
	ownBytes  = 32 << 20
	// minShare is the least fraction of the memory for clients, at hosts with very little.
	minShare = 0.25
	// connectionShare is the fraction of that for connections; the account has the rest.
	connectionShare = 0.375
	// newShare and requestShare are the fractions of the account up to which clients may send
	// more and requests may begin. What lies beyond is left for what has begun.
	newShare     = 0.5
	requestShare = 0.75
	// ConnectionBytes is the memory that an open connection of a client takes: its buffers, its
	// goroutine and ReceiveBufferBytes.
	ConnectionBytes = 34 << 10
	// ReceiveBufferBytes bounds the bytes of a connection that the kernel has received and the
	// process hasn't read.
	ReceiveBufferBytes = 16 << 10
	// RequestBytes is the memory that a request in flight takes, with a small head and a small
	// body.
	RequestBytes = 16 << 10
	// SubRequestBytes is the memory that each of its sub-requests takes.
	SubRequestBytes = 20 << 10
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

// Account counts the memory in bytes that clients make a host hold, beside their connections.
type Account struct {
	limit   int64
	used    int64
	byUse   [uses]int64
	refused [uses]uint64
}

// NewAccount returns the account of a machine. Without a known memory it counts and has no bound.
func NewAccount(m Machine) *Account {
	return &Account{limit: int64((1 - connectionShare) * float64(m.clientBytes()))}
}

// Limit returns the memory in bytes up to which a use is granted, 0 for no bound.
func (a *Account) Limit(use Use) int64 {
	share := 1.0
	switch use {
	case Heads, Bodies:
		share = newShare
	case Requests:
		share = requestShare
	case Answers:
	}
	return int64(share * float64(a.limit))
}

// Take counts an amount for a use until Give takes it back, or reports that there is no room. The
// only holder of a use always gets room, so that a single request may be larger than its share.
func (a *Account) Take(use Use, amount int64) bool {
	if a.limit > 0 && a.used+amount > a.Limit(use) && a.byUse[use] > 0 {
		a.refused[use]++
		return false
	}
	a.used += amount
	a.byUse[use] += amount
	return true
}

// Give takes back an amount that Take has counted.
func (a *Account) Give(use Use, amount int64) {
	a.used -= amount
	a.byUse[use] -= amount
}

// Used returns the memory in bytes that counts for a use.
func (a *Account) Used(use Use) int64 { return a.byUse[use] }

// Refused returns how often there was no room for a use.
func (a *Account) Refused(use Use) uint64 { return a.refused[use] }

// Uses returns all uses.
func Uses() []Use { return []Use{Heads, Bodies, Requests, Answers} }
