package mesh

import (
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenwinch/cyclamenwinch/core/dispatch"
	"github.com/cyclamenwinch/cyclamenwinch/internal/peerpb"
	"github.com/cyclamenwinch/cyclamenwinch/internal/replica"
)

// Encodings of heartbeats. A router sends the compact one to peers that have said
// that they read it.
const (
	plainEncoding   = 0
	compactEncoding = 1
	// eraEncoding is the first one that names the store's era. Routers without it
	// know revisions only, and may hold records of any era.
	eraEncoding    = 2
	newestEncoding = eraEncoding
)

// errMalformed means that the lists of a compact message have different lengths.
var errMalformed = errors.New("lists of different lengths")

// encodeCompactReport adds a report to a heartbeat. Entries without a key are added
// as in the plain encoding.
func (m *Mesh) encodeCompactReport(b *peerpb.Beat, r dispatch.Report) {
	out, rest := &peerpb.CompactReport{}, r
	rest.Endpoints, rest.Accounts, rest.Placements = nil, nil, nil
	for _, e := range r.Endpoints {
		key, ok := m.names.key(e.Endpoint)
		if !ok {
			rest.Endpoints = append(rest.Endpoints, e)
			continue
		}
		out.Endpoints = append(out.Endpoints, key)
		out.Active = append(out.Active, toUint32(e.Active))
		out.Pending = append(out.Pending, toUint32(e.Pending))
		out.Resident = append(out.Resident, toUint32(e.Resident))
	}
	rest.Accounts = m.encodeCompactUse(out, r.Accounts)
	last := uint64(0)
	for _, p := range r.Placements {
		key, ok := m.names.key(p.Endpoint)
		if !ok {
			rest.Placements = append(rest.Placements, p)
			continue
		}
		out.Placed = append(out.Placed, key)
		out.Numbers = append(out.Numbers, p.Sequence-last)
		last = p.Sequence
		out.Fresh = append(out.Fresh, toUint32(p.NewTokens))
		out.PartCounts = append(out.PartCounts, toUint32(len(p.Parts)))
		out.Parts = append(out.Parts, p.Parts...)
	}
	b.Report = out
	b.Profiles = m.encodeProfiles(r.Profiles)
	encodeReport(b, rest)
}

// encodeCompactUse adds the use of accounts to a report and returns what has no key.
func (m *Mesh) encodeCompactUse(out *peerpb.CompactReport, accounts []dispatch.AccountReport) (rest []dispatch.AccountReport) {
	uses := map[string]*peerpb.CompactUse{}
	for _, a := range accounts {
		key, ok := m.names.key(a.Account)
		service, serviceOK := m.names.key(a.Service)
		if !ok || !serviceOK {
			rest = append(rest, a)
			continue
		}
		use := uses[a.Service]
		if use == nil {
			use = &peerpb.CompactUse{Service: service}
			uses[a.Service] = use
			out.Services = append(out.Services, use)
		}
		use.Accounts = append(use.Accounts, key)
		use.Asked = append(use.Asked, roundUp(a.Demand))
		use.Served = append(use.Served, roundUp(a.Granted))
	}
	return rest
}

func roundUp(cost float64) uint32 { return uint32(min(math.Ceil(max(cost, 0)), math.MaxUint32)) }

// decodeCompactReport adds a compact report to the rest of the report. Entries whose
// key is not known are left out.
func (m *Mesh) decodeCompactReport(r *dispatch.Report, c *peerpb.CompactReport) error {
	n := len(c.Endpoints)
	if len(c.Active) != n || len(c.Pending) != n || len(c.Resident) != n {
		return errors.Wrap(errMalformed, "loads")
	}
	r.Endpoints = slices.Grow(r.Endpoints, n)
	for i, key := range c.Endpoints {
		if id, ok := m.names.name(key); ok {
			r.Endpoints = append(r.Endpoints, dispatch.EndpointReport{Endpoint: id,
				Load: dispatch.Load{Active: int(c.Active[i]), Pending: int(c.Pending[i]), Resident: int(c.Resident[i])}})
		}
	}
	if err := m.decodeCompactUse(r, c.Services); err != nil {
		return err
	}
	return m.decodeCompactPlacements(r, c)
}

func (m *Mesh) decodeCompactUse(r *dispatch.Report, uses []*peerpb.CompactUse) error {
	for _, use := range uses {
		n := len(use.Accounts)
		if len(use.Asked) != n || len(use.Served) != n {
			return errors.Wrap(errMalformed, "usage")
		}
		service, ok := m.names.name(use.Service)
		if !ok {
			continue
		}
		for i, key := range use.Accounts {
			if account, ok := m.names.name(key); ok {
				r.Accounts = append(r.Accounts, dispatch.AccountReport{Service: service, Account: account, Demand: float64(use.Asked[i]), Granted: float64(use.Served[i])})
			}
		}
	}
	return nil
}

