// Package route chooses the endpoint for one request among those that may
// take it.
package route

// Candidate is an endpoint with a free slot.
type Candidate struct {
	Endpoint string
	Zone     string
	Busy     int  // slots in use
	Limit    int  // slots it may use now
	Prefix   bool // likely to hold the request's prompt prefix
}

// Request is what the choice needs to know of a request.
type Request struct {
	Zone  string   // zone of the router that will connect
	Avoid []string // endpoints that failed it before
}

// Choose returns the index of the best candidate: not to be avoided, then
// same zone, then prefix held, then least load; the first among equals.
// It returns -1 if there is none.
func Choose(req Request, candidates []Candidate) int {
	best := -1
	for i := range candidates {
		if avoided(req, candidates[i].Endpoint) {
			continue
		}
		if best < 0 || better(req, candidates[i], candidates[best]) {
			best = i
		}
	}
	return best
}

func better(req Request, a, b Candidate) bool {
	if near, far := a.Zone == req.Zone, b.Zone == req.Zone; near != far {
		return near
	}
	if a.Prefix != b.Prefix {
		return a.Prefix
	}
	return a.Busy*b.Limit < b.Busy*a.Limit
}

func avoided(req Request, endpoint string) bool {
	for _, name := range req.Avoid {
		if name == endpoint {
			return true
		}
	}
	return false
}
