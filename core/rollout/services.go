package rollout

import "time"

// Service is what is known of the versions of one service.
type Service struct {
	Current *Rollout // nil: none
	only    string   // version that the last completed roll-out has left; empty: any
	banned  map[string]bool
	era     int64 // of the store in which Current was last seen
	means   map[string]*means
}

// Services holds the services whose versions are followed. The zero value holds none.
type Services struct {
	byName    map[string]*Service
	withdrawn []*Rollout // not yet returned by Changes
	loaded    bool       // the orders have been read before
}

// Change describes a roll-out whose stage has changed.
type Change struct {
	Order
	Stage          Stage
	Reason         string
	Withdrawn      bool // the operator has removed the order
	Age            time.Duration
	Requests, Sent int // of this router: for the service, and of these to the target
	Old, New       Counts
}

func (r *Rollout) change(now time.Time) Change {
	c := Change{Order: r.Order, Stage: r.Stage, Reason: r.Reason, Age: r.Age(now), Requests: r.requests, Sent: r.sent}
	c.Old, c.New = r.Sums()
	return c
}

// Changes returns the roll-outs whose stage has changed since the last call.
func (s *Services) Changes(now time.Time) (out []Change) {
	for _, r := range s.withdrawn {
		c := r.change(now)
		c.Withdrawn = true
		out = append(out, c)
	}
	s.withdrawn = nil
	s.All(func(service *Service) {
		if r := service.Current; r.Stage != r.reported {
			r.reported = r.Stage
			out = append(out, r.change(now))
		}
	})
	return out
}

// Get returns a service, or nil if it was not added and never had a roll-out.
func (s *Services) Get(service string) *Service { return s.byName[service] }

// Add returns a service, and adds it if necessary.
func (s *Services) Add(service string) *Service {
	if s.byName == nil {
		s.byName = map[string]*Service{}
	}
	if s.byName[service] == nil {
		s.byName[service] = &Service{banned: map[string]bool{}, means: map[string]*means{}}
	}
	return s.byName[service]
}

// All calls visit for each service that has a roll-out.
func (s *Services) All(visit func(*Service)) {
	for _, service := range s.byName {
		if service.Current != nil {
			visit(service)
		}
	}
}

// Set applies the orders that the store holds in an era.
func (s *Services) Set(now time.Time, era int64, orders []Order, l Limits) {
	listed := map[string]bool{}
	for _, o := range orders {
		listed[o.Service] = true
		s.SetOrder(now, era, o, l)
	}
	s.loaded = true
	for name, service := range s.byName {
		// An order that a restored store lacks is not withdrawn.
		if r := service.Current; r != nil && !listed[name] && service.era == era {
			service.retire(r)
			service.Current = nil
			s.withdrawn = append(s.withdrawn, r)
		}
	}
}

// SetOrder applies one order.
func (s *Services) SetOrder(now time.Time, era int64, o Order, l Limits) {
	service := s.Add(o.Service)
	current := service.Current
	if era < service.era {
		return // of the store before it was restored
	}
	restored := era > service.era
	service.era = max(era, service.era)
	switch {
	case current != nil && !restored && o.Revision < current.Revision: // a delayed copy
		return
	case current != nil && current.Target == o.Target && (current.Created == o.Created || restored):
		current.setStored(now, o)
		return
	case current != nil:
		service.retire(current)
	default:
		service.retireStored(o)
	}
	delete(service.banned, o.Target)
	service.Current = newRollout(now, o, l, s.loaded)
	if service.only == o.Target && service.Current.Stage == Canary {
		service.Current.advance(now, Draining, "in force already")
	}
}

// retire keeps what the end of a roll-out says about versions. The target of one that
// did not end is not trusted.
func (s *Service) retire(r *Rollout) {
	if r.Stage == Completed {
		s.only = r.Target
		clear(s.banned)
		return
	}
	s.banned[r.Target] = true
}

// retireStored does the same for an order that the operator has changed before this
// router saw it.
func (s *Service) retireStored(o Order) {
	switch {
	case o.Status.Target == "" || o.Status.Target == o.Target:
	case o.Status.State == CompletedState:
		s.only = o.Status.Target
	default:
		s.banned[o.Status.Target] = true
	}
}

// Allows reports whether a request may run at an endpoint. onTarget says that the request
// uses the exposure, or the share of a trusted version.
func (s *Service) Allows(version, endpoint string, onTarget bool) bool {
	r := s.Current
	switch {
	case r == nil:
		return !s.banned[version]
	case r.Stage == Draining || r.Stage == Completed:
		return version == r.Target
	case onTarget && r.Stage == Canary:
		return version == r.Target && r.canary[endpoint]
	case onTarget && r.Stage == Shifting:
		return version == r.Target
	}
	return version != r.Target && s.allowedBefore(version)
}

// allowedBefore reports whether a version was allowed before the order.
func (s *Service) allowedBefore(version string) bool {
	return !s.banned[version] && (s.only == "" || version == s.only)
}

// Main reports whether an endpoint of the version gets the requests that don't use the
// exposure.
func (s *Service) Main(version string) bool { return s.Allows(version, "", false) }