func (m *Mesh) decodeCompactPlacements(r *dispatch.Report, c *peerpb.CompactReport) error {
	n := len(c.Placed)
	if len(c.Numbers) != n || len(c.Fresh) != n || len(c.PartCounts) != n {
		return errors.Wrap(errMalformed, "placements")
	}
	parts, number := c.Parts, uint64(0)
	for i, key := range c.Placed {
		count := int(c.PartCounts[i])
		if count > len(parts) {
			return errors.Wrap(errMalformed, "parts of placements")
		}
		own := parts[:count:count]
		parts = parts[count:]
		number += c.Numbers[i]
		if id, ok := m.names.name(key); ok {
			r.Placements = append(r.Placements, dispatch.Placement{Sequence: number, Endpoint: id, Parts: own, NewTokens: int(c.Fresh[i])})
		}
	}
	return nil
}

// decodeBeatReport returns the report of a heartbeat in either encoding.
func (m *Mesh) decodeBeatReport(b *peerpb.Beat) (dispatch.Report, error) {
	r := decodeReport(b)
	if b.Report == nil {
		return r, nil
	}
	var err error
	if r.Profiles, err = m.decodeProfiles(b.Profiles); err != nil {
		return r, err
	}
	return r, m.decodeCompactReport(&r, b.Report)
}

// Bits of the states in CompactMembers.
const (
	memberReady = 1 << iota
	memberLeaving
	memberReading
)

func encodeMemberStates(members []member) *peerpb.CompactMembers {
	out, spare := &peerpb.CompactMembers{}, false
	for _, o := range members {
		state := uint32(0)
		if o.Ready {
			state |= memberReady
		}
		if o.Leaving {
			state |= memberLeaving
		}
		if o.Reading {
			state |= memberReading
		}
		out.Addresses = append(out.Addresses, o.Address)
		out.Incarnations = append(out.Incarnations, uint32(o.Incarnation))
		out.States = append(out.States, state)
		out.AgesMs = append(out.AgesMs, o.AgeMs)
		out.SpareCpu = append(out.SpareCpu, o.SpareCpu)
		spare = spare || o.SpareCpu > 0
	}
	if !spare {
		out.SpareCpu = nil
	}
	return out
}

// mergeMemberStates applies what a peer reports about routers that this router knows
// in the same incarnation. The caller holds the lock.
func (m *Mesh) mergeMemberStates(now time.Time, c *peerpb.CompactMembers) error {
	n := len(c.GetAddresses())
	if n == 0 {
		return nil
	}
	if len(c.Incarnations) != n || len(c.States) != n || len(c.AgesMs) != n || len(c.SpareCpu) != n && len(c.SpareCpu) != 0 {
		return errors.Wrap(errMalformed, "members")
	}
	for i, packed := range c.Addresses {
		p := m.peers[unpackIPv4(packed)]
		heard := now.Add(-time.Duration(c.AgesMs[i]) * time.Millisecond)
		if p == nil || p.Name == "" || uint32(p.Incarnation) != c.Incarnations[i] || heard.Before(p.LastHeard) {
			continue
		}
		s, spare := c.States[i], uint32(0)
		if len(c.SpareCpu) > 0 {
			spare = c.SpareCpu[i]
		}
		m.updatePeer(p, heard, peerState{p.Name, p.CallerAddress, p.Zone, p.Incarnation, s&memberReady != 0, s&memberLeaving != 0, s&memberReading != 0, int(spare)})
	}
	return nil
}

// encodeCopies returns the revisions of this router's copies.
func encodeCopies(positions map[replica.Kind]replica.Position) []uint64 {
	kinds := reportedKinds(positions)
	out := make([]uint64, len(kinds))
	for i, kind := range kinds {
		if at, ok := positions[kind]; ok {
			out[i] = uint64(at.Revision) + 1
		}
	}
	return out
}

// reportedKinds returns the collections whose positions a heartbeat names: those that
// all routers follow, and further ones only if there is a copy.
func reportedKinds(positions map[replica.Kind]replica.Position) []replica.Kind {
	if _, ok := positions[replica.Rollouts]; ok {
		return replica.AllKinds
	}
	return replica.Kinds
}

// encodeEras returns the eras of this router's copies, or nothing if all are 0.
func encodeEras(positions map[replica.Kind]replica.Position) []uint64 {
	kinds := reportedKinds(positions)
	out := make([]uint64, len(kinds))
	for i, kind := range kinds {
		out[i] = uint64(positions[kind].Era)
	}
	if slices.Max(out) == 0 {
		return nil
	}
	return out
}

// decodePositions returns the positions of a peer's copies, in any encoding.
func decodePositions(b *peerpb.Beat) map[replica.Kind]replica.Position {
	out := make(map[replica.Kind]replica.Position, len(replica.AllKinds))
	for i, kind := range replica.AllKinds {
		var at replica.Position
		if i < len(b.Eras) {
			if b.Eras[i] > replica.MaxEra {
				heartbeatsInvalid.Inc()
				continue
			}
			at.Era = int64(b.Eras[i])
		}
		if i < len(b.Copies) && b.Copies[i] > 0 {
			at.Revision = int64(b.Copies[i] - 1)
			out[kind] = at
		} else if revision, ok := b.Revisions[string(kind)]; ok {
			at.Revision = revision
			out[kind] = at
		}
	}
	return out
}
