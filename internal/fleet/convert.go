package fleet

import (
	"github.com/cyclamenwinch/cyclamenwinch/core/member"
	"github.com/cyclamenwinch/cyclamenwinch/internal/peerpb"
)

func memberToProto(r member.Router) *peerpb.Member {
	return &peerpb.Member{
		Name:        r.Name,
		Incarnation: r.Incarnation,
		Zone:        r.Zone,
		Region:      r.Region,
		CallerUrl:   r.CallerURL,
		PeerAddr:    r.PeerAddr,
		OpsUrl:      r.OpsURL,
		Leaving:     r.Leaving,
	}
}

func memberFromProto(m *peerpb.Member) member.Router {
	return member.Router{
		Name:        m.GetName(),
		Incarnation: m.GetIncarnation(),
		Zone:        m.GetZone(),
		Region:      m.GetRegion(),
		CallerURL:   m.GetCallerUrl(),
		PeerAddr:    m.GetPeerAddr(),
		OpsURL:      m.GetOpsUrl(),
		Leaving:     m.GetLeaving(),
	}
}

func noticesToProto(notices []member.Notice) []*peerpb.Notice {
	var out []*peerpb.Notice
	for _, n := range notices {
		out = append(out, &peerpb.Notice{Member: memberToProto(n.Router), Beat: n.Seq, Gone: n.Removed, Heard: n.HeardDirectly})
	}
	return out
}

func noticesFromProto(notices []*peerpb.Notice) []member.Notice {
	var out []member.Notice
	for _, n := range notices {
		if n.GetMember().GetName() == "" {
			continue
		}
		out = append(out, member.Notice{Router: memberFromProto(n.Member), Seq: n.Beat, Removed: n.Gone, HeardDirectly: n.Heard})
	}
	return out
}

func digestToProto(d member.Digest) []uint64 { return d[:] }

func digestFromProto(values []uint64) member.Digest {
	var d member.Digest
	copy(d[:], values)
	return d
}
