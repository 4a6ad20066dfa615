package admission

import "time"

// crashPause is how long an endpoint that broke a connection or could not
// be reached receives nothing.
const crashPause = time.Second

// endpoint is the owner's knowledge of one endpoint.
type endpoint struct {
	cfg    Endpoint
	busy   int
	ramp   int       // slots proved bearable; 0: nothing proved
	paused time.Time // no new work before
}

func keep(old []*endpoint, cfg Endpoint) *endpoint {
	for _, e := range old {
		if e.cfg.Name == cfg.Name {
			e.cfg = cfg
			return e
		}
	}
	return &endpoint{cfg: cfg}
}

// limit is the number of slots that the endpoint bears now: the cold limit
// until completions prove more.
func (e *endpoint) limit(now time.Time) int {
	if now.Before(e.paused) {
		return 0
	}
	return min(e.cfg.Slots, max(e.cfg.ColdSlots, e.ramp))
}

// cold reports whether the endpoint is not proved to bear more than its cold
// limit.
func (e *endpoint) cold() bool { return e.ramp <= e.cfg.ColdSlots }

// learn raises the proved limit by one for each whole answer and drops it
// when the endpoint breaks.
func (e *endpoint) learn(now time.Time, o Outcome) {
	switch o {
	case Done:
		e.ramp = min(e.cfg.Slots, max(e.ramp, e.cfg.ColdSlots)+1)
	case Crashed, Unreachable:
		e.ramp = 0
		e.paused = now.Add(crashPause)
	}
}
