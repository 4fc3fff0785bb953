package budgeter

import (
	"testing"

	"github.com/matryer/is"
)

// smallest is the smallest planned host.
var smallest = Machine{MemoryBytes: 136 << 20, Descriptors: 2870}

// TestWhatHasBegunKeepsItsShare fills the account by one use after another: clients can't send so
// much that no request begins, and requests can't take the room of answers.
func TestWhatHasBegunKeepsItsShare(t *testing.T) {
	is := is.New(t)
	a := NewAccount(smallest)
	const piece = 64 << 10
	taken := make(map[Use]int)
	for _, use := range Uses() {
		for a.Take(use, piece) {
			taken[use]++
		}
		is.True(taken[use] > 0)
		is.Equal(a.Refused(use), uint64(1))
	}
	is.Equal(taken[Bodies], 1) // the only holder of a use gets room
	is.True(taken[Requests] > taken[Heads]/4)
	for use, n := range taken {
		a.Give(use, int64(n)*piece)
		is.Equal(a.Used(use), int64(0))
	}
	is.True(a.Take(Heads, a.Limit(Heads)))
	is.True(!a.Take(Heads, 1))
}

// TestASingleRequestMayBeLarger checks that a request over very many shards runs alone.
func TestASingleRequestMayBeLarger(t *testing.T) {
	is := is.New(t)
	a := NewAccount(Machine{MemoryBytes: 64 << 20})
	huge := a.Limit(Answers) + 1
	is.True(a.Take(Requests, huge))
	is.True(!a.Take(Requests, 1))
	a.Give(Requests, huge)
	is.True(a.Take(Requests, 1))
}

// TestSharesFitTheMachine checks that the parts of a machine don't exceed the whole.
func TestSharesFitTheMachine(t *testing.T) {
	is := is.New(t)
	for _, m := range []Machine{smallest, {MemoryBytes: 64 << 20, Descriptors: 800}, {MemoryBytes: 536 << 20, Descriptors: 8192}} {
		used, idle := m.MaxServerConnections()
		is.True(m.MaxConnections() > 0)
		is.True(m.MaxConnections()+used+idle < m.Descriptors-fileDescriptors)
		is.True(int64(m.MaxConnections())*ConnectionBytes+NewAccount(m).Limit(Answers) <= m.MemoryBytes/4*3)
		// Each connection may have a request.
		is.True(NewAccount(m).Limit(Requests)/(RequestBytes+SubRequestBytes) >= int64(m.MaxConnections())*9/10)
	}
	is.Equal(Machine{}.MaxConnections(), 0)
	is.True(NewAccount(Machine{}).Take(Requests, 1<<40))
}
