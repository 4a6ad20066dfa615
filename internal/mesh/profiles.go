package mesh

import (
	"math"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenwinch/cyclamenwinch/core/dispatch"
	"github.com/cyclamenwinch/cyclamenwinch/internal/peerpb"
)

// Units per millisecond of the times in a heartbeat. Two bytes hold 2 s to the first
// event and 256 ms per token.
const (
	firstEventUnits = 8
	tokenTimeUnits  = 64
)

// encodeProfiles returns profiles as parallel lists, nil if there are none. Those of
// endpoints without a key are left out: they are in the records of few routers yet.
func (m *Mesh) encodeProfiles(profiles []dispatch.ProfileReport) *peerpb.CompactProfiles {
	var out *peerpb.CompactProfiles
	last := uint64(0)
	for _, p := range profiles {
		key, ok := m.names.key(p.Endpoint)
		if !ok {
			continue
		}
		if out == nil {
			out = &peerpb.CompactProfiles{}
		}
		out.Endpoints = append(out.Endpoints, key)
		out.Incarnations = append(out.Incarnations, p.Incarnation)
		out.Numbers = append(out.Numbers, p.Sequence-last)
		last = p.Sequence
		out.FirstEvents = append(out.FirstEvents, toUint32(p.FirstEvents))
		out.ReadTokens = append(out.ReadTokens, roundToUint32(p.ReadTokens))
		out.FirstEvent = append(out.FirstEvent, roundToUint32(p.FirstEventMs*firstEventUnits))
		out.TokenSamples = append(out.TokenSamples, toUint32(p.TokenSamples))
		out.TokenTime = append(out.TokenTime, roundToUint32(p.TokenMs*tokenTimeUnits))
		out.Active = append(out.Active, roundToUint32(p.Active))
	}
	return out
}

// roundToUint32 rounds a figure that is not 0 to at least 1.
func roundToUint32(x float64) uint32 {
	if x <= 0 {
		return 0
	}
	return uint32(min(max(math.Round(x), 1), math.MaxUint32))
}

// decodeProfiles returns the profiles of a heartbeat whose endpoints are known.
func (m *Mesh) decodeProfiles(c *peerpb.CompactProfiles) ([]dispatch.ProfileReport, error) {
	n := len(c.GetEndpoints())
	if n == 0 {
		return nil, nil
	}
	for _, length := range []int{len(c.Incarnations), len(c.Numbers), len(c.FirstEvents), len(c.ReadTokens), len(c.FirstEvent), len(c.TokenSamples), len(c.TokenTime), len(c.Active)} {
		if length != n {
			return nil, errors.Wrap(errMalformed, "profiles")
		}
	}
	out := make([]dispatch.ProfileReport, 0, n)
	number := uint64(0)
	for i, key := range c.Endpoints {
		number += c.Numbers[i]
		id, ok := m.names.name(key)
		if !ok {
			continue
		}
		out = append(out, dispatch.ProfileReport{Sequence: number, Endpoint: id, Incarnation: c.Incarnations[i],
			FirstEvents: int(c.FirstEvents[i]), ReadTokens: float64(c.ReadTokens[i]), FirstEventMs: float64(c.FirstEvent[i]) / firstEventUnits,
			TokenSamples: int(c.TokenSamples[i]), TokenMs: float64(c.TokenTime[i]) / tokenTimeUnits, Active: float64(c.Active[i])})
	}
	return out, nil
}
