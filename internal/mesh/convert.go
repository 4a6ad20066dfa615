package mesh

import (
	"math"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/dispatch"
	"github.com/cyclamenwinch/cyclamenwinch/core/route"
	"github.com/cyclamenwinch/cyclamenwinch/internal/peerpb"
	"github.com/cyclamenwinch/cyclamenwinch/internal/replica"
)

func encodeReport(b *peerpb.Beat, r dispatch.Report) {
	for _, e := range r.Endpoints {
		b.Endpoints = append(b.Endpoints, &peerpb.EndpointLoad{
			Id: e.Endpoint, Active: toUint32(e.Active), Pending: toUint32(e.Pending), Resident: toUint32(e.Resident)})
	}
	for _, c := range r.Cold {
		b.Cold = append(b.Cold, &peerpb.ColdEndpoint{Id: c.Endpoint, Born: c.StartMillis, LeftMs: toUint32(int(c.Remaining / time.Millisecond))})
	}
	for _, p := range r.Placements {
		b.Placements = append(b.Placements, &peerpb.Placement{Number: p.Sequence, Id: p.Endpoint, Parts: p.Parts, Fresh: toUint32(p.NewTokens)})
	}
	for _, c := range r.Crashes {
		b.Crashes = append(b.Crashes, &peerpb.EndpointCrash{Fingerprint: c.Fingerprint, Id: c.Endpoint, AgeMs: toUint32(int(c.Age / time.Millisecond))})
	}
	for _, c := range r.PartCrashes {
		b.PartCrashes = append(b.PartCrashes, &peerpb.PartCrash{Part: c.Part, Endpoint: c.Endpoint, AgeMs: toUint32(int(c.Age / time.Millisecond))})
	}
	for _, p := range r.SoundParts {
		b.SoundParts = append(b.SoundParts, &peerpb.SoundPart{Part: p.Part, AgeMs: toUint32(int(p.Age / time.Millisecond))})
	}
	b.Rollouts = encodeRollouts(r.Rollouts)
	for _, a := range r.Accounts {
		b.Accounts = append(b.Accounts, &peerpb.AccountUse{Service: a.Service, Account: a.Account, Asked: float32(a.Demand), Served: float32(a.Granted)})
	}
}

func toUint32(n int) uint32 { return uint32(max(n, 0)) }

// maxColdRemaining bounds how long a peer can make an endpoint count as cold.
const maxColdRemaining = 10 * time.Minute

// isCost reports whether a peer's figure can be added to a sum and subtracted again.
func isCost(x float32) bool { return x >= 0 && x <= math.MaxUint32 }

func decodeReport(b *peerpb.Beat) dispatch.Report {
	r := dispatch.Report{Incarnation: b.Incarnation, Rollouts: decodeRollouts(b.Rollouts)}
	for _, c := range b.PartCrashes {
		r.PartCrashes = append(r.PartCrashes, route.PartCrash{Part: c.Part, Endpoint: c.Endpoint, Age: time.Duration(c.AgeMs) * time.Millisecond})
	}
	for _, p := range b.SoundParts {
		r.SoundParts = append(r.SoundParts, route.SoundPart{Part: p.Part, Age: time.Duration(p.AgeMs) * time.Millisecond})
	}
	for _, p := range b.Placements {
		r.Placements = append(r.Placements, dispatch.Placement{Sequence: p.Number, Endpoint: p.Id, Parts: p.Parts, NewTokens: int(p.Fresh)})
	}
	for _, e := range b.Endpoints {
		r.Endpoints = append(r.Endpoints, dispatch.EndpointReport{Endpoint: e.Id,
			Load: dispatch.Load{Active: int(e.Active), Pending: int(e.Pending), Resident: int(e.Resident)}})
	}
	for _, c := range b.Cold {
		r.Cold = append(r.Cold, dispatch.ColdReport{Endpoint: c.Id, StartMillis: c.Born, Remaining: min(time.Duration(c.LeftMs)*time.Millisecond, maxColdRemaining)})
	}
	for _, c := range b.Crashes {
		r.Crashes = append(r.Crashes, route.Crash{Fingerprint: c.Fingerprint, Endpoint: c.Id, Age: time.Duration(c.AgeMs) * time.Millisecond})
	}
	for _, a := range b.Accounts {
		if !isCost(a.Asked) || !isCost(a.Served) {
			heartbeatsInvalid.Inc()
			continue
		}
		r.Accounts = append(r.Accounts, dispatch.AccountReport{Service: a.Service, Account: a.Account, Demand: float64(a.Asked), Granted: float64(a.Served)})
	}
	return r
}

// maxRecentBytes limits the records of one collection in a heartbeat, and
// maxRowRecentBytes those in a heartbeat to another row, of which there are many.
// Peers fetch larger changes by gRPC.
const (
	maxRecentBytes    = 8 << 10
	maxRowRecentBytes = 2 << 10
)

// recentChanges returns the record changes of the given time window.
func recentChanges(r *replica.Replica, now time.Time, within time.Duration, byteBudget int) (out []*peerpb.RecordNews) {
	for _, kind := range r.Kinds() {
		n, ok := r.RecentChanges(now, kind, within, byteBudget)
		if !ok {
			continue
		}
		out = append(out, &peerpb.RecordNews{
			Kind: string(kind), Since: n.Since, Era: n.Era, Revision: n.Revision, Records: encodeRecords(n.Records), Removed: n.Removed,
		})
	}
	return out
}

func decodeRecentChanges(n *peerpb.RecordNews) replica.RecentChanges {
	return replica.RecentChanges{Since: n.Since, Position: replica.Position{Era: n.Era, Revision: n.Revision}, Records: decodeRecords(n.Records), Removed: n.Removed}
}

func encodeDelta(d replica.Delta) *peerpb.RecordSet {
	return &peerpb.RecordSet{Known: true, Era: d.Era, Revision: d.Revision, Names: d.Names, Records: encodeRecords(d.Records)}
}

func decodeDelta(since int64, set *peerpb.RecordSet) replica.Delta {
	return replica.Delta{Since: since, Position: replica.Position{Era: set.Era, Revision: set.Revision}, Names: set.Names, Records: decodeRecords(set.Records)}
}

func encodeRecords(records []replica.Record) (out []*peerpb.PlatformRecord) {
	for _, r := range records {
		out = append(out, &peerpb.PlatformRecord{Name: r.Name, Revision: r.Revision, Data: r.Data})
	}
	return out
}

func decodeRecords(records []*peerpb.PlatformRecord) (out []replica.Record) {
	for _, r := range records {
		out = append(out, replica.Record{Name: r.Name, Revision: r.Revision, Data: r.Data})
	}
	return out
}
