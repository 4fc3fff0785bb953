package dispatcher

// actions collects the actions of one step in buffers that are reused by the
// next step. When a buffer grows, the pointers in list to its old array stay valid.
type actions struct {
	list    []Action
	sends   []Send
	cancels []Cancel
	settles []Settle
}

func (a *actions) reset() {
	a.list = a.list[:0]
	a.sends = a.sends[:0]
	a.cancels = a.cancels[:0]
	a.settles = a.settles[:0]
}

func (a *actions) send(action Send) {
	a.sends = append(a.sends, action)
	a.list = append(a.list, &a.sends[len(a.sends)-1])
}

func (a *actions) cancel(action Cancel) {
	a.cancels = append(a.cancels, action)
	a.list = append(a.list, &a.cancels[len(a.cancels)-1])
}

func (a *actions) settle(action Settle) {
	a.settles = append(a.settles, action)
	a.list = append(a.list, &a.settles[len(a.settles)-1])
}
