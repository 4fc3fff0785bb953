package budgeter

import (
	"testing"

	"github.com/matryer/is"
)

// smallest is the smallest planned host.
var smallest = Machine{MemoryBytes: 136 << 20, Descriptors: 2870}

// TestSharesFitTheMachine checks that the parts of a machine don't exceed the whole.
func TestSharesFitTheMachine(t *testing.T) {
	is := is.New(t)
	for _, m := range []Machine{smallest, {MemoryBytes: 64 << 20, Descriptors: 800}, {MemoryBytes: 536 << 20, Descriptors: 8192}} {
		used, idle := m.MaxServerConnections()
		is.True(m.MaxConnections() > 0)
		is.True(m.MaxConnections()+used+idle < m.Descriptors-fileDescriptors)
		is.True(int64(m.MaxConnections())*ConnectionBytes <= m.MemoryBytes/4*3)
	}
	is.Equal(Machine{}.MaxConnections(), 0)
}
