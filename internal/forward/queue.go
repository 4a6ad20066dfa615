package forward

// queue holds connections in the order in which they are due.
type queue struct {
	all  []*conn
	head int
}

func (q *queue) push(cn *conn) { q.all = append(q.all, cn) }

// first returns the first connection, or nil.
func (q *queue) first() *conn {
	if q.head == len(q.all) {
		q.all, q.head = q.all[:0], 0
		return nil
	}
	return q.all[q.head]
}

func (q *queue) pop() {
	q.all[q.head] = nil
	q.head++
	if q.head >= 1024 && 2*q.head >= len(q.all) {
		q.all, q.head = append(q.all[:0], q.all[q.head:]...), 0
	}
}
