package memory

// Scope collects the reservations of one request. It is not safe for concurrent use.
type Scope struct {
	Budget *Budget

	all []*Reservation
}

// Reserve is Budget.Reserve for a reservation that Release releases.
func (s *Scope) Reserve(c Class, holder string, free int64) *Reservation {
	r := s.Budget.Reserve(c, holder, free)
	s.all = append(s.all, r)
	return r
}

// Release releases all reservations. The caller must have dropped the memory.
func (s *Scope) Release() {
	for _, r := range s.all {
		r.Release()
	}
}
