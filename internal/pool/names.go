package pool

// nameEncoder assigns numbers to the names that one side of a session sends,
// so that each name is transmitted only once.
type nameEncoder struct{ ids map[string]uint32 }

func newNameEncoder() *nameEncoder { return &nameEncoder{ids: map[string]uint32{}} }

// encode returns the number of a name. It appends a name that has not been sent
// before to added, which the message must carry. The empty name has number 0.
func (e *nameEncoder) encode(name string, added *[]string) uint32 {
	if name == "" {
		return 0
	}
	id, ok := e.ids[name]
	if !ok {
		id = uint32(len(e.ids) + 1)
		e.ids[name] = id
		*added = append(*added, name)
	}
	return id
}

// nameTable holds the names received from the other side, in the order of their
// numbers.
type nameTable []string

// lookup returns the name with the given number, or "" if there is none.
func (t nameTable) lookup(id uint32) string {
	if id == 0 || int(id) > len(t) {
		return ""
	}
	return t[id-1]
}
