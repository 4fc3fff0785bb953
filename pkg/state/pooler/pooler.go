package pooler

// generationShift is the number of low bits of an id that hold the slot index; the
// generation is in the bits above.
const generationShift = 32

// Pool holds records of one type by id; no id is 0.
type Pool[T any] struct {
	slots []slot[T]
	free  []uint32
	used  int
}

type slot[T any] struct {
	generation uint32
	inUse      bool
	value      T
}

// New takes a free record and returns its id. The record is not cleared, so that its
// buffers can be reused.
func (p *Pool[T]) New() (uint64, *T) {
	index := p.take()
	s := &p.slots[index]
	s.generation++
	s.inUse = true
	p.used++
	return uint64(s.generation)<<generationShift | uint64(index), &s.value
}

func (p *Pool[T]) take() uint32 {
	last := len(p.free) - 1
	if last < 0 {
		p.slots = append(p.slots, slot[T]{})
		return uint32(len(p.slots) - 1)
	}
	index := p.free[last]
	p.free = p.free[:last]
	return index
}

// Get returns the record of an id, or nil if it has been freed. The pointer is valid
// until the next call of New.
func (p *Pool[T]) Get(id uint64) *T {
	index := uint32(id)
	if int(index) >= len(p.slots) {
		return nil
	}
	s := &p.slots[index]
	if !s.inUse || s.generation != uint32(id>>generationShift) {
		return nil
	}
	return &s.value
}

// Free returns the record of an id to the pool; a second call for the same id does nothing.
func (p *Pool[T]) Free(id uint64) {
	if p.Get(id) == nil {
		return
	}
	index := uint32(id)
	p.slots[index].inUse = false
	p.free = append(p.free, index)
	p.used--
}

// Len returns the number of records in use.
func (p *Pool[T]) Len() int {
	return p.used
}
