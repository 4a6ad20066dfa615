package pool

// numbering gives the names that one side of a session sends their numbers.
type numbering struct{ numbers map[string]uint32 }

func newNumbering() *numbering { return &numbering{numbers: map[string]uint32{}} }

// number returns the name's number. A new name is added to those that the
// message must carry. The empty name is 0.
func (n *numbering) number(name string, carried *[]string) uint32 {
	if name == "" {
		return 0
	}
	number, ok := n.numbers[name]
	if !ok {
		number = uint32(len(n.numbers) + 1)
		n.numbers[name] = number
		*carried = append(*carried, name)
	}
	return number
}

// names are those that the other side has sent, in the order of their
// numbers.
type names []string

// name returns the name with a number, or the empty one.
func (n names) name(number uint32) string {
	if number == 0 || int(number) > len(n) {
		return ""
	}
	return n[number-1]
}
