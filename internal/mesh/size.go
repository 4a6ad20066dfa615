package mesh

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/cyclamenwinch/cyclamenwinch/internal/peerpb"
)

// errTooLarge means that a heartbeat exceeds a datagram even without what can be left out.
var errTooLarge = errors.New("the heartbeat exceeds a datagram")

// marshal encodes a heartbeat. If it exceeds a datagram, what peers can do without is left
// out until it fits, since a router that is not heard counts as gone: first what only
// improves their estimates, then what they fetch by a call.
func (m *Mesh) marshal(b *peerpb.Beat) ([]byte, error) {
	datagram, err := proto.Marshal(b)
	for _, leaveOut := range []func(){
		func() {
			b.Placements = nil
			if r := b.Report; r != nil {
				r.Placed, r.Numbers, r.Fresh, r.PartCounts, r.Parts = nil, nil, nil, nil, nil
			}
		},
		func() { b.Profiles = nil },
		func() { b.News = nil },
		func() { b.Members, b.MemberStates = nil, nil },
		func() { b.Accounts = nil },
	} {
		if err != nil || len(datagram) <= maxDatagram {
			return datagram, err
		}
		leaveOut()
		heartbeatsReduced.Inc()
		datagram, err = proto.Marshal(b)
	}
	if err == nil && len(datagram) > maxDatagram {
		err = errors.Wrapf(errTooLarge, "%d bytes", len(datagram))
	}
	return datagram, err
}
